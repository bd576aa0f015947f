//! What goes into and comes out of a partition.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::ledger::{
    Claimant, EntryState, Fingerprint, Head, Index, KeyHash, Record, Segment, Version,
};

/// Numbers the claims of one VM, in the order in which they came.
pub type ClaimId = u64;

/// A key to claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    /// The key.
    pub key: KeyHash,
    /// The content it is claimed for.
    pub fingerprint: Fingerprint,
    /// Who claims it.
    pub claimant: Claimant,
    /// How long the key is remembered.
    pub window: Duration,
    /// When the claim is refused for want of a decision.
    pub deadline: Instant,
}

/// What a partition is asked to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ClaimCommand {
    /// Claim a key; a [`Verdict`] follows.
    Claim(ClaimId, Claim),
    /// Give a held claim back: nothing was sent.
    Release(ClaimId),
    /// Record how the action of a held claim ended.
    Acknowledge(ClaimId, EntryState),
}

/// What a claim came to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Verdict {
    /// The claim is held: the request may be sent, once.
    Held,
    /// An earlier request with this key was answered so.
    Replay(Arc<Record>),
    /// An earlier request with this key ran, and its answer was not kept.
    AlreadyRan,
    /// An earlier request with this key is claimed; its end may still become known.
    InProgress,
    /// An earlier request with this key ended in a way that nobody knows.
    EndUnknown,
    /// The key was used with another content.
    Reused,
    /// The store does not answer; nothing is sent.
    Unavailable {
        /// When to ask again.
        retry_after: Duration,
    },
    /// The partition has no room for another claim.
    Full,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Precondition {
    /// There is no such object.
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

/// What kind of object a read should find.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StoredKind {
    /// A partition's head.
    Head,
    /// A sealed segment.
    Segment,
    /// An index over segments.
    Index,
}

/// A call to the store; a partition has at most one open.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Operation {
    /// Read an object.
    Get {
        /// The object's key.
        name: String,
        /// What it holds.
        kind: StoredKind,
    },
    /// Write an object.
    Put {
        /// The object's key.
        name: String,
        /// The new value.
        value: StoredObject,
        /// What must hold.
        when: Precondition,
    },
    /// Delete an object.
    Delete {
        /// The object's key.
        name: String,
        /// The version it must have.
        version: Version,
    },
}

/// How a call to the store ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum StoreAnswer {
    /// A read found this.
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
    /// No answer: a write may have taken effect, or may yet.
    NoAnswer,
    /// It is certain that nothing was written.
    NotApplied,
    /// The store counts as down and was not called.
    Down {
        /// When it is tried again.
        retry_after: Duration,
    },
    /// The VM has spent its calls; the store was not called.
    OverBudget {
        /// When there is a call again.
        retry_after: Duration,
    },
    /// The object can not be read; it is never overwritten.
    Corrupt,
}

/// What is worth counting.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ClaimEvent {
    /// A write lost against another VM's.
    Conflict,
    /// A write without an answer is settled by reading or writing again.
    ReadBack,
    /// A read returned what is known to be old.
    StaleRead,
    /// A write took effect that carried this many claims and ends.
    Group(usize),
    /// A claim was given back.
    Released,
    /// The end of an action was recorded.
    Acknowledged,
    /// A refused claim may have been written and is taken back if so.
    Abandoned,
    /// Settled entries were sealed.
    Sealed,
}

/// What comes out of a partition.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Output {
    /// Call the store.
    Store(Operation),
    /// A claim is decided.
    Verdict(ClaimId, Verdict),
    /// Something to count.
    Event(ClaimEvent),
}
