//! The VMs, the store and the links between them, played in steps of ten milliseconds.

use std::time::{Duration, Instant};

use fastrand::Rng;
use kingcuploft::entry::readers::Readers;
use kingcuploft::entry::startup_delay;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::{ZoneCount, ZoneRecord};
use kingcuploft::world::ids::{AvailabilityZone, VmName};

/// The time that one step plays.
pub(crate) const STEP: Duration = Duration::from_millis(10);

/// How many steps pass between two looks at the zone's record.
pub(super) const LOOK_STEPS: u64 = 50;

/// How many steps the store's stale lists are behind.
pub(super) const STALE_STEPS: usize = 80;

/// One VM.
pub(crate) struct Vm {
    pub(super) entry: VmEntry,
    pub(crate) up: bool,
    /// The group of those that reach each other and, in group 0, the store.
    pub(crate) group: u32,
    pub(super) started: Instant,
    pub(super) readers: Readers,
    /// How often it learned of another record.
    pub(super) news: u64,
    /// Whom it heard last, and how much that knew.
    pub(super) heard: Option<(usize, u64)>,
    pub(super) told: bool,
    pub(super) chance: f64,
    pub(super) promised: bool,
    pub(crate) reading: bool,
    pub(crate) feeder: Option<usize>,
    pub(super) path: Vec<VmName>,
    pub(super) silent_steps: u32,
    pub(super) unfed_steps: u32,
    pub(super) waits_until: Instant,
    pub(crate) version: Option<u64>,
    pub(super) led_since: Option<Instant>,
    pub(super) stored: u64,
    pub(super) count: ZoneCount,
}

/// All VMs and the store.
pub(crate) struct Fleet {
    pub(crate) vms: Vec<Vm>,
    pub(crate) now: Instant,
    pub(super) begun: Instant,
    pub(super) step: u64,
    pub(super) rng: Rng,
    pub(super) seeds: Vec<usize>,
    /// The version of the configuration that the store holds.
    pub(crate) version: u64,
    pub(super) records: Vec<ZoneRecord>,
    /// What stale lists show, the newest last.
    pub(super) older: Vec<Vec<ZoneRecord>>,
    /// Calls to the store, a stale list as a tenth.
    pub(crate) calls: f64,
    pub(super) all_start: bool,
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
            fleet.vms[at].waits_until =
                now + startup_delay::claim_delay(&fleet.vms[at].entry, chance);
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

    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        self.vms[to].up && self.vms[from].group == self.vms[to].group
    }

    pub(super) fn find(&self, name: &VmName) -> Option<usize> {
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
