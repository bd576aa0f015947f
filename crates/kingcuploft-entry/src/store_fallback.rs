//! The fallback of a starting VM to the store: reads it when no other VM sends what it holds in time.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::startup_delay;

use crate::clock;
use crate::context::Context;
use crate::store_access::StoreAccess;

/// How often the VM checks whether it has become ready.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Makes a VM that knows nothing read the store once it has waited too long for other VMs.
///
/// When the whole fleet starts for the first time there are no callers yet, and the VM keeps waiting for the others.
pub(crate) async fn read_store_if_uninformed(context: Rc<Context>, store_access: Rc<StoreAccess>) {
    let started_at = clock::now();
    let chance = fastrand::f64();
    if context.settings.is_first_start {
        return;
    }
    while !context.is_ready() && !context.shutdown.is_stopping() {
        let delay = {
            let readers = context.readers.borrow();
            let record = readers.record(&context.settings.zone);
            startup_delay::store_read_delay(
                &context.settings.vm,
                record,
                context.feed_promised.get() || context.snapshot_begun.get(),
                chance,
            )
        };
        if clock::since(started_at) >= delay {
            return store_access.start_reading();
        }
        tokio::time::sleep(READINESS_POLL_INTERVAL).await;
    }
}
