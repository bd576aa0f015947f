//! Keeps what this VM believes of the platform's store: the configuration and the backend servers.
//!
//! A VM that reads the store lists each collection once and then watches it. A watch that fails is
//! asked again from where it stood; where the store forgot its history, the collection is listed
//! anew, and what is not in the list is gone. A VM that follows another learns the same from it. While
//! the store is away, the VM serves by what it knows.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::configuration::{Configuration, ConfigurationVersion};
use kingcuploft::entry::era::{Era, era_of};
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::zone_record::{MAX_NAMED_VMS, ZoneRecord};
use kingcuploft::planted::{self, Planted};

use crate::clock;
use crate::cold;
use crate::context::Context;
use crate::evacuation;
use crate::limits;
use crate::notices;
use crate::peers::frame::Frame;
use crate::peers::standing::standing;
use crate::pulse::Pulse;
use crate::rewinds::Heard;
use crate::server_news;
use crate::store::{Changes, Collection, Page, Record, Revision, Store, StoreChange, StoreError};

/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The same for one that is asked again: it tells at once up to which moment this VM knows the store.
const SHORT_WAIT: Duration = Duration::from_millis(20);

/// How lately bytes have come of an answer that is arriving.
const ARRIVING: Duration = Duration::from_millis(250);

/// The pause after a failed call; jitter up to the same is added.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause: news of a leaving server must arrive within 2 s of the store's return.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// The pause between two watches that brought something: changes come in bursts, and a server that
/// leaves must be known within 2 s.
const GATHER: Duration = Duration::from_millis(600);

