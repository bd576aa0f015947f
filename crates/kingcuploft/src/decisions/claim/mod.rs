//! Claims of idempotency keys: at most one run of a protected action per key, whatever fails.
//!
//! Load pattern: callers resend holds and publications through any VM while the store loses answers, delays writes and
//! serves stale reads, and VMs pause or die at any point. Without a claim that is decided before the first byte of the
//! request is sent, two VMs run the same action.
//!
//! Keys hash to partitions. One object of a partition, its [`ledger::Head`], decides: a claim is held only once a
//! conditional update (compare-and-swap) of the head that contains it has taken effect. A write based on an older
//! version fails, so a paused VM or a late write can't undo a decision, and no lease is needed. All claims and ends
//! that came while a write was under way share the next one (group commit), so the writes grow with the number of
//! writers and not with that of the actions.
//!
//! * A write without an answer decides nothing: it may still arrive. It is settled by the next conditional write that
//!   succeeds or by a read of a greater version, since the late write then finds another version than it expects.
//! * A claim that is given up before that is refused as `not_run`, which is true since nothing is sent; it is released
//!   as soon as it is found in the head.
//! * Only its claimant releases or ends a claim, and no other VM takes one over: the action may be running.
//! * Settled entries are sealed into segments that never change, and segments are grouped under indexes; both are named
//!   by the head, so that one conditional update still decides everything.
//!
//! The figures of [`crate::settings::claim`] come from the experiment `claims`.

pub mod ledger;
pub mod message;
mod partition;
mod read;
mod seal;
mod state;
mod write;
mod write_pacing;

pub use self::partition::{EventContext, Partition};

use std::time::Duration;

use crate::world::ids::ServiceName;
use crate::world::refusal::{Outcome, Refusal, RefusalReason};
use message::Verdict;

/// When to retry for the result of an action that may be running.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_millis(500);

/// When to retry where the partition is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Returns the hash of an idempotency key; the same key of another service is another action.
pub fn key_hash(service: &ServiceName, key: &str) -> ledger::KeyHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(service.len() as u64).to_le_bytes());
    hasher.update(service.as_bytes());
    hasher.update(key.as_bytes());
    let mut half = [0; 16];
    half.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(half)
}

/// Returns the partition that decides a key.
pub fn partition_of(key: ledger::KeyHash, partitions: u16) -> u16 {
    (key % u128::from(partitions.max(1))) as u16
}

/// Returns the refusal for a verdict; `None` where the request goes on or is answered.
pub fn refusal(verdict: &Verdict) -> Option<Refusal> {
    let refusal = match verdict {
        Verdict::Held | Verdict::Replay(_) => return None,
        Verdict::AlreadyRan => Refusal {
            reason: RefusalReason::KeyAlreadyRan,
            outcome: Outcome::Ran,
            retry_after: None,
        },
        Verdict::InProgress => {
            Refusal::unknown(RefusalReason::KeyInProgress).retry_after(IN_PROGRESS_RETRY_AFTER)
        }
        Verdict::EndUnknown => Refusal::unknown(RefusalReason::KeyInProgress),
        Verdict::Reused => Refusal::not_run(RefusalReason::KeyReused),
        Verdict::Unavailable { retry_after } => {
            Refusal::not_run(RefusalReason::StoreUnavailable).retry_after(*retry_after)
        }
        Verdict::Full => Refusal::not_run(RefusalReason::Overloaded).retry_after(FULL_RETRY_AFTER),
    };
    Some(refusal)
}
