//! The VMs, the store and the links between them, played in steps of ten milliseconds.

use std::time::{Duration, Instant};

use fastrand::Rng;
use kingcuploft::entry::feeding::{Admission, Fed, admit, below, is_circle};
use kingcuploft::entry::joining;
use kingcuploft::entry::readers::{Readers, Source, VmEntry};
use kingcuploft::entry::zone_record::{SETTLE, Seen, ZoneCount, ZoneRecord, handed_over, renewed};
use kingcuploft::world::ids::{AvailabilityZone, VmName};

/// The time that one step plays.
pub(crate) const STEP: Duration = Duration::from_millis(10);

/// How many steps a link that has gone silent is trusted.
const SILENCE_STEPS: u32 = 65;

/// How many steps a VM without a feeder looks for one before it reads.
const WITHOUT_FEEDER_STEPS: u32 = 25;

/// How many steps pass between two looks at the zone's record.
const LOOK_STEPS: u64 = 50;

/// How many steps the store's stale lists are behind.
const STALE_STEPS: usize = 80;

/// How often a VM is sent from one to the next.
const MOST_HOPS: usize = 6;

/// One VM.
pub(crate) struct Vm {
    entry: VmEntry,
    pub(crate) up: bool,
    /// The group of those that reach each other and, in group 0, the store.
    pub(crate) group: u32,
    started: Instant,
    readers: Readers,
    /// How often it learned of another record.
    news: u64,
    /// Whom it heard last, and how much that knew.
    heard: Option<(usize, u64)>,
    told: bool,
    chance: f64,
    promised: bool,
    pub(crate) reading: bool,
    pub(crate) feeder: Option<usize>,
    path: Vec<VmName>,
    silent_steps: u32,
    unfed_steps: u32,
    waits_until: Instant,
    pub(crate) version: Option<u64>,
    led_since: Option<Instant>,
    stored: u64,
    count: ZoneCount,
}

/// All VMs and the store.
pub(crate) struct Fleet {
    pub(crate) vms: Vec<Vm>,
    pub(crate) now: Instant,
    begun: Instant,
    step: u64,
    rng: Rng,
    seeds: Vec<usize>,
    /// The version of the configuration that the store holds.
    pub(crate) version: u64,
    records: Vec<ZoneRecord>,
    /// What stale lists show, the newest last.
    older: Vec<Vec<ZoneRecord>>,
    /// Calls to the store, a stale list as a tenth.
    pub(crate) calls: f64,
    all_start: bool,
}

impl Fleet {
    /// Builds a fleet of these zones, in each of which three VMs are larger, and starts it for the first time.
    pub(crate) fn start(seed: u64, zones: &[usize]) -> Self {
        let mut rng = Rng::with_seed(seed);
        let now = Instant::now();
        let mut vms = Vec::new();
        for (zone, count) in zones.iter().enumerate() {
            for at in 0..*count {
                let entry = VmEntry {
                    name: format!("zone-{zone}-{at}").into(),
                    zone: format!("zone-{zone}").into(),
                    address: ([127, 0, 0, 1], 7660).into(),
                    cpu_milli: if at < 3 { 500 } else { 100 },
                };
                vms.push(Vm::new(entry, now, rng.f64()));
            }
        }
        let seeds = (0..3).map(|_| rng.usize(0..vms.len())).collect();
        let mut fleet = Self {
            vms,
            now,
            begun: now,
            step: 0,
            rng,
            seeds,
            version: 1,
            records: Vec::new(),
            older: Vec::new(),
            calls: 0.0,
            all_start: true,
        };
        for at in 0..fleet.vms.len() {
            let chance = fleet.vms[at].chance;
            fleet.vms[at].waits_until = now + joining::claim_after(&fleet.vms[at].entry, chance);
        }
        fleet
    }

