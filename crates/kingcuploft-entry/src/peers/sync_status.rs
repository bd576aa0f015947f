//! How far this VM has replicated the store, as it reports to its followers.

use super::frame::SyncStatus;
use crate::context::Context;
use crate::store::Collection;
use crate::store_access::StoreAccess;

/// Returns how far this VM has replicated the store.
pub fn sync_status(context: &Context, store_access: &StoreAccess) -> SyncStatus {
    let mut path = context.feed_path.borrow().clone();
    path.push(context.settings.vm.clone());
    SyncStatus {
        configuration: context.whole_position(Collection::Configuration),
        servers: context.whole_position(Collection::BackendServers),
        evacuations: context.whole_position(Collection::Evacuations),
        knows_workspaces: true,
        store_reachable: match store_access.is_reading() {
            true => store_access.is_available(),
            false => context.reader_has_store.get(),
        },
        path,
    }
}
