//! Keeps this VM synchronized with the platform's store: it discovers the VMs of its zone, follows one of them, or
//! reads the store for them.

mod informing;
mod reading;
mod zone_leader;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::readers::Source;
use kingcuploft::entry::startup_delay;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::{self, ZoneRecord};

use crate::clock;
use crate::context::Context;
use crate::peers::dial::Dial;
use crate::peers::follower::{self, LinkOutcome};
use crate::peers::link_error::LinkError;
use crate::peers::reader_failover;
use crate::peers::seeds;
use crate::store::Store;
use crate::store_access::StoreAccess;
use crate::store_fallback;
use crate::store_watcher;
use crate::zone_list::{Staleness, list_all};

/// How often a VM that reads the store checks whether it may follow another, and how often a leader checks its zone's
/// record.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long a feeder that is behind is given to catch up. Two VMs that both read the store learn of a change within
/// half a second of each other, and this VM goes on reading meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_millis(170);

/// The most VMs that are asked in a row, each of which redirects to the next.
const MAX_REDIRECTS: usize = 6;

/// How long a VM that has lost its feeder looks for another before it reads the store meanwhile.
const MAX_TIME_WITHOUT_FEEDER: Duration = Duration::from_millis(250);

/// How long the VMs that a zone's record names may take to accept a link when a feeder has failed.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a VM that has just started syncs from another VM before it relies on what the store holds.
const INITIAL_SYNC_TIMEOUT: Duration = Duration::from_millis(500);

/// How often it checks whether that VM has sent all.
const INITIAL_SYNC_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The pause after a failed call of the store; chance adds as much again.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long a VM waits for the outcome of its claim to a zone that has no record before it reads the store.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a VM asks for the zones' records where the store refuses to list them.
const MAX_DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// The time between two queries of the seeds by a VM that knows no other.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Keeps this VM synchronized with the store, until the process ends.
pub async fn run<S: Store + 'static, D: Dial + Clone + 'static>(
    context: Rc<Context>,
    store: Rc<S>,
    store_access: Rc<StoreAccess>,
    own: VmEntry,
    network: D,
) {
    let sync = StoreSync {
        context: &context,
        store: &store,
        store_access: &store_access,
        own: &own,
        network: &network,
        stored_version: Cell::default(),
        stored_at_rewind: Cell::default(),
        has_lost_feeder: Cell::default(),
    };
    let fallback = store_fallback::read_store_if_uninformed(context.clone(), store_access.clone());
    let fallback = tokio::task::spawn_local(fallback);
    let informing = async {
        // On the first start of all no VM knows more than another.
        if !context.settings.is_first_start {
            informing::run(&context, &own, &network).await;
        }
    };
    tokio::join!(sync.start(), informing);
    fallback.abort();
}

/// Whether the store has listed the zones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ZonesListed {
    /// It has.
    Whole,
    /// It has not, and may do so later.
    NotNow,
    /// It has not, and would not if it were asked again.
    Never,
}

/// The synchronization of one VM with the store.
struct StoreSync<'a, S, D> {
    context: &'a Rc<Context>,
    store: &'a Rc<S>,
    store_access: &'a StoreAccess,
    own: &'a VmEntry,
    network: &'a D,
    /// The version of the own zone's record in the store, as far as is known.
    stored_version: Cell<u64>,
    /// How many rewinds of the store were known when that was learned.
    stored_at_rewind: Cell<u32>,
    /// Whether a VM that this one followed, or tried to, has failed since that was last asked.
    has_lost_feeder: Cell<bool>,
}

impl<S: Store, D: Dial + Clone + 'static> StoreSync<'_, S, D> {
    /// Finds the other VMs, then follows one or reads the store, and leads the zone, until the process ends.
    async fn start(&self) {
        if self.context.settings.is_first_start {
            let delay = startup_delay::claim_delay(self.own, fastrand::f64());
            tokio::time::sleep(delay).await;
        }
        self.discover_vms().await;
        self.claim_unrecorded_zone().await;
        tokio::join!(self.follow_or_read(), self.lead_zone());
    }

    /// Follows a feeder or reads the store, whichever this VM's source is, until the process ends.
    async fn follow_or_read(&self) {
        if !self.context.settings.is_first_start {
            self.sync_from_peer_once().await;
        }
        let mut fed_at = clock::now();
        loop {
            match self.source() {
                Source::Reader(feeder) => {
                    if self.follow(feeder).await == LinkOutcome::Fed {
                        fed_at = clock::now();
                    }
                    if self.has_lost_feeder.take() && self.context.is_ready() {
                        self.avoid_unreachable_vms().await;
                    }
                    if clock::since(fed_at) >= MAX_TIME_WITHOUT_FEEDER && self.context.is_ready() {
                        self.store_access.start_reading();
                    }
                }
                source => {
                    self.read_store(source).await;
                    fed_at = clock::now();
                }
            }
        }
    }

