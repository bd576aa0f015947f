//! Keeps what this VM believes of the platform's store: the configuration and the backend servers.
//!
//! Each collection is listed once and then watched. A watch that fails is asked again from where it
//! stood; where the store forgot its history, the collection is listed anew, and what is not in the
//! list is gone. While the store is away, the VM serves by what it knows.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::Change;

use crate::context::Context;
use crate::pulse::Pulse;
use crate::store::{Changes, Collection, Page, Record, Revision, Store, StoreChange, StoreError};

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The pause after a failed call; jitter up to the same is added.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause: news of a leaving server must arrive within 2 s of the store's return.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// The pause between two watches that brought something: changes come in bursts, and a server that
/// leaves must be known within 2 s.
const GATHER: Duration = Duration::from_millis(600);

/// How often graces of lapsed entries are looked at.
const EXPIRE_EVERY: Duration = Duration::from_millis(100);

/// Follows one collection until the process ends.
pub async fn follow<S: Store>(
    context: Rc<Context>,
    store: Rc<S>,
    pulse: Rc<Pulse>,
    collection: Collection,
) {
    let mut pauses = Pauses::default();
    let mut from = None;
    loop {
        let told = tokio::select! {
            told = next(&context, &*store, collection, from) => told,
            () = pulse.away() => {
                pulse.there().await;
                continue;
            }
        };
        match told {
            Ok(revision) => {
                pauses.answered(&context);
                from = Some(revision);
            }
            Err(StoreError::HistoryGone) => {
                tracing::info!(event = "history_gone", collection = collection.label());
                from = None;
            }
            Err(error) => tokio::time::sleep(pauses.failed(collection, &error)).await,
        }
    }
}

async fn next<S: Store>(
    context: &Context,
    store: &S,
    collection: Collection,
    from: Option<Revision>,
) -> Result<Revision, StoreError> {
    match from {
        None => list_all(context, store, collection).await,
        Some(revision) => watch(context, store, collection, revision).await,
    }
}

/// Ends the graces of lapsed entries as they run out.
pub async fn expire(context: Rc<Context>) {
    loop {
        tokio::time::sleep(EXPIRE_EVERY).await;
        let now = Instant::now();
        let changes = context.servers(|servers| servers.expire(now));
        changes
            .iter()
            .for_each(|change| apply(&context, now, change));
    }
}

#[derive(Default)]
struct Pauses {
    failures: u32,
}

impl Pauses {
    fn answered(&mut self, context: &Context) {
        if self.failures > 0 {
            context.store_returned();
        }
        self.failures = 0;
    }

    fn failed(&mut self, collection: Collection, error: &StoreError) -> Duration {
        if self.failures == 0 {
            tracing::warn!(event = "store_call_failed", collection = collection.label(), %error);
        }
        self.failures += 1;
        let pause = FIRST_PAUSE * self.failures.min(8);
        pause.min(LONGEST_PAUSE).mul_f64(1.0 + fastrand::f64())
    }
}

async fn list_all<S: Store>(
    context: &Context,
    store: &S,
    collection: Collection,
) -> Result<Revision, StoreError> {
    let mut names = Vec::new();
    let mut after: Option<String> = None;
    let mut first = None;
    loop {
        let Page {
            records,
            next,
            revision,
        } = store.list(collection, after.as_deref(), false).await?;
        // What changes between two pages is told by the watch from the first page's moment on.
        let first = *first.get_or_insert(revision);
        for (name, record) in records {
            written(context, record);
            names.push(name);
        }
        if next.is_none() {
            listed(context, collection, &names);
            return Ok(first);
        }
        after = next;
    }
}

fn listed(context: &Context, collection: Collection, names: &[String]) {
    if collection != Collection::BackendServers {
        return;
    }
    let now = Instant::now();
    let names = names.iter().map(String::as_str);
    let changes = context.servers(|servers| servers.all_told(now, names));
    changes
        .iter()
        .for_each(|change| apply(context, now, change));
    context.servers_listed();
}

async fn watch<S: Store>(
    context: &Context,
    store: &S,
    collection: Collection,
    from: Revision,
) -> Result<Revision, StoreError> {
    let Changes { changes, revision } = store.watch(collection, from, WATCH_WAIT).await?;
    let some = !changes.is_empty();
    for change in changes {
        match change {
            StoreChange::Written(record) => written(context, record),
            StoreChange::Gone(name) => gone(context, collection, &name),
        }
    }
    if some {
        tokio::time::sleep(GATHER).await;
    }
    Ok(revision)
}

fn written(context: &Context, record: Record) {
    match record {
        Record::Configuration(configuration) => {
            let (version, routes) = (configuration.version, configuration.route_count());
            if context.adopt(*configuration) {
                tracing::info!(event = "configuration_adopted", version, routes);
            }
        }
        Record::BackendServer(server) => {
            let now = Instant::now();
            let change = context.servers(|servers| servers.told(server));
            if let Some(change) = change {
                apply(context, now, &change);
            }
        }
        Record::Vm(_) | Record::Other => {}
        Record::Unreadable(name, why) => {
            tracing::warn!(event = "entry_unreadable", name, why);
        }
    }
}

fn gone(context: &Context, collection: Collection, name: &str) {
    if collection != Collection::BackendServers {
        return;
    }
    let now = Instant::now();
    if let Some(change) = context.servers(|servers| servers.gone(now, name)) {
        apply(context, now, &change);
    }
}

fn apply(context: &Context, now: Instant, change: &Change) {
    let (what, name) = match change {
        Change::Joined(name) => ("joined", name),
        Change::Updated(name) => ("updated", name),
        Change::Left(name) => ("left", name),
        Change::Lapsed(name) => ("lapsed", name),
    };
    tracing::info!(event = "server", what, server = %name);
    context.apply(now, change);
}
