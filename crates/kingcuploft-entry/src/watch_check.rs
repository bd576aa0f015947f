//! Checks that the watch of a collection brings what the platform's store holds.

use std::time::Duration;

use kingcuploft::entry::watch_lag::WatchLag;
use kingcuploft::planted::{self, PlantedFault};

use crate::clock;
use crate::context::Context;
use crate::store::{ChangeCheck, Collection, Revision, Store, StoreError};
use crate::store_access::StoreAccess;

/// How long the store may take to answer a check: as long as it may take for a probe.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);

/// How recently bytes of an answer must have arrived for it to count as arriving.
const RECENT_BYTES_AGE: Duration = Duration::from_millis(250);

/// Why a watch has to be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Behind {
    /// The store has a change that it has not brought.
    MissedChange,
    /// The store does not answer a call about the collection.
    NoAnswer,
}

impl Behind {
    /// Returns the reason as logged, and as the outcome of the check that found it.
    fn label(self) -> &'static str {
        match self {
            Self::MissedChange => "missed change",
            Self::NoAnswer => "no answer",
        }
    }
}

/// Returns once the watch of a collection, which waits meanwhile, has to be repeated. The store is asked after its probes
/// only, and only while the watch is behind it.
pub(crate) async fn wait_until_behind<S: Store>(
    context: &Context,
    store: &S,
    store_access: &StoreAccess,
    collection: Collection,
    lag: &mut WatchLag,
) {
    loop {
        store_access.wait_for_probe().await;
        let (Some(watched), Some(reached)) =
            (context.position(collection), reached(context, store_access))
        else {
            continue;
        };
        let Some(since) = lag.observe(clock::now(), watched, reached) else {
            continue;
        };
        if planted::is_on(PlantedFault::OneWatchStandsForAll) && any_reaches(context, reached) {
            continue;
        }
        // An answer that is arriving would have to start again.
        if is_arriving(store, collection) {
            continue;
        }
        let behind = match check(store, collection, since, reached).await {
            Ok(ChangeCheck::UnchangedUntil(until)) => {
                context
                    .metrics
                    .count_watch_check(collection.label(), "unchanged");
                lag.record_unchanged(until);
                continue;
            }
            Ok(ChangeCheck::Changed) => Behind::MissedChange,
            Err(StoreError::NoAnswer(_)) => Behind::NoAnswer,
            Err(error) => {
                context
                    .metrics
                    .count_watch_check(collection.label(), "refused");
                let collection = collection.label();
                tracing::info!(event = "watch_not_checked", collection, %error);
                continue;
            }
        };
        lag.record_repeated();
        context
            .metrics
            .count_watch_check(collection.label(), behind.label());
        tracing::info!(
            event = "watch_behind",
            collection = collection.label(),
            why = behind.label(),
            watched,
            reached,
        );
        return;
    }
}

/// Returns the greatest revision that the store is known to have reached, by a probe or by any of the watches.
fn reached(context: &Context, store_access: &StoreAccess) -> Option<Revision> {
    let watched = Collection::WATCHED.into_iter();
    let watched = watched.filter_map(|collection| context.position(collection));
    watched.chain(store_access.reached()).max()
}

fn any_reaches(context: &Context, reached: Revision) -> bool {
    let mut watched = Collection::WATCHED.into_iter();
    watched.any(|collection| context.position(collection) >= Some(reached))
}

/// Returns whether an answer about a collection is arriving.
pub(crate) fn is_arriving<S: Store>(store: &S, collection: Collection) -> bool {
    let last_received = store.last_received_at(collection);
    last_received.is_some_and(|at| clock::now().saturating_duration_since(at) < RECENT_BYTES_AGE)
}

/// Asks the store whether a collection has changed since a revision: by a call whose answer may be old, which the store
/// charges less for, and by a full call where that answer doesn't reach far enough.
async fn check<S: Store>(
    store: &S,
    collection: Collection,
    since: Revision,
    reached: Revision,
) -> Result<ChangeCheck, StoreError> {
    match ask(store, collection, since, true).await {
        Ok(ChangeCheck::UnchangedUntil(until)) if until < reached => {}
        Err(StoreError::HistoryGone) => {}
        answer => return answer,
    }
    match ask(store, collection, since, false).await {
        // The repeated watch finds the same, and the collection is listed.
        Err(StoreError::HistoryGone) => Ok(ChangeCheck::Changed),
        answer => answer,
    }
}

async fn ask<S: Store>(
    store: &S,
    collection: Collection,
    since: Revision,
    stale: bool,
) -> Result<ChangeCheck, StoreError> {
    let asking = store.check_changes(collection, since, stale);
    let answer = tokio::time::timeout(CHECK_TIMEOUT, asking).await;
    answer.map_err(|_| StoreError::NoAnswer("timeout".into()))?
}