    /// Syncs from another VM of the zone, if this one has just started and leads the zone.
    ///
    /// Failure: the store was restored from an older copy, and holds an older configuration than the other VMs have in
    /// force. They leave a VM that has just failed alone for some seconds, and meanwhile it would serve by the older
    /// configuration.
    async fn sync_from_peer_once(&self) {
        let others = self
            .own_zone_record()
            .into_iter()
            .flat_map(|record| record.vms);
        let other = others.into_iter().find(|vm| vm.name != self.own.name);
        let Some(other) = other.filter(|_| self.source() == Source::Store) else {
            return;
        };
        tokio::select! {
            biased;
            () = self.peer_answered() => {}
            _ = follower::follow(self.context, self.store_access, self.own, &other, self.network) => {}
            () = tokio::time::sleep(INITIAL_SYNC_TIMEOUT) => {}
        }
    }

    /// Returns once the VM that is followed has sent its snapshot, or has said that it is not synchronized itself.
    async fn peer_answered(&self) {
        while self.context.feeder.borrow().is_none() && !self.context.feed_promised.get() {
            tokio::time::sleep(INITIAL_SYNC_POLL_INTERVAL).await;
        }
    }

    /// Returns where this VM learns what the store holds: a reader that has the store if this VM has lost it.
    fn source(&self) -> Source {
        let readers = self.context.readers.borrow();
        let region = &self.context.settings.region;
        let now = clock::now();
        let source = readers.source(now, &self.own.name, &self.own.zone, region);
        let has_lost_store = self.store_access.is_reading() && !self.store_access.is_available();
        match source {
            Source::Store | Source::StoreAlone if has_lost_store => readers
                .source_without_store(now, &self.own.zone, region)
                .map_or(source, Source::Reader),
            _ => source,
        }
    }

    /// Returns whether this VM leads its zone and so keeps the zone's record.
    fn is_zone_leader(&self) -> bool {
        let readers = self.context.readers.borrow();
        let source = readers.source_in_zone(clock::now(), &self.own.name, &self.own.zone);
        source == Source::Store
    }

    fn own_zone_record(&self) -> Option<ZoneRecord> {
        let readers = self.context.readers.borrow();
        readers.record(&self.own.zone).cloned()
    }

    /// Discovers the VMs: from the seeds, or from the store if the seeds know none.
    async fn discover_vms(&self) {
        let started_at = clock::now();
        loop {
            self.query_seeds().await;
            if self.own_zone_record().is_some() {
                return;
            }
            // While the store is away, a VM that the store answers may still send a record to one of the seeds.
            if self.store_access.is_available() {
                match self.list_zones(Staleness::Allowed).await {
                    ZonesListed::Whole => return,
                    // Each VM then reads the store by itself until another tells it the records.
                    ZonesListed::Never if clock::since(started_at) >= MAX_DISCOVERY_TIME => return,
                    ZonesListed::Never | ZonesListed::NotNow => {}
                }
            }
            tokio::time::sleep(SEED_RETRY_INTERVAL).await;
        }
    }

    /// Asks the seeds for the records of the zones.
    async fn query_seeds(&self) {
        let settings = &self.context.settings;
        let records = seeds::query(self.network, &settings.seeds, settings.control_address);
        store_watcher::apply_zone_records(self.context, records.await);
    }

    /// Reads the records of the zones from the store.
    async fn list_zones(&self, stale: Staleness) -> ZonesListed {
        match list_all(&**self.store, stale).await {
            Ok(records) => {
                let own = records.iter().find(|record| record.zone == self.own.zone);
                let stored_version = own.map_or(0, |record| record.version);
                if self.stored_at_rewind.get() == self.context.rewinds.count() {
                    self.stored_version
                        .set(self.stored_version.get().max(stored_version));
                }
                store_watcher::apply_zone_records(self.context, records);
                ZonesListed::Whole
            }
            Err(error) => {
                tracing::warn!(event = "zones_not_listed", %error);
                match error.is_lasting() {
                    true => ZonesListed::Never,
                    false => ZonesListed::NotNow,
                }
            }
        }
    }

