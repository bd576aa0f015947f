//! The settings of [`crate::decisions::claim`].

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the idempotency keys of protected actions are claimed in the store.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// How many partitions the keys hash to. Only the first VM ever to start decides this; it is kept in the store,
    /// because two VMs that disagree would look for one key in two partitions.
    pub partitions: u16,
    /// How long a claim waits for other claims to share its write, in ms.
    pub linger_ms: u64,
    /// How long the recorded end of an action waits to share a write, in ms.
    pub end_linger_ms: u64,
    /// The target rate of writes to one partition by all VMs together, per second; each VM sees the writes of all VMs
    /// and lengthens the time between its own.
    pub fleet_writes_per_s: u64,
    /// The least time between two writes of one VM to one partition, in ms.
    pub shortest_pace_ms: u64,
    /// The longest time by which one VM spaces its writes to one partition, in ms.
    pub longest_pace_ms: u64,
    /// The timeout of a claim, in ms; the request's deadline may end it earlier.
    pub timeout_ms: u64,
    /// While a call to the store takes longer than this, in ms, new claims are refused at once.
    pub slow_store_ms: u64,
    /// How far the clocks of two VMs may differ: a key is kept for this much longer, in s.
    pub clock_slack_s: u64,
    /// The size at which the settled entries of a partition's head are moved into a sealed segment, in bytes.
    pub seal_bytes: usize,
    /// The number of sealed segments that one index lists.
    pub segments_per_index: usize,
    /// The largest size of an object, in bytes; the store's limit is 1 MB.
    pub object_bytes: usize,
    /// The pause after a conflict or a failed call, in ms; it doubles and is jittered.
    pub retry_pause_ms: u64,
    /// The longest such pause, in ms.
    pub longest_retry_pause_ms: u64,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            partitions: 1,
            linger_ms: 3,
            end_linger_ms: 500,
            fleet_writes_per_s: 45,
            shortest_pace_ms: 10,
            longest_pace_ms: 500,
            timeout_ms: 800,
            slow_store_ms: 300,
            clock_slack_s: 60,
            seal_bytes: 96 * 1024,
            segments_per_index: 32,
            object_bytes: 900_000,
            retry_pause_ms: 4,
            longest_retry_pause_ms: 100,
        }
    }
}

impl ClaimSettings {
    /// Returns how long a claim waits to share its write.
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }

    /// Returns how long the end of an action waits to share its write.
    pub fn end_linger(&self) -> Duration {
        Duration::from_millis(self.end_linger_ms)
    }

    /// Returns the timeout of a claim.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the time after which a call to the store counts as slow.
    pub fn slow_store(&self) -> Duration {
        Duration::from_millis(self.slow_store_ms)
    }
}