    /// Plays for so long.
    pub(crate) fn play(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.now += STEP;
            self.step += 1;
            self.older.push(self.records.clone());
            if self.older.len() > 2 * STALE_STEPS {
                self.older.drain(..STALE_STEPS);
            }
            for at in 0..self.vms.len() {
                if self.vms[at].up {
                    self.act(at);
                }
            }
        }
        self.all_start = false;
    }

    /// Has these VMs start anew, knowing nothing, within a tenth of a second.
    pub(crate) fn restart(&mut self, which: impl Fn(usize) -> bool) {
        for at in (0..self.vms.len()).filter(|at| which(*at)) {
            let entry = self.vms[at].entry.clone();
            let group = self.vms[at].group;
            let jitter = Duration::from_millis(self.rng.u64(0..100));
            let mut vm = Vm::new(entry, self.now + jitter, self.rng.f64());
            vm.waits_until = self.now + jitter;
            vm.group = group;
            self.vms[at] = vm;
        }
    }

    pub(crate) fn reaches_store(&self, at: usize) -> bool {
        self.vms[at].group == 0
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.vms[to].up && self.vms[from].group == self.vms[to].group
    }

    fn find(&self, name: &VmName) -> Option<usize> {
        self.vms.iter().position(|vm| vm.entry.name == *name)
    }

    fn act(&mut self, at: usize) {
        if self.now < self.vms[at].waits_until {
            return;
        }
        if !self.vms[at].told {
            self.learn(at);
        }
        match self.vms[at].feeder {
            Some(feeder) => self.hear(at, feeder),
            None => self.look(at),
        }
        self.lose_patience(at);
        if self.vms[at].reading && self.reaches_store(at) {
            if self.vms[at].version.is_none() {
                self.calls += 3.0;
            }
            self.know(at, self.version);
        }
        if self.step.is_multiple_of(LOOK_STEPS) {
            self.lead(at);
        }
    }

    /// Asks the seeds and then the store which VMs there are.
    fn learn(&mut self, at: usize) {
        for seed in self.seeds.clone() {
            if seed != at && self.reaches(at, seed) {
                let records = self.vms[seed].readers.records();
                self.told(at, records);
            }
        }
        let zone = self.vms[at].entry.zone.clone();
        if self.vms[at].readers.record(&zone).is_none() && self.reaches_store(at) {
            self.list(at);
        }
        self.vms[at].told = true;
    }

    fn list(&mut self, at: usize) {
        self.calls += 0.1;
        let shown = self.older.len().saturating_sub(STALE_STEPS);
        let records = self.older.get(shown).cloned().unwrap_or_default();
        let zone = self.vms[at].entry.zone.clone();
        let own = records.iter().find(|record| record.zone == zone);
        let stored = own.map_or(0, |record| record.version);
        self.vms[at].stored = self.vms[at].stored.max(stored);
        self.told(at, records);
    }

    /// Looks for a feeder, or reads.
    fn look(&mut self, at: usize) {
        let source = self.source(at);
        let vm = &mut self.vms[at];
        vm.unfed_steps += 1;
        match source {
            Source::Store | Source::StoreAlone => {
                vm.reading = true;
                if self.step.is_multiple_of(6 * LOOK_STEPS) && self.reaches_store(at) {
                    self.list(at);
                }
            }
            Source::Reader(feeder) => {
                if vm.unfed_steps >= WITHOUT_FEEDER_STEPS && vm.version.is_some() {
                    vm.reading = true;
                }
                self.join(at, &feeder.name);
            }
        }
    }

    fn source(&self, at: usize) -> Source {
        let vm = &self.vms[at];
        let (name, zone) = (&vm.entry.name, &vm.entry.zone);
        vm.readers.source(self.now, name, zone, &[])
    }

    fn join(&mut self, at: usize, first: &VmName) {
        let mut name = first.clone();
        for _ in 0..MOST_HOPS {
            let Some(to) = self.find(&name).filter(|to| self.reaches(at, *to)) else {
                // An address that does not even refuse holds a VM up.
                let patience = if self.vms[at].version.is_some() {
                    150
                } else {
                    20
                };
                self.vms[at].waits_until = self.now + Duration::from_millis(patience);
                let now = self.now;
                return self.vms[at].readers.failed(now, &name);
            };
            let mut path = self.vms[to].path.clone();
            path.push(self.vms[to].entry.name.clone());
            let (fed, zone) = (self.fed_by(to), self.vms[to].entry.zone.clone());
            let is_behind = self.vms[to].version < self.vms[at].version;
            match admit(&self.vms[at].entry, &zone, &path, &fed) {
                Admission::Feed if is_behind => {
                    self.vms[at].reading = true;
                    self.vms[at].waits_until = self.now + Duration::from_millis(170);
                    return;
                }
                Admission::Feed => {
                    self.vms[at].feeder = Some(to);
                    self.vms[at].silent_steps = 0;
                    return;
                }
                Admission::Elsewhere(place) => name = fed[place].vm.name.clone(),
                Admission::TurnAway => {
                    let now = self.now;
                    return self.vms[at].readers.failed(now, &name);
                }
            }
        }
        self.vms[at].waits_until = self.now + Duration::from_millis(170);
    }

    /// Returns those that a VM feeds.
    fn fed_by(&self, feeder: usize) -> Vec<Fed> {
        let fed = (0..self.vms.len()).filter(|at| self.vms[*at].up);
        let fed = fed.filter(|at| self.vms[*at].feeder == Some(feeder));
        let fed = fed.map(|at| Fed {
            vm: self.vms[at].entry.clone(),
            below: self.below(at, 0),
            sent_there: 0,
        });
        fed.collect()
    }

    fn below(&self, at: usize, depth: usize) -> u32 {
        let zone = &self.vms[at].entry.zone;
        let fed = self.vms.iter().enumerate();
        let fed = fed.filter(|(_, vm)| vm.up && vm.feeder == Some(at) && vm.entry.zone == *zone);
        let deeper = fed.map(|(fed, _)| match depth < MOST_HOPS {
            true => 1 + self.below(fed, depth + 1),
            false => 1,
        });
        deeper.sum()
    }

    /// Hears what a feeder tells.
    fn hear(&mut self, at: usize, feeder: usize) {
        let refused = !self.vms[feeder].up || self.vms[feeder].started > self.vms[at].started;
        let restarted = refused && self.vms[feeder].version.is_none();
        if !self.reaches(at, feeder) {
            self.vms[at].silent_steps += 1;
            if self.vms[at].silent_steps >= SILENCE_STEPS || !self.vms[feeder].up {
                self.leave(at, feeder);
            }
            return;
        }
        self.vms[at].silent_steps = 0;
        if self.vms[feeder].version.is_none() {
            // A feeder that has just started promises; one whose link broke as it started anew is left.
            match restarted && self.vms[at].version.is_some() {
                true => self.leave(at, feeder),
                false => self.vms[at].promised = true,
            }
            return;
        }
        let mut path = self.vms[feeder].path.clone();
        path.push(self.vms[feeder].entry.name.clone());
        if is_circle(&self.vms[at].entry.name, &path) {
            return self.leave(at, feeder);
        }
        let (version, news) = (self.vms[feeder].version, self.vms[feeder].news);
        if version < self.vms[at].version {
            // It is behind: this VM reads by itself, and comes back a moment later.
            self.vms[at].feeder = None;
            self.vms[at].path.clear();
            self.vms[at].reading = true;
            self.vms[at].waits_until = self.now + Duration::from_millis(170);
            return;
        }
        if self.vms[at].heard != Some((feeder, news)) {
            self.vms[at].heard = Some((feeder, news));
            let records = self.vms[feeder].readers.records();
            self.told(at, records);
        }
        let vm = &mut self.vms[at];
        vm.path = path;
        vm.reading = false;
        vm.unfed_steps = 0;
        if let Some(version) = version {
            self.know(at, version);
        }
        let is_still = match self.source(at) {
            Source::Reader(_) => true,
            // Another record names this VM first: it reads.
            Source::Store | Source::StoreAlone => false,
        };
        if !is_still {
            self.vms[at].feeder = None;
            self.vms[at].path.clear();
        }
    }

    fn told(&mut self, at: usize, records: Vec<ZoneRecord>) {
        let news = self.vms[at].readers.told(records);
        self.vms[at].news += u64::from(!news.is_empty());
    }

    fn leave(&mut self, at: usize, feeder: usize) {
        let (name, now) = (self.vms[feeder].entry.name.clone(), self.now);
        let vm = &mut self.vms[at];
        vm.feeder = None;
        vm.path.clear();
        vm.promised = false;
        vm.readers.failed(now, &name);
    }

    fn know(&mut self, at: usize, version: u64) {
        let known = self.vms[at].version;
        assert!(
            known.is_none_or(|known| known <= version),
            "{} goes back from {known:?} to {version}",
            self.vms[at].entry.name
        );
        self.vms[at].version = Some(version);
    }

    /// Has a VM that knows nothing read the store once it has waited for long enough.
    fn lose_patience(&mut self, at: usize) {
        let vm = &self.vms[at];
        if self.all_start || vm.version.is_some() {
            return;
        }
        let record = vm.readers.record(&vm.entry.zone);
        let patience = joining::patience(&vm.entry.name, record, vm.promised, vm.chance);
        if self.now.saturating_duration_since(vm.started) >= patience {
            self.vms[at].reading = true;
        }
    }

    /// Keeps the record of a zone.
    fn lead(&mut self, at: usize) {
        let vm = &self.vms[at];
        let (name, zone) = (vm.entry.name.clone(), vm.entry.zone.clone());
        if vm.readers.source_in_zone(self.now, &name, &zone) != Source::Store {
            self.vms[at].led_since = None;
            return;
        }
        let since = *self.vms[at].led_since.get_or_insert(self.now);
        let Some(old) = self.vms[at].readers.record(&zone).cloned() else {
            return self.claim(at);
        };
        let fed = self.fed_by(at);
        let followers: Vec<VmEntry> = fed.iter().map(|fed| fed.vm.clone()).collect();
        let seen = Seen {
            own: self.vms[at].entry.clone(),
            followers: followers.into_iter().filter(|vm| vm.zone == zone).collect(),
            below: below(&zone, &fed),
        };
        if let Some(record) = handed_over(&old, &seen) {
            self.told(at, vec![record.clone()]);
            for fed in 0..self.vms.len() {
                if self.vms[fed].feeder == Some(at) {
                    self.told(fed, vec![record.clone()]);
                    self.vms[fed].feeder = None;
                    self.vms[fed].path.clear();
                }
            }
            return;
        }
        let holds = self.vms[at]
            .count
            .holds(self.now, old.count, seen.below + 1);
        let settled = old.settled || self.now.saturating_duration_since(since) >= SETTLE;
        if let Some(record) = renewed(&old, &seen, holds, settled) {
            self.told(at, vec![record]);
        }
        let alone = seen.followers.is_empty() && holds > 1;
        let record = self.vms[at].readers.record(&zone).cloned();
        let record = record.filter(|r| r.version > self.vms[at].stored && !alone);
        if let Some(record) = record.filter(|_| self.reaches_store(at)) {
            self.write(at, record);
        }
    }

    fn claim(&mut self, at: usize) {
        if !self.reaches_store(at) {
            return;
        }
        self.calls += 1.0;
        let zone = &self.vms[at].entry.zone;
        let there = self.records.iter().find(|record| record.zone == *zone);
        match there.cloned() {
            Some(record) => {
                self.calls += 1.0;
                self.told(at, vec![record]);
            }
            None => {
                let record = ZoneRecord::first(&self.vms[at].entry);
                self.records.push(record.clone());
                self.vms[at].stored = 1;
                self.told(at, vec![record.clone()]);
                for seed in self.seeds.clone() {
                    if self.reaches(at, seed) {
                        self.told(seed, vec![record.clone()]);
                    }
                }
            }
        }
    }

    fn write(&mut self, at: usize, record: ZoneRecord) {
        self.calls += 1.0;
        self.vms[at].stored = record.version;
        let zone = record.zone.clone();
        self.records.retain(|known| known.zone != zone);
        self.records.push(record);
    }

    /// Returns the VMs that run and have had so long to learn something, and know nothing.
    pub(crate) fn ignorant(&self, after: Duration) -> Vec<&VmName> {
        let old = |vm: &&Vm| self.now.saturating_duration_since(vm.started) >= after;
        let all = self.vms.iter().filter(|vm| vm.up).filter(old);
        let none = all.filter(|vm| vm.version.is_none());
        none.map(|vm| &vm.entry.name).collect()
    }

    /// Returns the VMs that run, reach the store's group and do not know its configuration.
    pub(crate) fn behind(&self) -> Vec<&VmName> {
        let all = self.vms.iter().filter(|vm| vm.up && vm.group == 0);
        let behind = all.filter(|vm| vm.version != Some(self.version));
        behind.map(|vm| &vm.entry.name).collect()
    }

    pub(crate) fn readers(&self) -> usize {
        self.vms.iter().filter(|vm| vm.up && vm.reading).count()
    }

    /// Returns the most VMs that one feeds.
    pub(crate) fn most_fed(&self) -> usize {
        let all = 0..self.vms.len();
        all.map(|at| self.fed_by(at).len()).max().unwrap_or(0)
    }

    /// Returns the VM that reads for a zone, by the store.
    pub(crate) fn leader(&self, zone: usize) -> Option<usize> {
        let zone: AvailabilityZone = format!("zone-{zone}").into();
        let record = self.records.iter().find(|record| record.zone == zone)?;
        self.find(&record.vms.first()?.name)
    }

    pub(crate) fn zone_of(&self, at: usize) -> usize {
        let name = &self.vms[at].entry.zone;
        name.rsplit('-')
            .next()
            .and_then(|zone| zone.parse().ok())
            .unwrap_or(0)
    }

    /// Returns how long it has been played.
    pub(crate) fn played(&self) -> Duration {
        self.now - self.begun
    }
}

impl Vm {
    fn new(entry: VmEntry, started: Instant, chance: f64) -> Self {
        Self {
            entry,
            up: true,
            group: 0,
            started,
            readers: Readers::default(),
            news: 0,
            heard: None,
            told: false,
            chance,
            promised: false,
            reading: false,
            feeder: None,
            path: Vec::new(),
            silent_steps: 0,
            unfed_steps: 0,
            waits_until: started,
            version: None,
            led_since: None,
            stored: 0,
            count: ZoneCount::default(),
        }
    }
}
