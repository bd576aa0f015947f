//! How a follower takes over reading the platform's store when its reader has lost it.
//!
//! Failure: the store turns some VMs away and serves others, and the reader of a zone is among the first; or the store
//! is away for all. If the zone only waits, it misses a leaving server. If every VM asks the store for itself, each
//! makes a call, which the store counts at full price while it is away. The guard: the VMs that the zone's record names
//! ask one after the other, and the first that gets an answer reads for all.

use std::time::Duration;

use kingcuploft::entry::startup_delay;

use crate::context::Context;
use crate::store_access::StoreAccess;

/// How often it is checked whether the reader has the store.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The time between two attempts of one VM to reach the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// Returns once the reader has lost the store and the store answers this VM.
pub async fn wait_for_takeover(context: &Context, store_access: &StoreAccess) {
    loop {
        while context.reader_has_store.get() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let delay = {
            let readers = context.readers.borrow();
            let record = readers.record(&context.settings.zone);
            startup_delay::store_fallback_delay(&context.settings.vm, record, fastrand::f64())
        };
        tokio::time::sleep(delay).await;
        if context.reader_has_store.get() {
            continue;
        }
        if store_access.start_reading_if_available().await {
            return;
        }
        store_access.stop_reading();
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
