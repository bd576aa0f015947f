//! Whether this VM reads the platform's store, and whether the store answers, as [`crate::store_liveness`] sees
//! it. Watches wait here until they may be asked, are given up, or have to be asked again.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether this VM reads the store, and whether the store answers, as last seen.
#[derive(Debug)]
pub struct StoreAccess {
    reading: Cell<bool>,
    there: Cell<bool>,
    changed: Notify,
    again: Notify,
    asked: Notify,
}

impl Default for StoreAccess {
    fn default() -> Self {
        Self {
            reading: Cell::new(true),
            there: Cell::new(true),
            changed: Notify::new(),
            again: Notify::new(),
            asked: Notify::new(),
        }
    }
}

impl StoreAccess {
    /// Returns whether this VM reads the store itself.
    pub fn is_reading(&self) -> bool {
        self.reading.get()
    }

    /// Returns whether the store answers.
    pub fn is_available(&self) -> bool {
        self.there.get()
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
        self.again.notified().await;
    }

    /// Begins to read the store.
    pub fn start_reading(&self) {
        if !self.reading.replace(true) {
            self.there.set(true);
            self.changed.notify_waiters();
        }
    }

    /// Asks the store for a sign of life, and begins to read it only if that comes; returns whether
    /// it did.
    pub async fn start_reading_if_available(&self) -> bool {
        if !self.reading.replace(true) {
            self.there.set(false);
        }
        let asked = self.asked.notified();
        self.changed.notify_waiters();
        asked.await;
        self.there.get()
    }

    /// Takes note that the store was asked for a sign of life.
    pub fn probe_completed(&self) {
        self.asked.notify_waiters();
    }

    /// Has the watches asked again.
    pub fn request_rewatch(&self) {
        self.again.notify_waiters();
    }

    /// Leaves reading the store to another VM.
    pub fn stop_reading(&self) {
        if self.reading.replace(false) {
            self.changed.notify_waiters();
        }
    }

    /// Takes in whether the store answers; returns whether that is news.
    pub fn set_available(&self, there: bool) -> bool {
        let changed = self.there.replace(there) != there;
        if changed {
            self.changed.notify_waiters();
        }
        changed
    }

    async fn wait_for(&self, open: bool) {
        loop {
            let changed = self.changed.notified();
            if (self.reading.get() && self.there.get()) == open {
                return;
            }
            changed.await;
        }
    }

    /// Returns once this VM reads the store itself.
    pub async fn wait_until_reading(&self) {
        loop {
            let changed = self.changed.notified();
            if self.reading.get() {
                return;
            }
            changed.await;
        }
    }
}