    /// Follows a VM, or one that it redirects to, until the link ends; returns whether this VM was fed.
    async fn follow(&self, first: VmEntry) -> LinkOutcome {
        let mut feeder = first.clone();
        for _ in 0..MAX_REDIRECTS {
            let end = tokio::select! {
                biased;
                end = follower::follow(self.context, self.store_access, self.own, &feeder, self.network) => end,
                () = reader_failover::wait_for_takeover(self.context, self.store_access) => {
                    self.take_over_reading(&feeder).await;
                    return LinkOutcome::Fed;
                }
                () = self.source_changed(&first) => return LinkOutcome::Fed,
            };
            let outcome = end.outcome;
            match end.why {
                LinkError::Redirected(other) if other.name != self.own.name => {
                    feeder = other;
                    continue;
                }
                LinkError::Behind => {
                    // A feeder that has just started is not synchronized yet; this VM reads the store meanwhile.
                    if self.context.is_ready() {
                        self.store_access.start_reading();
                    }
                    tokio::time::sleep(CATCH_UP_TIME).await;
                    return outcome;
                }
                LinkError::Cycle => {
                    self.context
                        .metrics
                        .count_reader_lost(LinkError::Cycle.label());
                    let mut readers = self.context.readers.borrow_mut();
                    readers.record_cycle(clock::now(), &feeder.name);
                    return outcome;
                }
                why => {
                    let metrics = &self.context.metrics;
                    metrics.count_reader_lost(why.label());
                    tracing::info!(event = "reader_lost", reader = %feeder.name, why = %why);
                }
            }
            self.has_lost_feeder.set(true);
            let mut readers = self.context.readers.borrow_mut();
            readers.record_failure(clock::now(), &feeder.name);
            return outcome;
        }
        // Each VM redirected to another. By the next attempt, those that they feed have reported how many they feed in
        // turn.
        tokio::time::sleep(CATCH_UP_TIME).await;
        LinkOutcome::NotFed
    }

    /// Opens links to all VMs that the zone's record names, and avoids those that don't accept one.
    ///
    /// Failure: most VMs lose power at the same moment. Tried one after the other, each costs the time of a connection
    /// that nobody accepts, and by then all that are left read the store.
    async fn avoid_unreachable_vms(&self) {
        let named = self.own_zone_record().map(|record| record.vms);
        let others = named.into_iter().flatten();
        let others = others.filter(|vm| vm.name != self.own.name);
        let links: Vec<_> = others
            .map(|vm| {
                let network = self.network.clone();
                tokio::task::spawn_local(async move {
                    let dialing = network.dial(vm.address);
                    let dialed = tokio::time::timeout(REACHABILITY_TIMEOUT, dialing).await;
                    (vm, matches!(dialed, Ok(Ok(_))))
                })
            })
            .collect();
        for link in links {
            if let Ok((vm, false)) = link.await {
                let mut readers = self.context.readers.borrow_mut();
                readers.record_failure(clock::now(), &vm.name);
            }
        }
    }

    /// Returns once this VM would follow another VM than `first`, and either gets nothing of the store through the one
    /// it follows, or has followed it for its zone, which another VM leads by now.
    ///
    /// Failure: the store turns away the VM that leads a zone, and serves another VM of that zone, which has put itself
    /// first in the zone's record.
    async fn source_changed(&self, first: &VmEntry) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL / 5).await;
            let reaches_store =
                self.context.reader_has_store.get() || self.store_access.is_reading();
            let has_other = self.source() != Source::Reader(first.clone());
            let follows_for_zone = first.zone != self.own.zone;
            if has_other && (!reaches_store || follows_for_zone && self.has_other_leader()) {
                return;
            }
        }
    }

    /// Returns whether another VM leads the zone.
    fn has_other_leader(&self) -> bool {
        let readers = self.context.readers.borrow();
        let source = readers.source_in_zone(clock::now(), &self.own.name, &self.own.zone);
        matches!(source, Source::Reader(_))
    }

    /// Makes this VM its zone's reader, as the store answers it and not the current reader, which then follows this VM.
    /// A VM that leads its zone already reads for the zone alone until it finds a reader that has the store.
    async fn take_over_reading(&self, feeder: &VmEntry) {
        if self.is_zone_leader() {
            self.context
                .readers
                .borrow_mut()
                .record_failure(clock::now(), &feeder.name);
            return;
        }
        let Some(old) = self.own_zone_record() else {
            return;
        };
        let record = zone_record::with_leader(&old, self.own);
        tracing::info!(event = "reader_taken_over", version = record.version);
        store_watcher::apply_zone_records(self.context, vec![record.clone()]);
        let first = old.vms.first().unwrap_or(feeder);
        seeds::publish(self.network, vec![first.address, feeder.address], record);
    }
}
