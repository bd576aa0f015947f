//! The settings of one entry VM, and the names of headers and paths on the wire.

#![deny(clippy::arithmetic_side_effects)]

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft::entry::quota::QuotaBounds;
use kingcuploft::entry::repeat_budget::RepeatBounds;
use kingcuploft::world::ids::{AvailabilityZone, VmName};

use crate::fields::SettingsError;

/// The settings of one entry VM.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The VM's name.
    pub vm: VmName,
    /// The VM's availability zone.
    pub zone: AvailabilityZone,
    /// The zones of the VM's region, which forward the store's contents to each other; empty if all zones do.
    pub region: Vec<AvailabilityZone>,
    /// The address at which callers connect.
    pub caller_address: SocketAddr,
    /// The address of the metrics endpoint; `None` for a VM without one.
    pub metrics_address: Option<SocketAddr>,
    /// The address of the platform's readiness check.
    pub readiness_address: SocketAddr,
    /// The address for the links between VMs; `None` for a VM that runs alone.
    pub peer_address: Option<SocketAddr>,
    /// Further ports for the links between VMs, where that of the address is held by another process.
    pub spare_peer_ports: Vec<u16>,
    /// The address at which this VM answers VMs that know it as a seed from their settings; `None` if it is no seed.
    pub control_address: Option<SocketAddr>,
    /// The addresses of the seeds, which may be outdated or down.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The VM's processor, in thousandths of a core.
    pub cpu_milli: u32,
    /// The VM's memory, in bytes.
    pub memory_bytes: usize,
    /// How many descriptors its process may have open.
    pub max_descriptors: usize,
    /// Whether the whole fleet starts now, for the first time.
    pub is_first_start: bool,
    /// The settings that may change while the VM runs.
    pub bounds: Bounds,
}

/// The settings that a file holds, and why parts of it can't be used.
#[derive(Debug)]
pub struct ParsedSettings {
    /// The settings; a field that the VM can do without and that can't be used has its default.
    pub settings: EntrySettings,
    /// Why fields of the bounds can't be used.
    pub unusable_bounds: Vec<SettingsError>,
    /// Why other fields and lines can't be used.
    pub unusable: Vec<SettingsError>,
}

impl ParsedSettings {
    /// Returns whether every field can be used.
    pub fn is_sound(&self) -> bool {
        self.unusable.is_empty() && self.unusable_bounds.is_empty()
    }

    /// Returns the settings if every field can be used.
    ///
    /// # Errors
    ///
    /// Returns why the first field that can't be used can't.
    pub fn if_sound(self) -> Result<EntrySettings, SettingsError> {
        let mut errors = self.unusable.into_iter().chain(self.unusable_bounds);
        errors.next().map_or(Ok(self.settings), Err)
    }

    /// Returns the settings if every field of the bounds can be used.
    ///
    /// # Errors
    ///
    /// Returns why the first of them that can't be used can't.
    pub fn if_bounds_are_sound(self) -> Result<EntrySettings, SettingsError> {
        let mut errors = self.unusable_bounds.into_iter();
        errors.next().map_or(Ok(self.settings), Err)
    }
}

/// The settings that may change while the VM runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long a graceful shutdown may take.
    pub stop_within: Duration,
    /// The bounds on repeats.
    pub repeats: RepeatBounds,
    /// The bounds on quotas.
    pub quotas: QuotaBounds,
    /// How often a backend server renews its entry; a server that misses three heartbeats is removed.
    pub heartbeat: Duration,
    /// How often in a second a backend server may be probed, by all VMs together.
    pub probes_per_server_s: f64,
}

/// The names of headers and paths between callers, VMs, servers and the platform.
#[derive(Clone, Copy, Debug)]
pub struct WireNames {
    /// The header with the id of a caller's attempt; servers echo it.
    pub request_id: &'static str,
    /// The header with the time that the caller still waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// The header that marks an answer as the server's own.
    pub signature: &'static str,
    /// The header with the name of the workspace by which a request comes.
    pub workspace: &'static str,
    /// The header with the name of the server that a request is meant for.
    pub meant_for: &'static str,
    /// The header of a server's load report.
    pub load: &'static str,
    /// The header with the requests a second that a server takes from all VMs together.
    pub limit: &'static str,
    /// The header with the milliseconds for which a server stays cold.
    pub cold_ms: &'static str,
    /// The header of an answer to a probe with the name of the server that answers.
    pub instance: &'static str,
    /// The header with the seconds for which a server that refuses a request wants nothing more.
    pub pause_s: &'static str,
    /// The header of a server that leaves.
    pub leaving: &'static str,
    /// The header that marks an answer to a request that did not run.
    pub not_run: &'static str,
    /// The path of the platform's readiness check.
    pub ready_path: &'static str,
    /// Parses the value of the load header.
    pub parse_load: fn(&str) -> Option<kingcuploft::entry::placement::LoadReport>,
}
