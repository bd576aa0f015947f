//! Synchronizes this VM with the platform's store: the configuration, the backend servers, the notices and the
//! evacuations.
//!
//! A VM that reads the store lists each collection once and then watches it. A watch that fails is repeated from its
//! revision; where the store has compacted its history, the collection is listed anew, and what is not in the list is
//! removed. A VM that follows another receives the same changes from it. While the store is not available, the VM
//! serves by its last known state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::configuration::{Configuration, ConfigurationVersion};
use kingcuploft::entry::era::Era;
use kingcuploft::entry::vm_count::VmCount;
use kingcuploft::entry::watch_lag::WatchLag;
use kingcuploft::entry::zone_record::{MAX_NAMED_VMS, ZoneRecord};
use kingcuploft::planted::{self, PlantedFault};

use crate::clock;
use crate::cold_servers;
use crate::context::Context;
use crate::evacuation;
use crate::limits;
use crate::notices;
use crate::pauses;
use crate::peers::frame::Frame;
use crate::peers::sync_status::sync_status;
use crate::relist::Relist;
use crate::rewinds::EraUpdate;
use crate::server_batch::ServerBatch;
use crate::server_updates;
use crate::store::{Changes, Collection, Record, Revision, Store, StoreChange, StoreError};
use crate::store_access::StoreAccess;
use crate::store_list::{self, ListLog};
use crate::unlisted::{follow_unlisted, informed_meanwhile};
use crate::watch_check;

/// How long a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The same for a watch that is repeated: its answer shows at once up to which revision this VM knows the store.
const REWATCH_TIMEOUT: Duration = Duration::from_millis(20);

/// The step of the backoff after failed calls; random jitter up to the pause itself is added.
const BACKOFF_STEP: Duration = Duration::from_millis(100);

/// The longest pause: news of a leaving server must arrive within 2 s of the store's return.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// The pause after a watch that brought changes: changes come in bursts, and a server that leaves must be known within
/// 2 s.
const BATCH_PAUSE: Duration = Duration::from_millis(600);

/// The same for collections whose changes are rare and urgent: each tenth of a second may cost another server.
const URGENT_BATCH_PAUSE: Duration = Duration::from_millis(50);

/// The number of changes in an answer from which on no more are waited for. A release of thousands of servers arrives as
/// many answers, and a leaving server must not wait for them one pause after the other.
const FULL_BATCH: usize = 64;

/// How long a VM whose history is gone waits for a list before it follows what is new without one.
const WAIT_FOR_LIST: Duration = Duration::from_secs(3);

/// How often a VM that is not ready says so, and what it lacks.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// How often the grace periods of lapsed entries are checked.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps this VM's copy of one collection up to date until the process ends.
pub async fn sync_collection<S: Store>(
    context: Rc<Context>,
    store: Rc<S>,
    store_access: Rc<StoreAccess>,
    collection: Collection,
) {
    let mut backoff = Backoff::default();
    let list_log = ListLog::default();
    let mut is_history_gone = false;
    let mut wait = WATCH_TIMEOUT;
    let mut lag = WatchLag::default();
    let mut relist = Relist::default();
    let mut answered_at = clock::now();
    loop {
        store_access.wait_until_open().await;
        let is_whole = context.whole_position(collection).is_some();
        relist.check(!is_whole && context.position(collection).is_some());
        let lists = is_history_gone || relist.is_due(clock::now());
        let from = context.position(collection).filter(|_| !lists);
        let until_relist = relist.until(clock::now()).unwrap_or(wait);
        let wait_now = wait.min(until_relist);
        let reached = store_access.reached();
        let request = list_or_watch(
            &context, &*store, collection, from, wait_now, reached, &list_log,
        );
        let mut request = std::pin::pin!(request);
        let outcome = loop {
            tokio::select! {
                biased;
                outcome = &mut request => break Some(outcome),
                () = store_access.wait_until_closed() => break None,
                () = informed_meanwhile(&context, collection), if !lists && from.is_none() => break None,
                () = store_access.wait_for_rewatch() => {
                    wait = REWATCH_TIMEOUT;
                    // An answer that is arriving would have to start again.
                    if !watch_check::is_arriving(&*store, collection) {
                        break None;
                    }
                }
                () = watch_check::wait_until_behind(&context, &*store, &store_access, collection, &mut lag) => {
                    wait = REWATCH_TIMEOUT;
                    break None;
                }
            }
        };
        let Some(outcome) = outcome else {
            continue;
        };
        match outcome {
            Ok(revision) => {
                if backoff.failures > 0 && planted::is_on(PlantedFault::MistakesOutages) {
                    note_store_return(&context, ReturnSource::Probe(Duration::ZERO));
                }
                backoff.answered();
                answered_at = clock::now();
                is_history_gone = false;
                wait = WATCH_TIMEOUT;
                context.set_position(collection, revision);
                let status = sync_status(&context, &store_access);
                context.followers.send(&Frame::Status(status));
            }
            Err(StoreError::HistoryGone) => {
                tracing::info!(event = "history_gone", collection = collection.label());
                is_history_gone = true;
                // A store that compacts its history faster than it is read must not be called without a pause.
                tokio::time::sleep(BACKOFF_STEP).await;
            }
            Err(error) => {
                let can_watch = context.position(collection).is_some() && !is_history_gone;
                let has_waited = clock::since(answered_at) >= WAIT_FOR_LIST;
                let cannot_list = !can_watch && (error.is_lasting() || has_waited);
                if cannot_list && follow_unlisted(&context, &store_access, collection) {
                    is_history_gone = false;
                    continue;
                }
                // A watch that is refused, or whose answer can't be read, tells nothing: a list does.
                is_history_gone |= can_watch && error.is_lasting();
                tokio::time::sleep(backoff.failed(collection, &error)).await;
            }
        }
    }
}

