//! How far this VM knows the store, as it tells its followers.

use super::frame::Standing;
use crate::context::Context;
use crate::store::Collection;
use crate::store_access::StoreAccess;

/// Returns how far this VM knows the store.
pub fn standing(context: &Context, pulse: &StoreAccess) -> Standing {
    let mut path = context.feed_path.borrow().clone();
    path.push(context.settings.vm.clone());
    Standing {
        configuration: context.position(Collection::Configuration),
        servers: context.position(Collection::BackendServers),
        evacuations: context.position(Collection::Evacuations),
        store_there: match pulse.is_reading() {
            true => pulse.is_available(),
            false => context.reader_has_store.get(),
        },
        path,
    }
}
