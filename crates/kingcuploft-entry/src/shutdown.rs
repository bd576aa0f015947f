//! The graceful shutdown of this VM: its phase, and when it ends.

use std::cell::Cell;
use std::time::Instant;

use kingcuploft::entry::shutdown::ShutdownPhase;
use tokio::sync::Notify;

/// The graceful shutdown of one VM.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: Cell<ShutdownPhase>,
    ends_at: Cell<Option<Instant>>,
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
    pub fn begin(&self, ends_at: Instant) {
        self.ends_at.set(Some(ends_at));
        self.enter(ShutdownPhase::Announced);
    }

    /// Begins to close the connections of callers.
    pub fn close_connections(&self) {
        self.enter(ShutdownPhase::Closing);
    }

    /// Records that the process exits.
    pub fn end(&self) {
        self.enter(ShutdownPhase::Ended);
    }

    /// Returns when the process exits at the latest, if it is stopping.
    pub fn ends_at(&self) -> Option<Instant> {
        self.ends_at.get()
    }

    fn enter(&self, phase: ShutdownPhase) {
        self.phase.set(phase);
        self.changed.notify_waiters();
    }
}
