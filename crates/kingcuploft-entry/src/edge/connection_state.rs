//! The state of a caller's connection, shared by its reader and its writer.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

/// How long a caller is taken to wait that doesn't say so.
const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(3600);

/// The state of a connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    /// Whether no further request is accepted.
    pub(super) closing: Cell<bool>,
    /// How many requests were read and are not answered.
    unanswered: Cell<usize>,
    /// By when all unanswered requests have an answer.
    answered_by: Cell<Option<Instant>>,
    /// Wakes the reader when the connection closes.
    pub(super) wake: Notify,
}

impl ConnectionState {
    /// Returns how many requests were read and are not answered.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    /// Returns by when all unanswered requests have an answer, if there are any.
    pub(super) fn answered_by(&self) -> Option<Instant> {
        self.answered_by.get()
    }

    /// Records that an answer is due from `now` on, for whose request the caller waits this long.
    pub(super) fn request_started(&self, now: Instant, caller_timeout: Option<Duration>) {
        self.unanswered.set(self.unanswered.get() + 1);
        let timeout = caller_timeout.unwrap_or(UNKNOWN_TIMEOUT);
        let due = now + timeout.min(UNKNOWN_TIMEOUT);
        self.answered_by.set(self.answered_by.get().max(Some(due)));
    }

    /// Records that an answer was written.
    pub(super) fn request_finished(&self) {
        self.unanswered.set(self.unanswered.get() - 1);
        if self.unanswered.get() == 0 {
            self.answered_by.set(None);
        }
    }

    /// Accepts no further request, and wakes the reader.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.wake.notify_waiters();
    }
}
