//! The state that a partition keeps between events.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use super::ledger::{Claimant, EntryState, Head, KeyHash, SegmentNumber, SegmentRef, Version};
use super::message::{Claim, ClaimId};

/// The head as last read or written.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct KnownHead {
    /// The version; 0 where the object was absent.
    pub(super) version: Version,
    pub(super) head: Arc<Head>,
}

/// A claim that is not decided yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct PendingClaim {
    pub(super) claim: Claim,
    pub(super) since: Instant,
    /// Whether a write that carries it was ever started.
    pub(super) write_sent: bool,
    /// Whether the head was read since it arrived.
    pub(super) head_read: bool,
}

/// A release or an acknowledgement that is not written yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct PendingEnd {
    pub(super) key: KeyHash,
    pub(super) claimant: Claimant,
    /// The settled state; `None` releases the claim.
    pub(super) state: Option<EntryState>,
    pub(super) since: Instant,
}

/// A claim that was refused although a write may have carried it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct AbandonedClaim {
    pub(super) key: KeyHash,
    pub(super) claimant: Claimant,
}

/// What the store call in flight is for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum OpenCall {
    Head,
    /// Read the keys of a sealed object.
    LoadKeys(String),
    /// Read the answers of sealed keys.
    LoadRecords(SegmentNumber),
    Write {
        head: Arc<Head>,
        claims: Vec<ClaimId>,
        ends: usize,
    },
    WriteSealed,
    FindGarbage,
    DeleteGarbage,
}

/// The sealed keys of the partition.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct SealedKeys {
    pub(super) keys: BTreeMap<KeyHash, SegmentNumber>,
    pub(super) segments: BTreeMap<SegmentNumber, SegmentRef>,
    /// The names of the sealed objects whose keys are known.
    pub(super) loaded: BTreeSet<String>,
}
