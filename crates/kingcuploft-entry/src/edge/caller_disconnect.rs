//! Signals to the tasks that serve a request that its caller has closed the connection.

use std::cell::Cell;

use tokio::sync::Notify;

/// A flag that is set once, when the caller has disconnected.
#[derive(Debug, Default)]
pub struct CallerDisconnect {
    left: Cell<bool>,
    wake: Notify,
}

impl CallerDisconnect {
    /// Returns whether the caller has disconnected.
    pub fn is_set(&self) -> bool {
        self.left.get()
    }

    /// Records that the caller has disconnected, and wakes all waiting tasks.
    pub fn set(&self) {
        self.left.set(true);
        self.wake.notify_waiters();
    }

    /// Waits until the caller has disconnected.
    pub async fn wait(&self) {
        let woken = self.wake.notified();
        if !self.left.get() {
            woken.await;
        }
    }
}
