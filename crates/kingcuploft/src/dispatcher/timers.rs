//! A timer queue: ids of requests or attempts, ordered by due time.

use std::collections::BTreeSet;
use std::time::Instant;

/// Ids of requests or attempts, each with its due time.
#[derive(Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(Instant, u64)>,
}

impl Timers {
    pub(super) fn insert(&mut self, at: Instant, number: u64) {
        self.due.insert((at, number));
    }

    pub(super) fn remove(&mut self, at: Instant, number: u64) {
        self.due.remove(&(at, number));
    }

    /// Removes and returns the id that is due first, if it is due by now.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<u64> {
        let &(at, number) = self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first();
        Some(number)
    }

    pub(super) fn next(&self) -> Option<Instant> {
        self.due.first().map(|&(at, _)| at)
    }
}
