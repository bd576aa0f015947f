//! Whether this VM reads the platform's store, and whether the store is available and which revision it has reached, as
//! probed by [`crate::store_liveness`]. Watches wait here until they may run, must be given up, or must be repeated.

use std::cell::Cell;

use tokio::sync::Notify;

use crate::store::Revision;

/// Whether this VM reads the store, and whether the store is available, as last probed.
#[derive(Debug)]
pub struct StoreAccess {
    is_reading_store: Cell<bool>,
    is_store_available: Cell<bool>,
    /// The greatest revision that a probe has returned.
    reached: Cell<Option<Revision>>,
    changed: Notify,
    rewatch: Notify,
    probed: Notify,
}

impl Default for StoreAccess {
    fn default() -> Self {
        Self {
            is_reading_store: Cell::new(true),
            is_store_available: Cell::new(true),
            reached: Cell::default(),
            changed: Notify::new(),
            rewatch: Notify::new(),
            probed: Notify::new(),
        }
    }
}

impl StoreAccess {
    /// Returns whether this VM reads the store itself.
    pub fn is_reading(&self) -> bool {
        self.is_reading_store.get()
    }

    /// Returns whether the store is available.
    pub fn is_available(&self) -> bool {
        self.is_store_available.get()
    }

    /// Waits until this VM reads the store and the store is available.
    pub async fn wait_until_open(&self) {
        self.wait_for(true).await;
    }

    /// Waits until this VM does not read the store, or the store is not available.
    pub async fn wait_until_closed(&self) {
        self.wait_for(false).await;
    }

    /// Waits until the watches have to be repeated.
    pub async fn wait_for_rewatch(&self) {
        self.rewatch.notified().await;
    }

    /// Starts to read the store.
    pub fn start_reading(&self) {
        if !self.is_reading_store.replace(true) {
            self.is_store_available.set(true);
            self.changed.notify_waiters();
        }
    }

    /// Probes the store, and starts to read it only if it answers; returns whether it did.
    pub async fn start_reading_if_available(&self) -> bool {
        if !self.is_reading_store.replace(true) {
            self.is_store_available.set(false);
        }
        let probed = self.probed.notified();
        self.changed.notify_waiters();
        probed.await;
        self.is_store_available.get()
    }

    /// Returns the greatest revision that a probe has returned.
    pub fn reached(&self) -> Option<Revision> {
        self.reached.get()
    }

    /// Waits until a probe of the store has ended.
    pub async fn wait_for_probe(&self) {
        self.probed.notified().await;
    }

    /// Records that a probe of the store has ended, and which revision it returned if it was answered.
    pub fn probe_completed(&self, reached: Option<Revision>) {
        self.reached.set(self.reached.get().max(reached));
        self.probed.notify_waiters();
    }

    /// Makes all watches repeat their calls.
    pub fn request_rewatch(&self) {
        self.rewatch.notify_waiters();
    }

    /// Stops reading the store; another VM reads it.
    pub fn stop_reading(&self) {
        if self.is_reading_store.replace(false) {
            self.changed.notify_waiters();
        }
    }

    /// Records whether the store is available; returns whether that has changed.
    pub fn set_available(&self, is_available: bool) -> bool {
        let changed = self.is_store_available.replace(is_available) != is_available;
        if changed {
            self.changed.notify_waiters();
        }
        changed
    }

    async fn wait_for(&self, open: bool) {
        loop {
            let changed = self.changed.notified();
            if (self.is_reading_store.get() && self.is_store_available.get()) == open {
                return;
            }
            changed.await;
        }
    }

    /// Waits until this VM reads the store itself.
    pub async fn wait_until_reading(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_reading_store.get() {
                return;
            }
            changed.await;
        }
    }
}
