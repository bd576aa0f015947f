//! How long a VM that knows nothing waits for others to tell it.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::joining;

use crate::clock;
use crate::context::Context;
use crate::store_access::StoreAccess;

/// How often a VM looks whether it has knowledge.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Has a VM that knows nothing read the store once it has waited for others for too long.
///
/// Where all start together nobody calls yet, and the others are waited for.
pub(crate) async fn read_store_if_uninformed(context: Rc<Context>, store_access: Rc<StoreAccess>) {
    let begun = clock::now();
    let chance = fastrand::f64();
    if context.settings.all_start {
        return;
    }
    while !context.is_ready() && !context.is_stopping() {
        let patience = {
            let readers = context.readers.borrow();
            let record = readers.record(&context.settings.zone);
            joining::patience(
                &context.settings.vm,
                record,
                context.feed_promised.get(),
                chance,
            )
        };
        if clock::since(begun) >= patience {
            return store_access.start_reading();
        }
        tokio::time::sleep(READINESS_POLL_INTERVAL).await;
    }
}
