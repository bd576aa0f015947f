//! The daemon's settings, read strictly from YAML.

mod check;
mod reader;

use std::net::SocketAddr;
use std::path::PathBuf;

use kingcuploft::settings::claim::ClaimSettings;
use kingcuploft_platform::client::ClientSettings;
use serde::Deserialize;

use crate::peer_link::PeerSettings;

pub use reader::{Fault, SettingsError, parse, read};

/// The settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, unique in the fleet.
    pub vm: String,
    /// The VM's availability zone.
    pub availability_zone: String,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address of the admin port, for the platform's balancer and operators.
    pub admin_listen: SocketAddr,
    /// The file with the bearer token of the admin port; required unless that is a loopback address.
    #[serde(default)]
    pub admin_token_file: Option<PathBuf>,
    /// The platform's object API, as `host:port`.
    pub platform: String,
    /// The format of the log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// The links with other entry VMs.
    #[serde(default)]
    pub peer: PeerSettings,
    /// The daemon's limits and timeouts.
    #[serde(default)]
    pub limits: Limits,
    /// The client of the platform's object API.
    #[serde(default)]
    pub store: ClientSettings,
    /// The claims of protected actions.
    #[serde(default)]
    pub claims: ClaimSettings,
}

/// The format of the log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One line of text for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}

/// The daemon's limits and timeouts.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Threads that call backend servers.
    pub workers: usize,
    /// Open connections from callers.
    pub connections: usize,
    /// Entry VMs that share a backend server's connections, until the membership is known.
    pub vms: usize,
    /// The capacity of the channels between threads, in messages.
    pub ring: usize,
    /// Time from a planned stop until connections are refused, in ms.
    pub not_ready_ms: u64,
    /// Time after that for requests in flight to finish, in ms; connections that are still open then are closed.
    pub stop_timeout_ms: u64,
    /// Time for which a keepalive connection may be idle, in ms; must be longer than the balancer's idle timeout, so
    /// that the balancer closes first.
    pub idle_timeout_ms: u64,
    /// Time for a caller to send its headers, in ms.
    pub header_timeout_ms: u64,
    /// Time for a caller to send its body, in ms.
    pub body_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            workers: 64,
            connections: 8192,
            vms: 14,
            ring: 4096,
            not_ready_ms: 0,
            stop_timeout_ms: 30_000,
            idle_timeout_ms: 75_000,
            header_timeout_ms: 10_000,
            body_timeout_ms: 10_000,
        }
    }
}
