//! Whether this VM has contact with the platform's store, and whether the end of a loss is the end of an outage in which
//! entries of backend servers may have expired.
//!
//! Failure: a VM loses the store alone, while the servers and other VMs still reach it. Were that taken for an outage, a
//! server that leaves just then would be taken for a live one whose entry has expired, and get requests for seconds.
//!
//! Entries expire after several heartbeats of silence, so no outage shorter than one heartbeat interval expires any. A
//! longer one is believed only by a VM whose own calls went unanswered for that long, and by those that it tells of its end
//! while they are without the store themselves.

use std::time::{Duration, Instant};

/// What this VM knows of its contact with the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    /// Since when its own calls go unanswered, if they do.
    unanswered_since: Option<Instant>,
    /// Whether it has lost the store, by its own calls or as the VM that it follows says.
    is_lost: bool,
}

/// What an answer of the store says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreAnswer {
    /// The store was not away from this VM.
    InContact,
    /// It was away for this long, too short for entries to expire.
    BackSoon(Duration),
    /// It was away for this long, and entries may have expired.
    BackAfterOutage(Duration),
}

impl StoreContact {
    /// Records that a call made at `asked_at` went unanswered.
    pub fn call_failed(&mut self, asked_at: Instant) {
        self.unanswered_since.get_or_insert(asked_at);
        self.is_lost = true;
    }

    /// Records that a call was answered. `heartbeat` is how often servers write their entries.
    pub fn call_answered(&mut self, now: Instant, heartbeat: Duration) -> StoreAnswer {
        self.is_lost = false;
        let Some(since) = self.unanswered_since.take() else {
            return StoreAnswer::InContact;
        };
        let away_for = now.saturating_duration_since(since);
        match away_for >= heartbeat {
            true => StoreAnswer::BackAfterOutage(away_for),
            false => StoreAnswer::BackSoon(away_for),
        }
    }

    /// Records whether the VM that this one follows has the store.
    pub fn feeder_has_store(&mut self, has_store: bool) {
        self.is_lost = !has_store;
        if has_store {
            self.unanswered_since = None;
        }
    }

    /// Returns whether this VM is without the store.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }
}
