//! Requests that wait for another attempt.

use std::time::Instant;

use crate::world::backend_server::CallEnd;
use crate::world::ids::{BackendServerName, RequestId};

/// A request that waits for another attempt.
#[derive(Debug)]
pub(super) struct PendingRetry {
    pub(super) not_before: Instant,
    pub(super) request: RequestId,
    pub(super) tried: Vec<BackendServerName>,
    pub(super) last_end: CallEnd,
}

/// The requests of one service that wait for another attempt, by when that may begin.
///
/// The retry budget keeps this list short, so that a sorted vector does.
#[derive(Debug, Default)]
pub(super) struct RetryQueue {
    waits: Vec<PendingRetry>,
}

impl RetryQueue {
    pub(super) fn insert(&mut self, waits: PendingRetry) {
        let at = self
            .waits
            .partition_point(|w| w.not_before <= waits.not_before);
        self.waits.insert(at, waits);
    }

    /// Returns how many may begin now; they come first.
    pub(super) fn due(&self, now: Instant) -> usize {
        self.waits.partition_point(|w| w.not_before <= now)
    }

    pub(super) fn get(&self, at: usize) -> &PendingRetry {
        &self.waits[at]
    }

    pub(super) fn take(&mut self, at: usize) -> PendingRetry {
        self.waits.remove(at)
    }

    pub(super) fn remove(&mut self, request: RequestId) {
        self.waits.retain(|w| w.request != request);
    }

    pub(super) fn next_due(&self, now: Instant) -> Option<Instant> {
        self.waits.get(self.due(now)).map(|w| w.not_before)
    }

    pub(super) fn into_requests(self) -> impl Iterator<Item = RequestId> {
        self.waits.into_iter().map(|w| w.request)
    }
}
