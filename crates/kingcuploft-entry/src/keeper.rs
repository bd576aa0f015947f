//! Keeps what this VM believes of the platform's store: the configuration and the backend servers.
//!
//! A VM that reads the store lists each collection once and then watches it. A watch that fails is
//! asked again from where it stood; where the store forgot its history, the collection is listed
//! anew, and what is not in the list is gone. A VM that follows another learns the same from it. While
//! the store is away, the VM serves by what it knows.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::{BackendServer, Change};
use kingcuploft::entry::configuration::Configuration;
use kingcuploft::entry::readers::VmEntry;

use crate::context::Context;
use crate::peers::frame::Frame;
use crate::peers::reader::standing;
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
    let mut forgotten = false;
    loop {
        pulse.open().await;
        let from = context.position(collection).filter(|_| !forgotten);
        let told = tokio::select! {
            told = next(&context, &*store, collection, from) => told,
            () = pulse.shut() => continue,
            () = pulse.again() => continue,
        };
        match told {
            Ok(revision) => {
                pauses.answered(&context);
                forgotten = false;
                context.set_position(collection, revision);
                let standing = standing(&context, &pulse);
                context.followers.tell(&Frame::Standing(standing));
            }
            Err(StoreError::HistoryGone) => {
                tracing::info!(event = "history_gone", collection = collection.label());
                forgotten = true;
                // A store that forgets faster than it is read must not be asked without a pause.
                tokio::time::sleep(FIRST_PAUSE).await;
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
            store_returned(context);
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
            if collection == Collection::BackendServers {
                all_servers(context, Instant::now(), &names);
            }
            return Ok(first);
        }
        after = next;
    }
}

async fn watch<S: Store>(
    context: &Context,
    store: &S,
    collection: Collection,
    from: Revision,
) -> Result<Revision, StoreError> {
    let Changes { changes, revision } = store.watch(collection, from, WATCH_WAIT).await?;
    if changes.is_empty() {
        return Ok(revision);
    }
    for change in changes {
        match change {
            StoreChange::Written(record) => written(context, record),
            StoreChange::Gone(name) if collection == Collection::BackendServers => {
                server_gone(context, Instant::now(), &name);
            }
            StoreChange::Gone(_) => {}
        }
    }
    context.set_position(collection, revision);
    tokio::time::sleep(GATHER).await;
    Ok(revision)
}

fn written(context: &Context, record: Record) {
    match record {
        Record::Configuration(told) => configuration(context, *told),
        Record::BackendServer(told) => server(context, Instant::now(), told),
        Record::Vm(_) | Record::Other => {}
        Record::Unreadable(name, why) => {
            context.metrics.unreadable_entries.inc();
            tracing::warn!(event = "entry_unreadable", name, why);
        }
    }
}

/// Takes a configuration in and passes it on.
pub fn configuration(context: &Context, configuration: Configuration) {
    let (version, routes) = (configuration.version, configuration.route_count());
    if context.adopt(configuration) {
        tracing::info!(event = "configuration_adopted", version, routes);
        context.followers.forget_account();
        if let Some(adopted) = context
            .configuration()
            .filter(|_| !context.followers.is_empty())
        {
            let frame = Frame::Configuration(Box::new((*adopted).clone()));
            context.followers.tell(&frame);
        }
    }
}

/// Takes in what is said of a backend server, and passes it on if it is news: a list repeats what
/// is known, and hundreds of lines at once are more than a follower's queue holds.
pub fn server(context: &Context, now: Instant, server: BackendServer) {
    let news = context.servers(|servers| !servers.is_known(&server));
    if news {
        context.followers.tell(&Frame::Server(server.clone()));
    }
    let change = context.servers(|servers| servers.told(server));
    if let Some(change) = change {
        apply(context, now, &change);
    }
}

/// Takes in that a backend server's entry is gone, and passes it on.
pub fn server_gone(context: &Context, now: Instant, name: &str) {
    context.followers.tell(&Frame::ServerGone(name.to_owned()));
    if let Some(change) = context.servers(|servers| servers.gone(now, name)) {
        apply(context, now, &change);
    }
}

/// Takes in which backend servers have entries at all, and passes it on.
pub fn all_servers(context: &Context, now: Instant, names: &[String]) {
    context.followers.tell(&Frame::AllServers(names.to_vec()));
    let present = names.iter().map(String::as_str);
    let changes = context.servers(|servers| servers.all_told(now, present));
    changes
        .iter()
        .for_each(|change| apply(context, now, change));
    context.servers_listed();
}

/// Takes in that the store answers again, and passes it on if it is news: a follower that has just joined
/// may never have lost the store, and would keep a leaving server in use for the grace of a lapsed one.
pub fn store_returned(context: &Context) {
    let news = context.servers(|servers| servers.store_returned(Instant::now()));
    if news {
        tracing::info!(event = "store_back");
        context.followers.tell(&Frame::StoreReturned);
    }
}

/// Takes in which VMs there are, counts them, and passes it on.
pub fn vms(context: &Context, vms: Vec<VmEntry>) {
    context.vms.set(vms.len().max(1));
    vms_uncounted(context, vms);
}

/// Takes in which VMs there are without counting them, and passes it on.
pub fn vms_uncounted(context: &Context, vms: Vec<VmEntry>) {
    let (own, zone) = (&context.settings.vm, &context.settings.zone);
    let others = vms.iter().filter(|vm| vm.zone == *zone && vm.name != *own);
    *context.zone_peers.borrow_mut() = others.map(|vm| vm.address).collect();
    let news = context.readers.borrow_mut().told(vms.clone());
    if news {
        context.followers.tell(&Frame::Vms(vms));
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
