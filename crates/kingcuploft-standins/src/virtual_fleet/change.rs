//! The scheduled changes of a run: faults, drains and VM replacements.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::server::{Health, Report};

/// A change and the time of the run at which it happens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The time since the start of the run, in ms.
    pub at_ms: u64,
    /// The change.
    pub change: Change,
}

impl Step {
    /// Returns the time since the start of the run.
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }
}

/// A change during a run. Backend servers and zones are given by their index, from 0.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Work on the given backend servers takes longer for a limited time.
    Slow {
        /// The indexes of the backend servers.
        servers: Vec<usize>,
        /// How many times longer.
        factor: f64,
        /// How long it lasts, in ms.
        for_ms: u64,
    },
    /// The given backend servers restart; work is slow at first and speeds up step by step.
    ColdStart {
        /// The indexes of the backend servers.
        servers: Vec<usize>,
        /// How many times longer work takes at first.
        factor: f64,
        /// The time until they run at full speed, in ms.
        for_ms: u64,
    },
    /// The health of the given backend servers changes for the rest of the run.
    Health {
        /// The indexes of the backend servers.
        servers: Vec<usize>,
        /// The new health.
        health: Health,
    },
    /// The load reports of the given backend servers change for the rest of the run.
    Report {
        /// The indexes of the backend servers.
        servers: Vec<usize>,
        /// What they report.
        report: Report,
    },
    /// The given backend servers shed load for the rest of the run.
    Shed {
        /// The indexes of the backend servers.
        servers: Vec<usize>,
        /// The number of jobs, running and queued, from which on a new one is shed.
        above: usize,
    },
    /// The replies of the given backend servers carry this drain state for the rest of the run.
    ReplyDraining {
        /// The indexes of the backend servers.
        servers: Vec<usize>,
        /// Whether they drain.
        draining: bool,
    },
    /// An operator drains the given backend servers through one VM, which tells its peers.
    Drain {
        /// The indexes of the backend servers.
        servers: Vec<usize>,
    },
    /// A new manifest marks exactly the given backend servers as draining.
    ManifestDraining {
        /// The indexes of the backend servers.
        servers: Vec<usize>,
    },
    /// A share of the VMs is replaced: an old VM gets no new requests and finishes those in flight.
    ReplaceVms {
        /// The share of the VMs that accept callers, in `0.0..=1.0`.
        share: f64,
    },
    /// All VMs and backend servers of an availability zone stop answering.
    LoseZone {
        /// The index of the zone.
        zone: usize,
    },
}