async fn list_or_watch<S: Store>(
    context: &Context,
    store: &S,
    collection: Collection,
    from: Option<Revision>,
    wait: Duration,
    reached: Option<Revision>,
    log: &ListLog,
) -> Result<Revision, StoreError> {
    match from {
        None => store_list::list_all(context, store, collection, reached, log).await,
        Some(revision) => watch(context, store, collection, revision, wait).await,
    }
}

/// Ends the grace periods of lapsed entries when they run out.
pub async fn run_expiry(context: Rc<Context>) {
    let mut warned_at = context.started_at;
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let now = clock::now();
        let changes = context.with_servers(|servers| servers.expire(now));
        changes
            .iter()
            .for_each(|change| server_updates::apply_change(&context, now, change));
        warn_not_ready(&context, now, &mut warned_at);
        evacuation::expire(&context, now);
        cold_servers::expire(&context, now);
        pauses::expire(&context, now);
    }
}

/// Warns, once a second, that this VM is not ready: what it lacks, and which other VM it has asked for it.
fn warn_not_ready(context: &Context, now: Instant, warned_at: &mut Instant) {
    let is_due = now.saturating_duration_since(*warned_at) >= WARNING_INTERVAL;
    if !is_due || context.is_ready() || context.shutdown.is_stopping() {
        return;
    }
    *warned_at = now;
    let up_ms = now
        .saturating_duration_since(context.started_at)
        .as_millis() as u64;
    let unreadable_entries = context.metrics.unreadable_entries.get();
    if context.active_configuration.version().is_none() {
        tracing::warn!(event = "without_configuration", up_ms, unreadable_entries);
    }
    let missing: Vec<_> = context.missing_to_serve().collect();
    let asked = context.last_feed_request.borrow();
    tracing::warn!(
        event = "not_ready",
        missing = missing.join(", "),
        up_ms,
        asked = asked.as_ref().map(|asked| &*asked.vm),
        answer = asked.as_ref().map(|asked| asked.answer),
    );
}

#[derive(Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    fn answered(&mut self) {
        self.failures = 0;
    }

    fn failed(&mut self, collection: Collection, error: &StoreError) -> Duration {
        if self.failures == 0 {
            tracing::warn!(event = "store_call_failed", collection = collection.label(), %error);
        }
        self.failures += 1;
        let pause = BACKOFF_STEP * self.failures.min(8);
        pause.min(MAX_BACKOFF).mul_f64(1.0 + fastrand::f64())
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
    let is_full_batch = changes.len() >= FULL_BATCH;
    let mut servers = ServerBatch::default();
    for change in changes {
        match change {
            StoreChange::Written(Record::BackendServer(server)) => servers.add(context, server),
            StoreChange::Written(record) => apply_record(context, record),
            StoreChange::Removed(name) if collection == Collection::BackendServers => {
                servers.remove(name.into());
            }
            StoreChange::Removed(id) if collection == Collection::Notices => {
                notices::apply_withdrawals(context, vec![id]);
            }
            StoreChange::Removed(zone) if collection == Collection::Evacuations => {
                evacuation::apply_end(context, &zone);
            }
            StoreChange::Removed(_) => {}
        }
    }
    servers.apply(context);
    context.set_position(collection, revision);
    if is_full_batch {
        return Ok(revision);
    }
    let pause = match collection {
        Collection::Notices | Collection::Evacuations => URGENT_BATCH_PAUSE,
        Collection::Configuration | Collection::BackendServers | Collection::Zones => BATCH_PAUSE,
    };
    tokio::time::sleep(pause).await;
    Ok(revision)
}

pub(crate) fn apply_record(context: &Context, record: Record) {
    match record {
        Record::Configuration(configuration) => adopt_configuration(context, *configuration),
        Record::BackendServer(server) => {
            server_updates::apply_servers(context, clock::now(), vec![server])
        }
        Record::Evacuation(zone) => evacuation::apply_begin(context, zone),
        Record::Notice(notice) => notices::apply_notices(context, vec![notice]),
        Record::Zone(_) | Record::Other => {}
        Record::Unreadable(name, why) => {
            context.metrics.unreadable_entries.inc();
            tracing::warn!(event = "entry_unreadable", name, why);
        }
    }
}

