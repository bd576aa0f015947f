//! How far this VM knows the store, as it tells its followers.

use super::frame::SyncStatus;
use crate::context::Context;
use crate::store::Collection;
use crate::store_access::StoreAccess;

/// Returns how far this VM knows the store.
pub fn sync_status(context: &Context, pulse: &StoreAccess) -> SyncStatus {
    let mut path = context.feed_path.borrow().clone();
    path.push(context.settings.vm.clone());
    SyncStatus {
        configuration: context.position(Collection::Configuration),
        servers: context.position(Collection::BackendServers),
        evacuations: context.position(Collection::Evacuations),
        store_reachable: match pulse.is_reading() {
            true => pulse.is_available(),
            false => context.reader_has_store.get(),
        },
        path,
    }
}
