//! The settings of [`crate::decisions::membership`].

use serde::{Deserialize, Serialize};

/// How VMs detect failures of each other; part of the daemon's settings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Time between two heartbeats on a link, in ms.
    pub beat_ms: u64,
    /// Silence after which a neighbour is suspected, in ms; three heartbeats.
    pub suspect_ms: u64,
    /// Silence after which a suspected VM counts as gone, in ms.
    pub gone_ms: u64,
    /// Time after which a VM that is gone is forgotten and may be contacted again, in ms.
    pub forget_ms: u64,
    /// How many other VMs this one keeps links to.
    pub neighbours: usize,
    /// How many VMs of an availability zone watch the store.
    pub watchers_per_zone: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            beat_ms: 2000,
            suspect_ms: 6000,
            gone_ms: 15_000,
            forget_ms: 60_000,
            neighbours: 3,
            watchers_per_zone: 2,
        }
    }
}
