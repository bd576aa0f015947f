//! How this VM learns what the store holds: it finds the VMs of its zone, follows one of them, or reads the store for
//! them.

mod leading;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::readers::Source;
use kingcuploft::entry::startup_delay;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::{self, ZoneCount, ZoneRecord};

use crate::clock;
use crate::context::Context;
use crate::impatience;
use crate::keeper;
use crate::peers::away;
use crate::peers::dial::Dial;
use crate::peers::follower::{self, Link};
use crate::peers::link_error::LinkError;
use crate::peers::seeds;
use crate::pulse::Pulse;
use crate::store::Store;
use crate::zone_list::{Staleness, list_all};

/// The time between two lists of the zones by one that reads the store. Other zones grow meanwhile, and what all use
/// together is divided by the VMs counted.
const LIST_EVERY: Duration = Duration::from_secs(3);

/// How often a VM that reads the store looks whether it may follow another, and whether its zone's record misleads.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// How long a feeder that is behind is given: two VMs that both read hear of a change within half a
/// second of each other, and this VM goes on reading meanwhile.
const CATCH_UP: Duration = Duration::from_millis(170);

/// How many VMs are asked in a row, each of which names another.
const MOST_HOPS: usize = 6;

/// How long a VM that has lost its feeder looks for another before it reads by itself meanwhile.
const WITHOUT_FEEDER: Duration = Duration::from_millis(250);

/// How long a VM that has just started hears another before it goes by what the store holds.
const HEAR_ONCE: Duration = Duration::from_millis(500);

/// How often it looks whether it has heard all.
const HEARD_STEP: Duration = Duration::from_millis(5);

/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);

/// How long a VM can reach none of those that its zone's record names before it names itself beside them; chance adds as
/// much again.
const ALONE: Duration = Duration::from_secs(2);

/// The time between two questions to the seeds by a VM that knows no other.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// Keeps this VM informed, until the process ends.
pub async fn keep<S: Store + 'static, D: Dial + Clone + 'static>(
    context: Rc<Context>,
    store: Rc<S>,
    pulse: Rc<Pulse>,
    own: VmEntry,
    network: D,
) {
    let roster = Roster {
        context: &context,
        store: &store,
        pulse: &pulse,
        own: &own,
        network: &network,
        stored: Cell::default(),
        stored_after: Cell::default(),
        count: Cell::default(),
    };
    let impatience = impatience::without_knowledge(context.clone(), pulse.clone());
    let impatience = tokio::task::spawn_local(impatience);
    if context.settings.all_start {
        tokio::time::sleep(startup_delay::claim_delay(&own, fastrand::f64())).await;
    }
    roster.learn().await;
    tokio::join!(roster.go_on(), roster.lead());
    impatience.abort();
}

struct Roster<'a, S, D> {
    context: &'a Rc<Context>,
    store: &'a Rc<S>,
    pulse: &'a Pulse,
    own: &'a VmEntry,
    network: &'a D,
    /// The version of the own zone's record that the store holds, as far as is known.
    stored: Cell<u64>,
    /// How often the store had come back from a copy then.
    stored_after: Cell<u32>,
    count: Cell<ZoneCount>,
}

impl<S: Store, D: Dial + Clone + 'static> Roster<'_, S, D> {
    async fn go_on(&self) {
        if !self.context.settings.all_start {
            self.hear_once().await;
        }
        let mut fed_at = clock::now();
        loop {
            match self.source() {
                Source::Reader(feeder) => {
                    if self.follow(feeder).await == Link::Fed {
                        fed_at = clock::now();
                    }
                    if clock::since(fed_at) >= WITHOUT_FEEDER && self.context.is_ready() {
                        self.pulse.read();
                    }
                }
                source => {
                    self.read(source).await;
                    fed_at = clock::now();
                }
            }
        }
    }

    /// Hears what another VM of the zone knows, where this one has just started and leads the zone.
    ///
    /// Failure: the store came back from a copy and holds an older configuration than the others have in force; they leave a
    /// VM alone for seconds that has just failed, and it would serve by the older one.
    async fn hear_once(&self) {
        let others = self.record().into_iter().flat_map(|record| record.vms);
        let other = others.into_iter().find(|vm| vm.name != self.own.name);
        let Some(other) = other.filter(|_| self.source() == Source::Store) else {
            return;
        };
        tokio::select! {
            biased;
            () = self.heard() => {}
            _ = follower::follow(self.context, self.pulse, self.own, &other, self.network) => {}
            () = tokio::time::sleep(HEAR_ONCE) => {}
        }
    }

    /// Returns once the VM that is followed has told all, or knows nothing itself.
    async fn heard(&self) {
        while self.context.followed.borrow().is_none() && !self.context.promised.get() {
            tokio::time::sleep(HEARD_STEP).await;
        }
    }

    fn source(&self) -> Source {
        let readers = self.context.readers.borrow();
        let region = &self.context.settings.region;
        let now = clock::now();
        let source = readers.source(now, &self.own.name, &self.own.zone, region);
        let has_lost_store = self.pulse.is_reading() && !self.pulse.is_there();
        match source {
            Source::Store | Source::StoreAlone if has_lost_store => readers
                .source_without_store(now, &self.own.zone, region)
                .map_or(source, Source::Reader),
            _ => source,
        }
    }

    /// Returns whether this VM keeps its zone's record.
    fn leads(&self) -> bool {
        let readers = self.context.readers.borrow();
        let source = readers.source_in_zone(clock::now(), &self.own.name, &self.own.zone);
        source == Source::Store
    }

