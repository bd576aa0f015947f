//! Tells the tasks that serve a request that its caller has left.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether the caller has left.
#[derive(Debug, Default)]
pub struct CallerDisconnect {
    left: Cell<bool>,
    wake: Notify,
}

impl CallerDisconnect {
    /// Returns whether the caller has left.
    pub fn is_set(&self) -> bool {
        self.left.get()
    }

    /// Takes note that the caller has left.
    pub fn set(&self) {
        self.left.set(true);
        self.wake.notify_waiters();
    }

    /// Returns when the caller has left.
    pub async fn wait(&self) {
        let woken = self.wake.notified();
        if !self.left.get() {
            woken.await;
        }
    }
}
