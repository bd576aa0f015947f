//! Whether the platform's store answers.
//!
//! Failure: the store falls silent, or its connection does, while a watch waits; a watch that waits
//! for a change looks the same as one that is lost, and the VM would miss a new configuration or a
//! leaving server until the wait ends. The guard: a cheap sign of life is asked for every second. When
//! it fails, the watches are given up; when it is back, they go on from where they stood.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::context::Context;
use crate::store::Store;

/// The time between two signs of life. With [`PATIENCE`] and [`WHILE_AWAY`], a change is known within
/// 2 s of the store's return, which is what a leaving server allows.
const WHILE_THERE: Duration = Duration::from_millis(1000);

/// The time between two tries while the store is away.
const WHILE_AWAY: Duration = Duration::from_millis(250);

/// How long a sign of life is waited for: twice the slowest answer of a store that is slow, not away.
const PATIENCE: Duration = Duration::from_millis(800);

/// Whether the store answers, as last seen.
#[derive(Debug)]
pub struct Pulse {
    there: Cell<bool>,
    changed: Notify,
}

impl Default for Pulse {
    fn default() -> Self {
        Self {
            there: Cell::new(true),
            changed: Notify::new(),
        }
    }
}

impl Pulse {
    /// Returns once the store answers.
    pub async fn there(&self) {
        self.wait_for(true).await;
    }

    /// Returns once the store does not answer.
    pub async fn away(&self) {
        self.wait_for(false).await;
    }

    async fn wait_for(&self, there: bool) {
        loop {
            let changed = self.changed.notified();
            if self.there.get() == there {
                return;
            }
            changed.await;
        }
    }

    fn set(&self, there: bool) -> bool {
        let changed = self.there.replace(there) != there;
        if changed {
            self.changed.notify_waiters();
        }
        changed
    }
}

/// Watches over the store until the process ends.
pub async fn feel<S: Store>(context: Rc<Context>, store: Rc<S>, pulse: Rc<Pulse>) {
    loop {
        let asked = tokio::time::timeout(PATIENCE, store.sign_of_life()).await;
        let there = matches!(asked, Ok(Ok(())));
        if pulse.set(there) {
            match there {
                true => context.store_returned(),
                false => tracing::warn!(event = "store_away"),
            }
        }
        tokio::time::sleep(if there { WHILE_THERE } else { WHILE_AWAY }).await;
    }
}