    fn record(&self) -> Option<ZoneRecord> {
        let readers = self.context.readers.borrow();
        readers.record(&self.own.zone).cloned()
    }

    /// Learns which VMs there are: of the seeds, and of the store if they don't know.
    async fn learn(&self) {
        let settings = &self.context.settings;
        loop {
            let told = seeds::ask(self.network, &settings.seeds, settings.control).await;
            keeper::zones(self.context, told);
            if self.record().is_some() {
                return;
            }
            // While the store is away, one of the seeds may be told by a VM that it answers.
            if self.pulse.is_there() && self.list(Staleness::Allowed).await {
                return;
            }
            tokio::time::sleep(ASK_AGAIN).await;
        }
    }

    /// Learns of the store which VMs there are; returns whether it answered.
    async fn list(&self, stale: Staleness) -> bool {
        match list_all(&**self.store, stale).await {
            Ok(records) => {
                let own = records.iter().find(|record| record.zone == self.own.zone);
                let stored = own.map_or(0, |record| record.version);
                if self.stored_after.get() == self.context.rewinds.count() {
                    self.stored.set(self.stored.get().max(stored));
                }
                keeper::zones(self.context, records);
                true
            }
            Err(error) => {
                tracing::warn!(event = "zones_not_listed", %error);
                false
            }
        }
    }

    /// Follows a VM, or one that it names, until the link ends; returns whether it was fed.
    async fn follow(&self, first: VmEntry) -> Link {
        let mut feeder = first.clone();
        for _ in 0..MOST_HOPS {
            let ended = tokio::select! {
                biased;
                ended = follower::follow(self.context, self.pulse, self.own, &feeder, self.network) => ended,
                () = away::find_store(self.context, self.pulse) => {
                    self.take_over(&feeder).await;
                    return Link::Fed;
                }
                () = self.other_source(&first) => return Link::Fed,
            };
            let link = ended.link;
            match ended.why {
                LinkError::Elsewhere(other) if other.name != self.own.name => {
                    feeder = other;
                    continue;
                }
                LinkError::Behind => {
                    // A feeder that has just started knows nothing yet; this VM goes on by itself meanwhile.
                    if self.context.is_ready() {
                        self.pulse.read();
                    }
                    tokio::time::sleep(CATCH_UP).await;
                    return link;
                }
                LinkError::Circle => {
                    self.context.metrics.reader_lost(LinkError::Circle.label());
                    let mut readers = self.context.readers.borrow_mut();
                    readers.record_cycle(clock::now(), &feeder.name);
                    return link;
                }
                why => {
                    let metrics = &self.context.metrics;
                    metrics.reader_lost(why.label());
                    tracing::info!(event = "reader_lost", reader = %feeder.name, why = %why);
                }
            }
            let mut readers = self.context.readers.borrow_mut();
            readers.record_failure(clock::now(), &feeder.name);
            return link;
        }
        // Each named another: those below will have told how many they feed by then.
        tokio::time::sleep(CATCH_UP).await;
        Link::NotFed
    }

    /// Returns once this VM would follow another than `first`, and hears through it of no store, or has followed it for its
    /// zone, which another leads by now.
    ///
    /// Failure: the store turns away the VM that leads a zone, and serves another of that zone, which names itself first.
    async fn other_source(&self, first: &VmEntry) {
        loop {
            tokio::time::sleep(LOOK_EVERY / 5).await;
            let hears_of_store = self.context.reader_has_store.get() || self.pulse.is_reading();
            let has_other = self.source() != Source::Reader(first.clone());
            let follows_for_zone = first.zone != self.own.zone;
            if has_other && (!hears_of_store || follows_for_zone && self.is_led()) {
                return;
            }
        }
    }

    /// Returns whether another VM leads the zone.
    fn is_led(&self) -> bool {
        let readers = self.context.readers.borrow();
        let source = readers.source_in_zone(clock::now(), &self.own.name, &self.own.zone);
        matches!(source, Source::Reader(_))
    }

    /// Makes this VM its zone's reader, as the store answers it and not the one that reads; that one follows it. One that
    /// leads its zone already reads for that alone until it finds a reader that has the store.
    async fn take_over(&self, feeder: &VmEntry) {
        if self.leads() {
            self.context
                .readers
                .borrow_mut()
                .record_failure(clock::now(), &feeder.name);
            return;
        }
        let Some(old) = self.record() else {
            return;
        };
        let record = zone_record::with_leader(&old, self.own);
        tracing::info!(event = "reader_taken_over", version = record.version);
        keeper::zones(self.context, vec![record.clone()]);
        let first = old.vms.first().unwrap_or(feeder);
        seeds::tell(self.network, vec![first.address, feeder.address], record);
    }

    /// Reads the store until another VM reads.
    async fn read(&self, source: Source) {
        self.pulse.read();
        let begun = clock::now();
        let append_after = ALONE.mul_f64(1.0 + fastrand::f64());
        let mut listed: Option<Instant> = None;
        while self.source() == source {
            let is_old = listed.is_none_or(|at| clock::since(at) >= LIST_EVERY);
            if self.pulse.is_there() && is_old && self.record().is_some() {
                self.list(Staleness::Allowed).await;
                listed = Some(clock::now());
                continue;
            }
            if source == Source::StoreAlone && clock::since(begun) >= append_after {
                self.append().await;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }
}
