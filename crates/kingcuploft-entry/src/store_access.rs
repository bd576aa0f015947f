//! Whether this VM reads the platform's store, and whether the store answers, as [`crate::store_liveness`] sees
//! it. Watches wait here until they may be asked, are given up, or have to be asked again.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether this VM reads the store, and whether the store answers, as last seen.
#[derive(Debug)]
pub struct StoreAccess {
    is_reading_store: Cell<bool>,
    is_store_available: Cell<bool>,
    changed: Notify,
    rewatch: Notify,
    probed: Notify,
}

impl Default for StoreAccess {
    fn default() -> Self {
        Self {
            is_reading_store: Cell::new(true),
            is_store_available: Cell::new(true),
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

    /// Returns whether the store answers.
    pub fn is_available(&self) -> bool {
        self.is_store_available.get()
    }

    /// Returns once the store is to be read and answers.
    pub async fn wait_until_open(&self) {
        self.wait_for(true).await;
    }

    /// Returns once the store is not to be read, or does not answer.
    pub async fn wait_until_closed(&self) {
        self.wait_for(false).await;
    }

    /// Returns once the watches have to be asked again.
    pub async fn wait_for_rewatch(&self) {
        self.rewatch.notified().await;
    }

    /// Begins to read the store.
    pub fn start_reading(&self) {
        if !self.is_reading_store.replace(true) {
            self.is_store_available.set(true);
            self.changed.notify_waiters();
        }
    }

    /// Asks the store for a sign of life, and begins to read it only if that comes; returns whether
    /// it did.
    pub async fn start_reading_if_available(&self) -> bool {
        if !self.is_reading_store.replace(true) {
            self.is_store_available.set(false);
        }
        let probed = self.probed.notified();
        self.changed.notify_waiters();
        probed.await;
        self.is_store_available.get()
    }

    /// Takes note that the store was asked for a sign of life.
    pub fn probe_completed(&self) {
        self.probed.notify_waiters();
    }

    /// Has the watches asked again.
    pub fn request_rewatch(&self) {
        self.rewatch.notify_waiters();
    }

    /// Leaves reading the store to another VM.
    pub fn stop_reading(&self) {
        if self.is_reading_store.replace(false) {
            self.changed.notify_waiters();
        }
    }

    /// Takes in whether the store answers; returns whether that is news.
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

    /// Returns once this VM reads the store itself.
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
