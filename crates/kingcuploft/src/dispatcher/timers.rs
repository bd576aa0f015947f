//! Numbers ordered by when something is due for them.

use std::collections::BTreeSet;
use std::time::Instant;

/// Numbers (of requests or attempts), each with the time at which it is due.
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

    /// Takes a number that is due off.
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
