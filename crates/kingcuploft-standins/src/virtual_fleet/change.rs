//! What changes during a run: faults, drains and replacements.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::server::{Health, Report};

/// A change at a time of the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When, in ms.
    pub at_ms: u64,
    /// What.
    pub change: Change,
}

impl Step {
    /// Returns when.
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }
}

/// What changes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Work on some backend servers takes longer for a while.
    Slow {
        /// Their numbers, from 0.
        servers: Vec<usize>,
        /// How many times longer.
        factor: f64,
        /// For how long, in ms.
        for_ms: u64,
    },
    /// Some backend servers restart and are slow at first, less and less.
    ColdStart {
        /// Their numbers, from 0.
        servers: Vec<usize>,
        /// How many times longer work takes at first.
        factor: f64,
        /// Until when they are warm, in ms.
        for_ms: u64,
    },
    /// Some backend servers answer differently from now on.
    Health {
        /// Their numbers, from 0.
        servers: Vec<usize>,
        /// How.
        health: Health,
    },
    /// Some backend servers report their load differently from now on.
    Report {
        /// Their numbers, from 0.
        servers: Vec<usize>,
        /// How.
        report: Report,
    },
    /// Some backend servers shed load from now on.
    Shed {
        /// Their numbers, from 0.
        servers: Vec<usize>,
        /// Beyond this many jobs.
        above: usize,
    },
    /// The replies of some backend servers say from now on whether they drain.
    ReplyDraining {
        /// Their numbers, from 0.
        servers: Vec<usize>,
        /// Whether they drain.
        draining: bool,
    },
    /// An operator drains some backend servers, by a word to one VM.
    Drain {
        /// Their numbers, from 0.
        servers: Vec<usize>,
    },
    /// A new manifest says which backend servers drain, and no other does.
    ManifestDraining {
        /// Their numbers, from 0.
        servers: Vec<usize>,
    },
    /// A share of the VMs is replaced: no new callers, what is in flight finishes.
    ReplaceVms {
        /// The share.
        share: f64,
    },
    /// A zone's VMs and backend servers are gone.
    LoseZone {
        /// Its number, from 0.
        zone: usize,
    },
}
