//! Whether the watch of one collection of the platform's store may be behind, so that the store is asked.
//!
//! Failure: the answer to one watch is lost while all other calls are answered. The collections share one revision: the
//! watch of a collection that does not change stays behind it just like a watch whose answer was lost, and a watch of
//! another collection that keeps up says nothing about this one. Only a call about this collection tells the two apart.

use std::time::{Duration, Instant};

use super::era::Moment;

/// How long a watch may stay behind the store before the store is asked. For most of this time changes are gathered into
/// batches.
const MAX_WATCH_LAG: Duration = Duration::from_millis(900);

/// How far the watch of one collection is known to be behind the store.
#[derive(Debug, Default)]
pub struct WatchLag {
    /// Up to which moment the store has said that the collection holds no further change.
    checked: Moment,
    /// The moment of the store that the watch has not reached, and since when that is known.
    behind: Option<(Moment, Instant)>,
}

impl WatchLag {
    /// Records up to which moment the watch has brought all changes, and which moment the store has reached. Returns the
    /// moment from which on the store must be asked for changes, if it must be.
    pub fn observe(&mut self, now: Instant, watched: Moment, reached: Moment) -> Option<Moment> {
        let known = watched.max(self.checked);
        self.behind = self.behind.filter(|(behind, _)| known < *behind);
        if known >= reached {
            return None;
        }
        let (_, since) = *self.behind.get_or_insert((reached, now));
        let is_due = now.saturating_duration_since(since) >= MAX_WATCH_LAG;
        is_due.then_some(known)
    }

    /// Records that the collection holds no change that the watch has not brought, up to this moment.
    pub fn record_unchanged(&mut self, until: Moment) {
        self.checked = self.checked.max(until);
    }

    /// Records that the watch is repeated, which takes time again.
    pub fn record_repeated(&mut self) {
        self.behind = None;
    }
}
