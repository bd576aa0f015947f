//! What becomes of a collection that the store does not list.

use std::time::Duration;

use crate::clock;
use crate::context::Context;
use crate::store::{Collection, Revision};
use crate::store_access::StoreAccess;

/// How long a VM waits for the list of evacuated zones where the store refuses it and no VM knows it: longer than it takes to
/// ask those that may know. A VM that refuses all callers is worse for them than one that may use servers of such a zone.
const WAIT_FOR_EVACUATIONS: Duration = Duration::from_secs(3);

/// Returns once another VM has told this one all of a collection.
pub(crate) async fn informed_meanwhile(context: &Context, collection: Collection) {
    loop {
        let advanced = context.position_advanced.notified();
        if context.whole_position(collection).is_some() {
            return;
        }
        advanced.await;
    }
}

/// Follows a collection that the store does not list, from a revision that the store has reached: what has changed before is
/// lost, what is new is not. Returns whether it does.
pub(crate) fn follow_unlisted(
    context: &Context,
    store_access: &StoreAccess,
    collection: Collection,
) -> bool {
    let known = context.position(collection);
    let later = |reached: &Revision| known.is_none_or(|known| known < *reached);
    let Some(reached) = store_access.reached().filter(later) else {
        return false;
    };
    if known.is_none() && !can_serve_without(context, collection) {
        return false;
    }
    context.note_incomplete(collection);
    context.set_position(collection, reached);
    true
}

/// Returns whether this VM serves although it knows nothing of a collection, as it has waited long enough for it.
fn can_serve_without(context: &Context, collection: Collection) -> bool {
    match collection {
        Collection::Evacuations => clock::since(context.started_at) >= WAIT_FOR_EVACUATIONS,
        // Where there is no configuration or no server, nothing can be served; nobody waits for the rest.
        Collection::Configuration
        | Collection::BackendServers
        | Collection::Notices
        | Collection::Zones => false,
    }
}
