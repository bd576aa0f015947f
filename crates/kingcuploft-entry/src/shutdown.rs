//! The graceful shutdown of this VM: its phase, and when it ends.

use std::cell::Cell;
use std::time::Instant;

use kingcuploft::entry::shutdown::ShutdownPhase;
use tokio::sync::Notify;

use crate::clock;

/// The graceful shutdown of one VM.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: Cell<ShutdownPhase>,
    ends_at: Cell<Option<Instant>>,
    began_at: Cell<Option<Instant>>,
    /// Wakes tasks that wait for the next phase.
    pub changed: Notify,
}

impl Shutdown {
    /// Returns the phase.
    pub fn phase(&self) -> ShutdownPhase {
        self.phase.get()
    }

    /// Returns whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        self.phase() != ShutdownPhase::Running
    }

    /// Begins the shutdown; the process exits at `ends_at` at the latest.
    pub(crate) fn begin(&self, ends_at: Instant) {
        self.began_at.set(Some(clock::now()));
        self.ends_at.set(Some(ends_at));
        self.enter(ShutdownPhase::Announced);
    }

    /// Begins to close the connections of callers.
    pub fn close_connections(&self) {
        self.enter(ShutdownPhase::Closing);
    }

    /// Has what is unanswered answered by the VM itself.
    pub fn answer_all(&self) {
        self.enter(ShutdownPhase::Exiting);
    }

    /// Waits until what is unanswered is to be answered by the VM itself.
    pub async fn exiting(&self) {
        loop {
            let changed = self.changed.notified();
            if self.phase() >= ShutdownPhase::Exiting {
                return;
            }
            changed.await;
        }
    }

    /// Records that the process exits.
    pub fn end(&self) {
        self.enter(ShutdownPhase::Ended);
    }

    /// Returns when the process exits at the latest, if it is stopping.
    pub fn ends_at(&self) -> Option<Instant> {
        self.ends_at.get()
    }

    /// Returns when the shutdown began, if it did.
    pub fn began_at(&self) -> Option<Instant> {
        self.began_at.get()
    }

    fn enter(&self, phase: ShutdownPhase) {
        self.phase.set(phase);
        self.changed.notify_waiters();
    }
}
