//! What the VMs tell each other: one JSON object a line.

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::configuration::Configuration;
use kingcuploft::entry::readers::VmEntry;
use serde::{Deserialize, Serialize};

use crate::store::Revision;

/// One line.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Frame {
    /// How far the sender knows the store; sent first by both sides, and by the reader after each
    /// change and as a heartbeat.
    Standing(Standing),
    /// The sender does not read the store, but follows this VM.
    Elsewhere(VmEntry),
    /// The configuration in force.
    Configuration(Box<Configuration>),
    /// What the store says of a backend server.
    Server(BackendServer),
    /// A backend server's entry is gone.
    ServerGone(String),
    /// Which backend servers have entries; the others are gone.
    AllServers(Vec<String>),
    /// The VMs that are known.
    Vms(Vec<VmEntry>),
    /// The store answers the sender again after it did not.
    StoreReturned,
    /// All that the sender knew when the link began has been told.
    Told,
}

/// How far a VM knows the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Standing {
    /// Up to which moment it knows the configuration.
    pub configuration: Option<Revision>,
    /// Up to which moment it knows the backend servers.
    pub servers: Option<Revision>,
    /// Whether the store answers it.
    pub store_there: bool,
}

impl Standing {
    /// Returns whether a VM that stands here knows less than one that stands at `own`. What it says
    /// of a server that left would bring the server back.
    pub fn is_behind(&self, own: &Self) -> bool {
        let whole = self.configuration.is_some() && self.servers.is_some();
        !whole || self.configuration < own.configuration || self.servers < own.servers
    }
}

impl Frame {
    /// Writes the frame as a line.
    pub fn to_line(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}
