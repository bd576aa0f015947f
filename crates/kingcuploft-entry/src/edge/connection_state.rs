//! The state of a caller's connection, shared by its reader and its writer.

use std::cell::Cell;

use tokio::sync::Notify;

/// The state of a connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionState {
    /// Whether no further request is accepted.
    pub(super) closing: Cell<bool>,
    /// How many requests were read and are not answered.
    unanswered: Cell<usize>,
    /// Wakes the reader when the connection closes.
    pub(super) wake: Notify,
}

impl ConnectionState {
    /// Returns how many requests were read and are not answered.
    pub(super) fn unanswered(&self) -> usize {
        self.unanswered.get()
    }

    /// Records that an answer is due.
    pub(super) fn request_started(&self) {
        self.unanswered.set(self.unanswered.get() + 1);
    }

    /// Records that an answer was written.
    pub(super) fn request_finished(&self) {
        self.unanswered.set(self.unanswered.get() - 1);
    }

    /// Accepts no further request, and wakes the reader.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.wake.notify_waiters();
    }
}