/// Puts a configuration in force if it is newer, and forwards it to the followers.
pub fn adopt_configuration(context: &Context, configuration: Configuration) {
    let (version, routes) = (configuration.version, configuration.route_count());
    note_configuration_version(context, version);
    let behind_for = context.active_configuration.stale_for().unwrap_or_default();
    if context.active_configuration.adopt(configuration) {
        let behind_ms = behind_for.as_millis() as u64;
        let in_force = context.configuration();
        let workspaces = in_force.as_ref().and_then(|c| c.workspaces.as_ref());
        tracing::info!(
            event = "configuration_adopted",
            version,
            routes,
            behind_ms,
            workspaces = workspaces.map(|workspaces| workspaces.len()),
            keys = workspaces.map(|workspaces| workspaces.key_count()),
        );
        context.followers.send_configuration();
        cold_servers::apply_configuration(context);
    }
}

/// Records that a version of the configuration exists, and forwards that if it was unknown.
pub fn note_configuration_version(context: &Context, version: ConfigurationVersion) {
    if context.active_configuration.note_version(version) {
        context.followers.send_newer_version(version);
    }
}

/// By what this VM knows that an outage of the store has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReturnSource {
    /// Its own probes went unanswered for this long, and one was answered.
    Probe(Duration),
    /// The VM that it follows says that it ended this long ago.
    Feeder(Duration),
}

/// Records that an outage of the store has ended in which entries of servers may have expired, and forwards that if it was
/// unknown.
pub fn note_store_return(context: &Context, source: ReturnSource) {
    let (ago, away_for) = match source {
        ReturnSource::Probe(away_for) => (Duration::ZERO, Some(away_for)),
        ReturnSource::Feeder(ago) => (ago, None),
    };
    let now = clock::now();
    let returned_at = now.checked_sub(ago).unwrap_or(now);
    if !context.with_servers(|servers| servers.store_returned(now, returned_at)) {
        return;
    }
    let away_ms = away_for.map(|away_for| away_for.as_millis() as u64);
    tracing::info!(event = "store_back", away_ms, may_expire = true);
    context.followers.send_store_return(ago);
}

/// Applies a feeder's report that an outage of the store ended this long ago. A VM that was in contact with the store meanwhile, by
/// another feeder or by itself, knows better: the feeder had lost the store alone.
pub fn apply_store_return(context: &Context, ago: Duration) {
    let is_lost = context.store_contact.get().is_lost();
    if is_lost || planted::is_on(PlantedFault::MistakesOutages) {
        note_store_return(context, ReturnSource::Feeder(ago));
    }
}

/// How many heartbeats a backend server may miss before its entry lapses.
const HEARTBEATS_UNTIL_LAPSE: u32 = 3;

/// Records an era that the store has reached, and forwards it before all changes of that era.
pub fn note_era(context: &Context, era: Era) {
    let now = clock::now();
    if context.rewinds.observe_era(now, era) == EraUpdate::Known {
        return;
    }
    tracing::warn!(event = "store_rewound", era);
    context.followers.send_era(&Frame::Era(era));
    let lapse_after = context.bounds.get().heartbeat * HEARTBEATS_UNTIL_LAPSE + BATCH_PAUSE;
    context.with_servers(|servers| servers.store_rewound(now, lapse_after));
    context.evacuations.borrow_mut().store_rewound(now);
}

/// Applies zone records, and forwards those that are new.
pub fn apply_zone_records(context: &Context, records: Vec<ZoneRecord>) {
    let updates = context.readers.borrow_mut().update(records);
    if updates.is_empty() {
        return;
    }
    let readers = context.readers.borrow();
    if let Some(count) = readers.vm_count() {
        let divisor = if planted::is_on(PlantedFault::CountsTooFew) {
            5
        } else {
            1
        };
        context
            .vm_count
            .set(VmCount::Counted((count / divisor).max(1)));
    }
    *context.zone_peers.borrow_mut() = zone_peers(context, readers.record(&context.settings.zone));
    drop(readers);
    limits::redistribute(context);
    context.followers.send(&Frame::Zones(updates));
}

/// Returns the addresses of the other VMs of the zone, if the record names all of them.
fn zone_peers(context: &Context, record: Option<&ZoneRecord>) -> Vec<SocketAddr> {
    let named_whole = record.filter(|record| record.count as usize <= MAX_NAMED_VMS);
    let vms = named_whole.into_iter().flat_map(|record| &record.vms);
    let others = vms.filter(|vm| vm.name != context.settings.vm);
    others.map(|vm| vm.address).collect()
}