/// The same for what is rare and urgent: each tenth of a second may cost another server.
const GATHER_RARE: Duration = Duration::from_millis(50);

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
    let mut wait = WATCH_WAIT;
    loop {
        pulse.open().await;
        let from = context.position(collection).filter(|_| !forgotten);
        let mut asking = std::pin::pin!(next(&context, &*store, collection, from, wait));
        let told = loop {
            tokio::select! {
                biased;
                told = &mut asking => break Some(told),
                () = pulse.shut() => break None,
                () = pulse.again() => {
                    wait = SHORT_WAIT;
                    // An answer that arrives would have to begin anew.
                    if !is_arriving(&*store, collection) {
                        break None;
                    }
                }
            }
        };
        let Some(told) = told else {
            continue;
        };
        match told {
            Ok(revision) => {
                pauses.answered(&context);
                forgotten = false;
                wait = WATCH_WAIT;
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

/// Returns whether an answer about a collection is arriving.
fn is_arriving<S: Store>(store: &S, collection: Collection) -> bool {
    let heard = store.heard(collection);
    heard.is_some_and(|at| clock::now().saturating_duration_since(at) < ARRIVING)
}

async fn next<S: Store>(
    context: &Context,
    store: &S,
    collection: Collection,
    from: Option<Revision>,
    wait: Duration,
) -> Result<Revision, StoreError> {
    match from {
        None => list_all(context, store, collection).await,
        Some(revision) => watch(context, store, collection, revision, wait).await,
    }
}

/// Returns whether a notice was withdrawn, and a store that came back from a copy has it again.
fn brought_back(context: &Context, notice: &Notice) -> bool {
    context.rewinds.brought_back(clock::now(), &notice.id())
}

/// Ends the graces of lapsed entries as they run out.
pub async fn expire(context: Rc<Context>) {
    loop {
        tokio::time::sleep(EXPIRE_EVERY).await;
        let now = clock::now();
        let changes = context.servers(|servers| servers.expire(now));
        changes
            .iter()
            .for_each(|change| server_news::apply(&context, now, change));
        evacuation::expire(&context, now);
        cold::expire(&context, now);
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
    let (mut names, mut servers, mut zones) = (Vec::new(), Vec::new(), Vec::new());
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
        if era_of(revision) != era_of(first) {
            return Err(StoreError::HistoryGone);
        }
        era(context, era_of(first));
        for (name, record) in records {
            match record {
                Record::BackendServer(server) => servers.push(server),
                Record::Notice(notice) if brought_back(context, &notice) => {
                    notices::withdraw(context, notice.id());
                }
                Record::Evacuation(zone) => zones.push(zone),
                other => written(context, other),
            }
            names.push(name);
        }
        if next.is_none() {
            match collection {
                Collection::BackendServers => {
                    server_news::all_told(context, clock::now(), servers, &names);
                }
                Collection::Notices => notices::all_told(context, names.into_iter()),
                Collection::Evacuations => evacuation::all_told(context, zones.into_iter()),
                Collection::Configuration | Collection::Zones => {}
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
    wait: Duration,
) -> Result<Revision, StoreError> {
    let Changes { changes, revision } = store.watch(collection, from, wait).await?;
    if changes.is_empty() {
        return Ok(revision);
    }
    let mut servers = Vec::new();
    for change in changes {
        match change {
            StoreChange::Written(Record::BackendServer(told)) => servers.push(told),
            StoreChange::Written(record) => written(context, record),
            StoreChange::Gone(name) if collection == Collection::BackendServers => {
                // What came before this may be of the same server.
                server_news::told(context, clock::now(), std::mem::take(&mut servers));
                server_news::gone(context, clock::now(), &name);
            }
            StoreChange::Gone(id) if collection == Collection::Notices => {
                notices::withdrawn(context, vec![id]);
            }
            StoreChange::Gone(zone) if collection == Collection::Evacuations => {
                evacuation::gone(context, &zone);
            }
            StoreChange::Gone(_) => {}
        }
    }
    server_news::told(context, clock::now(), servers);
    context.set_position(collection, revision);
    let gather = match collection {
        Collection::Notices | Collection::Evacuations => GATHER_RARE,
        Collection::Configuration | Collection::BackendServers | Collection::Zones => GATHER,
    };
    tokio::time::sleep(gather).await;
    Ok(revision)
}

fn written(context: &Context, record: Record) {
    match record {
        Record::Configuration(told) => configuration(context, *told),
        Record::BackendServer(told) => server_news::told(context, clock::now(), vec![told]),
        Record::Evacuation(zone) => evacuation::told(context, zone),
        Record::Notice(notice) => notices::told(context, vec![notice]),
        Record::Zone(_) | Record::Other => {}
        Record::Unreadable(name, why) => {
            context.metrics.unreadable_entries.inc();
            tracing::warn!(event = "entry_unreadable", name, why);
        }
    }
}

/// Takes a configuration in and passes it on.
pub fn configuration(context: &Context, configuration: Configuration) {
    let (version, routes) = (configuration.version, configuration.route_count());
    configuration_exists(context, version);
    let behind_for = context.in_force.behind_for().unwrap_or_default();
    if context.in_force.adopt(configuration) {
        let behind_ms = behind_for.as_millis() as u64;
        tracing::info!(event = "configuration_adopted", version, routes, behind_ms);
        context.followers.tell_configuration();
        cold::configured(context);
    }
}

/// Takes in that a version of the configuration exists, and passes it on if it is news.
pub fn configuration_exists(context: &Context, version: ConfigurationVersion) {
    if context.in_force.exists(version) {
        context.followers.tell_newer(version);
    }
}

/// Takes in that the store answers again, and passes it on if it is news: a follower that has just joined
/// may never have lost the store, and would keep a leaving server in use for the grace of a lapsed one.
pub fn store_returned(context: &Context) {
    let news = context.servers(|servers| servers.store_returned(clock::now()));
    if news {
        tracing::info!(event = "store_back");
        context.followers.tell(&Frame::StoreReturned);
    }
}

/// How many heartbeats a backend server's entry outlasts.
const LAPSES_AFTER: u32 = 3;

/// Takes in an era that the store has reached, and passes it on before all that is told of it.
pub fn era(context: &Context, era: Era) {
    let now = clock::now();
    if context.rewinds.heard(now, era) == Heard::Known {
        return;
    }
    tracing::warn!(event = "store_rewound", era);
    context.followers.tell_era(&Frame::Era(era));
    let lapse_after = context.bounds.get().heartbeat * LAPSES_AFTER + GATHER;
    context.servers(|servers| servers.store_rewound(now, lapse_after));
    context.evacuations.borrow_mut().store_rewound(now);
}

/// Takes in records of zones, and passes them on if one is news.
pub fn zones(context: &Context, records: Vec<ZoneRecord>) {
    let news = context.readers.borrow_mut().update(records);
    if news.is_empty() {
        return;
    }
    let readers = context.readers.borrow();
    if let Some(count) = readers.vm_count() {
        let part = if planted::is_on(Planted::CountsTooFew) {
            5
        } else {
            1
        };
        context.vms.set((count / part).max(1));
    }
    *context.zone_peers.borrow_mut() = zone_peers(context, readers.record(&context.settings.zone));
    drop(readers);
    limits::divide(context);
    context.followers.tell(&Frame::Zones(news));
}

/// Returns the other VMs of the zone, if the record names them all.
fn zone_peers(context: &Context, record: Option<&ZoneRecord>) -> Vec<SocketAddr> {
    let named_whole = record.filter(|record| record.count as usize <= MAX_NAMED_VMS);
    let vms = named_whole.into_iter().flat_map(|record| &record.vms);
    let others = vms.filter(|vm| vm.name != context.settings.vm);
    others.map(|vm| vm.address).collect()
}
