//! The inputs and outputs of a partition: commands, store calls, answers and verdicts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::ledger::{
    Claimant, EntryState, Fingerprint, Head, Index, KeyHash, Record, Segment, Version,
};

/// The number of a claim on one VM, in the order of arrival.
pub type ClaimId = u64;

/// A key to claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    /// The hash of the key.
    pub key: KeyHash,
    /// The content it is claimed for.
    pub fingerprint: Fingerprint,
    /// The claim's owner.
    pub claimant: Claimant,
    /// How long the key is remembered.
    pub window: Duration,
    /// When the claim is refused if it is not decided.
    pub deadline: Instant,
}

/// A command to a partition.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ClaimCommand {
    /// Claim a key; a [`Verdict`] follows.
    Claim(ClaimId, Claim),
    /// Release a held claim: nothing was sent.
    Release(ClaimId),
    /// Record how the action of a held claim ended.
    Acknowledge(ClaimId, EntryState),
}

/// The decision on a claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Verdict {
    /// The claim is held: the request may be sent, once.
    Held,
    /// An earlier request with this key got this answer.
    Replay(Arc<Record>),
    /// An earlier request with this key ran, and its answer was not kept.
    AlreadyRan,
    /// An earlier request with this key is claimed; its result may still become known.
    InProgress,
    /// An earlier request with this key ended with a result that is not known.
    EndUnknown,
    /// The key was used with another content.
    Reused,
    /// The store does not answer; nothing is sent.
    Unavailable {
        /// When to retry.
        retry_after: Duration,
    },
    /// The partition's object has no space for another claim.
    Full,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// An object of the ledger.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum StoredObject {
    /// A partition's head.
    Head(Arc<Head>),
    /// A sealed segment.
    Segment(Arc<Segment>),
    /// An index over segments.
    Index(Arc<Index>),
}

/// The kind of object that a read should find.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StoredKind {
    /// A partition's head.
    Head,
    /// A sealed segment.
    Segment,
    /// An index over segments.
    Index,
}

/// A call to the store; a partition has at most one call in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Operation {
    /// Reads an object.
    Get {
        /// The object's store key.
        name: String,
        /// The kind of object.
        kind: StoredKind,
    },
    /// Writes an object.
    Put {
        /// The object's store key.
        name: String,
        /// The new value.
        value: StoredObject,
        /// The condition.
        when: Precondition,
    },
    /// Deletes an object.
    Delete {
        /// The object's store key.
        name: String,
        /// The version it must have.
        version: Version,
    },
}

/// How a call to the store ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum StoreAnswer {
    /// A read found this version of the object, or none.
    Found(Option<(Version, StoredObject)>),
    /// A write took effect and gave the object this version.
    Written(Version),
    /// A deletion took effect.
    Deleted,
    /// The condition did not hold; nothing was written.
    Conflict {
        /// The version found; `None` where the object is absent.
        found: Option<Version>,
    },
    /// The call failed.
    Failed(StoreFailure),
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StoreFailure {
    /// There was no answer: a write may have taken effect, or may yet.
    NoAnswer,
    /// It is certain that nothing was written.
    NotApplied,
    /// The store counts as down (its circuit breaker is open) and was not called.
    Down {
        /// When the store is probed again.
        retry_after: Duration,
    },
    /// The VM has used up its rate of store calls; the store was not called.
    OverBudget {
        /// When a call is allowed again.
        retry_after: Duration,
    },
    /// The object can not be read; it is never overwritten.
    Corrupt,
}

/// An event of a claim, for metrics.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ClaimEvent {
    /// A conditional write lost against another VM's.
    Conflict,
    /// A write without an answer is settled by reading or writing again.
    ReadBack,
    /// A read returned an older version than is known to exist.
    StaleRead,
    /// A write took effect that carried this many claims and ends.
    Group(usize),
    /// A claim was released.
    Released,
    /// The end of an action was recorded.
    Acknowledged,
    /// A claim was refused that may have been written; it is released if it was.
    Abandoned,
    /// Settled entries were sealed.
    Sealed,
}

/// An output of a partition.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Output {
    /// Call the store.
    Store(Operation),
    /// A claim is decided.
    Verdict(ClaimId, Verdict),
    /// Count an event.
    Event(ClaimEvent),
}
