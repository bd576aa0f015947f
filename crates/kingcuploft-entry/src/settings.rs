//! What one entry VM is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft::entry::repeats::RepeatBounds;
use kingcuploft::world::ids::{AvailabilityZone, VmName};

/// The settings of one entry VM.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Its name.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// The zones of its region, which tell each other what the store holds; none if all do.
    pub region: Vec<AvailabilityZone>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where counters are read; `None` for a VM that shows none.
    pub metrics: Option<SocketAddr>,
    /// Where the platform asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where the VMs talk to each other; `None` for a VM that stays alone.
    pub peers: Option<SocketAddr>,
    /// Where this VM answers other VMs that know its address from their settings; `None` if nowhere.
    pub control: Option<SocketAddr>,
    /// Where such VMs answer, which may be old or down.
    pub seeds: Vec<SocketAddr>,
    /// Where the platform's store answers.
    pub store: SocketAddr,
    /// Its processor, in thousandths of a core.
    pub cpu_milli: u32,
    /// Its memory, in bytes.
    pub memory_bytes: usize,
    /// Whether all VMs start now, for the first time.
    pub all_start: bool,
    /// What may change while the VM runs.
    pub bounds: Bounds,
}

/// What may change while the VM runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long a stop may take.
    pub stop_within: Duration,
    /// The bounds on repeats.
    pub repeats: RepeatBounds,
    /// How often a backend server writes its entry; one that misses three times is removed.
    pub heartbeat: Duration,
    /// How often a backend server may be probed in a second, by all VMs together.
    pub probes_per_server_s: f64,
}

/// The names of headers and paths that callers, servers and the platform use.
#[derive(Clone, Copy, Debug)]
pub struct WireNames {
    /// Identifies a caller's attempt; servers echo it.
    pub request_id: &'static str,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// Marks an answer as the server's own.
    pub signature: &'static str,
    /// Names the server that a request is meant for.
    pub meant_for: &'static str,
    /// What a server says of its load.
    pub load: &'static str,
    /// Names how many requests a second a server takes from all VMs together.
    pub limit: &'static str,
    /// Says for how many milliseconds more a server stays cold.
    pub cold_ms: &'static str,
    /// Marks an answer to a request that did not run.
    pub not_run: &'static str,
    /// The path at which the platform asks for readiness.
    pub ready_path: &'static str,
    /// Reads a load header's value.
    pub parse_load: fn(&str) -> Option<kingcuploft::entry::placement::Reading>,
}
