//! When a collection of the store that could not be listed to its end is listed again.

use std::time::{Duration, Instant};

use crate::clock;

/// The pause before the next list; it doubles with each time.
const MIN_RELIST_PAUSE: Duration = Duration::from_secs(2);

/// The longest such pause.
const MAX_RELIST_PAUSE: Duration = Duration::from_secs(30);

/// When a collection that could not be listed to its end is listed again.
#[derive(Default)]
pub(crate) struct Relist {
    at: Option<Instant>,
    pause: Duration,
}

impl Relist {
    /// Plans a list if the collection is incomplete, and drops the plan if it is not.
    pub(crate) fn check(&mut self, is_incomplete: bool) {
        match (is_incomplete, self.at) {
            (false, _) => *self = Self::default(),
            (true, Some(_)) => {}
            (true, None) => {
                self.pause = (self.pause * 2).clamp(MIN_RELIST_PAUSE, MAX_RELIST_PAUSE);
                self.at = Some(clock::now() + self.pause);
            }
        }
    }

    /// Returns how long it is until the next list, if one is planned.
    pub(crate) fn until(&self, now: Instant) -> Option<Duration> {
        self.at.map(|at| at.saturating_duration_since(now))
    }

    /// Returns whether the collection is to be listed now; the next list is planned when that has been tried.
    pub(crate) fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self.at.is_some_and(|at| now >= at);
        if is_due {
            self.at = None;
        }
        is_due
    }
}
