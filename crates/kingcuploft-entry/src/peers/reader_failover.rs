//! What a follower does while its reader has lost the platform's store.
//!
//! Failure: the store turns some VMs away and serves the others, and the one that reads for its zone is among the
//! first; or the store is away for all. A zone that only waits misses a leaving server; one in which every VM asks for
//! itself makes a call from each, which the store counts at full price while it is away. So those that the zone's record
//! names ask, one after the other, and the first that gets an answer reads for all.

use std::time::Duration;

use kingcuploft::entry::startup_delay;

use crate::context::Context;
use crate::store_access::StoreAccess;

/// How often it is looked whether the reader has the store.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The time between two questions by one VM.
const RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// Returns once the reader has lost the store and it answers this VM.
pub async fn wait_for_takeover(context: &Context, pulse: &StoreAccess) {
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
        if pulse.start_reading_if_available().await {
            return;
        }
        pulse.stop_reading();
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
