//! What a VM and the keeper of a shard tell each other.

use serde::{Deserialize, Serialize};

use super::Shard;
use crate::world::ids::{VmName, WorkspaceName};

/// The number that tells two starts of a VM from each other.
pub type RunNumber = u64;

/// Maximum number of workspaces in one message.
pub const MAX_WORKSPACES: usize = 48;

/// A VM entrusts its share of the fleet's time to a keeper, asks for requests, and returns what it does not need.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Deposit {
    /// The shard.
    pub shard: Shard,
    /// The VM.
    pub vm: VmName,
    /// Which of its starts this is.
    pub run: RunNumber,
    /// Rises with each message to this keeper, so that a datagram that comes twice counts once.
    pub sequence: u64,
    /// The share that the VM has entrusted to this keeper since it started, in microseconds of the fleet's time.
    pub total_us: u64,
    /// How much of it the keeper has confirmed.
    pub confirmed_us: u64,
    /// How many VMs there are, as the VM knows.
    pub vms: usize,
    /// What it asks for.
    pub wants: Vec<Want>,
    /// What it returns: requests that it was given, and that did not run.
    pub returned: Vec<(WorkspaceName, u32)>,
}

/// How many requests of a workspace a VM asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Want {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Requests that have arrived.
    pub now: u32,
    /// Requests that are expected until the next message.
    pub soon: u32,
    /// Requests that have begun since the last message.
    pub used: u32,
}

/// The keeper's reply.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Confirmation {
    /// The shard.
    pub shard: Shard,
    /// The VM that keeps it.
    pub keeper: VmName,
    /// The start of the VM that is addressed.
    pub run: RunNumber,
    /// The share that the keeper has taken over, in microseconds of the fleet's time.
    pub total_us: u64,
    /// What the VM is given.
    pub grants: Vec<Grant>,
    /// Whether the keeper stops, so that another one must be found.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_leaving: bool,
    /// Whether the keeper could not save more, so that it need not hear from the VM soon.
    pub is_full: bool,
}

/// What a VM is given of a workspace's quota.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// How many requests.
    pub requests: u32,
    /// When there is room again, if some requests that have arrived get none.
    pub used_up: Option<UsedUp>,
}

/// When there is room again in a quota that is used up.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsedUp {
    /// After how many milliseconds the keeper may have another request to give.
    pub ask_after_ms: u64,
    /// After how many milliseconds there is room for a caller that comes behind those refused before.
    pub room_after_ms: u64,
}
