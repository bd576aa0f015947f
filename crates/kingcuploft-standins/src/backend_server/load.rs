//! The load of a backend server, current and as its delayed `/load` endpoint reports it.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Counts the requests that occupy or wait for a slot.
#[derive(Debug)]
pub(super) struct Load {
    lag: Duration,
    state: Mutex<LoadState>,
}

#[derive(Debug)]
struct LoadState {
    in_flight: u32,
    /// The changes within the last `lag`, after the newest one before that.
    changes: VecDeque<(Instant, u32)>,
}

/// A request in flight; it ends when dropped.
#[derive(Debug)]
pub(super) struct InFlight<'a>(&'a Load);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.change(|in_flight| in_flight - 1);
    }
}

impl Load {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            state: Mutex::new(LoadState {
                in_flight: 0,
                changes: VecDeque::from([(Instant::now(), 0)]),
            }),
        }
    }

    /// Returns the current load.
    pub(super) fn now(&self) -> u32 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.in_flight
    }

    /// Returns the load as it was `lag` ago.
    pub(super) fn delayed(&self) -> u32 {
        self.change(|in_flight| in_flight);
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest = state.changes.front();
        oldest.map_or(0, |(_, in_flight)| *in_flight)
    }

    /// Counts one more request in flight until the result is dropped.
    pub(super) fn enter(&self) -> InFlight<'_> {
        self.change(|in_flight| in_flight + 1);
        InFlight(self)
    }

    /// Changes the load, and drops changes that are no longer needed for the delayed one.
    fn change(&self, change: impl FnOnce(u32) -> u32) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        state.in_flight = change(state.in_flight);
        let in_flight = state.in_flight;
        state.changes.push_back((now, in_flight));
        while state
            .changes
            .get(1)
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            state.changes.pop_front();
        }
    }
}
