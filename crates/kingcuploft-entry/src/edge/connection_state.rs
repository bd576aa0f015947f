//! The state of a caller's connection, shared by its reader and its writer.

use std::cell::Cell;
use std::time::Instant;

use tokio::sync::Notify;

use crate::clock;

/// The state of a connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    /// Whether no further request is accepted.
    pub(super) closing: Cell<bool>,
    /// How many requests were read and are not answered.
    unanswered: Cell<usize>,
    /// When the last answer was written, or the connection opened.
    idle_since: Cell<Instant>,
    /// Whether the connection, which was idle, is to give way to others.
    gives_way: Cell<bool>,
    /// Wakes the reader when the connection closes.
    pub(super) wake: Notify,
}

impl Default for ConnectionState {
    fn default() -> Self {
        Self {
            closing: Cell::new(false),
            unanswered: Cell::new(0),
            idle_since: Cell::new(clock::now()),
            gives_way: Cell::new(false),
            wake: Notify::new(),
        }
    }
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
        self.idle_since.set(clock::now());
    }

    /// Returns since when the connection has had no request; `None` while it has one.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        (self.unanswered() == 0).then(|| self.idle_since.get())
    }

    /// Has the connection give way if no request has arrived, and wakes the reader.
    pub(super) fn give_way(&self) {
        self.gives_way.set(true);
        self.wake.notify_waiters();
    }

    /// Returns whether the connection is to give way, and forgets it.
    pub(super) fn take_gives_way(&self) -> bool {
        self.gives_way.take()
    }

    /// Accepts no further request, and wakes the reader.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.wake.notify_waiters();
    }
}
