//! The queue of requests that wait for a retry, ordered by the earliest time of the next attempt.

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

/// The requests of one service that wait for another attempt, ordered by the earliest time at which it may start.
///
/// A sorted vector is fast enough, because the retry budget keeps the list short.
#[derive(Debug, Default)]
pub(super) struct RetryQueue {
    retries: Vec<PendingRetry>,
}

impl RetryQueue {
    pub(super) fn insert(&mut self, retry: PendingRetry) {
        let at = self
            .retries
            .partition_point(|r| r.not_before <= retry.not_before);
        self.retries.insert(at, retry);
    }

    /// Returns how many retries may start now; they come first in the queue.
    pub(super) fn due(&self, now: Instant) -> usize {
        self.retries.partition_point(|r| r.not_before <= now)
    }

    pub(super) fn get(&self, at: usize) -> &PendingRetry {
        &self.retries[at]
    }

    pub(super) fn take(&mut self, at: usize) -> PendingRetry {
        self.retries.remove(at)
    }

    pub(super) fn remove(&mut self, request: RequestId) {
        self.retries.retain(|r| r.request != request);
    }

    pub(super) fn next_due(&self, now: Instant) -> Option<Instant> {
        self.retries.get(self.due(now)).map(|r| r.not_before)
    }

    pub(super) fn into_requests(self) -> impl Iterator<Item = RequestId> {
        self.retries.into_iter().map(|r| r.request)
    }
}
