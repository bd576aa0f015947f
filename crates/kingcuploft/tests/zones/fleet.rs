//! A simulated fleet: VMs, the store and the links between them, in virtual time, in steps of ten milliseconds.

use std::time::{Duration, Instant};

use fastrand::Rng;
use kingcuploft::entry::readers::Readers;
use kingcuploft::entry::startup_delay;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::{ZoneCount, ZoneRecord};
use kingcuploft::world::ids::{AvailabilityZone, VmName};

/// The virtual time of one step.
pub(crate) const STEP: Duration = Duration::from_millis(10);

/// How many steps pass between two checks of the zone's record.
pub(super) const RECORD_CHECK_STEPS: u64 = 50;

/// How many steps the store's stale lists lag.
pub(super) const STALE_STEPS: usize = 80;

/// One VM.
pub(crate) struct Vm {
    pub(super) entry: VmEntry,
    pub(crate) up: bool,
    /// The partition: VMs of the same group reach each other; those of group 0 also reach the store.
    pub(crate) group: u32,
    pub(super) started: Instant,
    pub(super) readers: Readers,
    /// How often it took a changed record.
    pub(super) record_changes: u64,
    /// The feeder it last took records from, and that feeder's `record_changes` then.
    pub(super) last_heard: Option<(usize, u64)>,
    pub(super) has_asked: bool,
    pub(super) jitter: f64,
    pub(super) feed_promised: bool,
    pub(crate) reading: bool,
    pub(crate) feeder: Option<usize>,
    pub(super) path: Vec<VmName>,
    pub(super) silent_steps: u32,
    pub(super) steps_without_feeder: u32,
    pub(super) idle_until: Instant,
    pub(crate) version: Option<u64>,
    pub(super) leading_since: Option<Instant>,
    pub(super) stored_version: u64,
    pub(super) count: ZoneCount,
}

/// All VMs and the store.
pub(crate) struct Fleet {
    pub(crate) vms: Vec<Vm>,
    pub(crate) now: Instant,
    pub(super) started_at: Instant,
    pub(super) step: u64,
    pub(super) rng: Rng,
    pub(super) seeds: Vec<usize>,
    /// The version of the configuration that the store holds.
    pub(crate) version: u64,
    pub(super) records: Vec<ZoneRecord>,
    /// The records as stale lists show them, oldest first.
    pub(super) record_history: Vec<Vec<ZoneRecord>>,
    /// Calls to the store; a stale list counts as a tenth.
    pub(crate) calls: f64,
    pub(super) first_start: bool,
}

impl Fleet {
    /// Creates a fleet of these zones, in each of which three VMs are larger, and starts it for the first time.
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
            started_at: now,
            step: 0,
            rng,
            seeds,
            version: 1,
            records: Vec::new(),
            record_history: Vec::new(),
            calls: 0.0,
            first_start: true,
        };
        for at in 0..fleet.vms.len() {
            let jitter = fleet.vms[at].jitter;
            fleet.vms[at].idle_until =
                now + startup_delay::claim_delay(&fleet.vms[at].entry, jitter);
        }
        fleet
    }

    /// Runs the fleet for this time.
    pub(crate) fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.now += STEP;
            self.step += 1;
            self.record_history.push(self.records.clone());
            if self.record_history.len() > 2 * STALE_STEPS {
                self.record_history.drain(..STALE_STEPS);
            }
            for at in 0..self.vms.len() {
                if self.vms[at].up {
                    self.step_vm(at);
                }
            }
        }
        self.first_start = false;
    }

    /// Restarts these VMs, without any state, within a tenth of a second.
    pub(crate) fn restart(&mut self, which: impl Fn(usize) -> bool) {
        for at in (0..self.vms.len()).filter(|at| which(*at)) {
            let entry = self.vms[at].entry.clone();
            let group = self.vms[at].group;
            let jitter = Duration::from_millis(self.rng.u64(0..100));
            let mut vm = Vm::new(entry, self.now + jitter, self.rng.f64());
            vm.idle_until = self.now + jitter;
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

    fn step_vm(&mut self, at: usize) {
        if self.now < self.vms[at].idle_until {
            return;
        }
        if !self.vms[at].has_asked {
            self.ask_for_records(at);
        }
        match self.vms[at].feeder {
            Some(feeder) => self.receive(at, feeder),
            None => self.find_feeder(at),
        }
        self.read_without_feeder(at);
        if self.vms[at].reading && self.reaches_store(at) {
            if self.vms[at].version.is_none() {
                self.calls += 3.0;
            }
            self.set_version(at, self.version);
        }
        if self.step.is_multiple_of(RECORD_CHECK_STEPS) {
            self.keep_record(at);
        }
    }

    /// Returns the VMs that have run for `after` and have no configuration yet.
    pub(crate) fn uninformed(&self, after: Duration) -> Vec<&VmName> {
        let old = |vm: &&Vm| self.now.saturating_duration_since(vm.started) >= after;
        let all = self.vms.iter().filter(|vm| vm.up).filter(old);
        let none = all.filter(|vm| vm.version.is_none());
        none.map(|vm| &vm.entry.name).collect()
    }

    /// Returns the VMs that run in the store's group and do not have its configuration.
    pub(crate) fn behind(&self) -> Vec<&VmName> {
        let all = self.vms.iter().filter(|vm| vm.up && vm.group == 0);
        let behind = all.filter(|vm| vm.version != Some(self.version));
        behind.map(|vm| &vm.entry.name).collect()
    }

    pub(crate) fn readers(&self) -> usize {
        self.vms.iter().filter(|vm| vm.up && vm.reading).count()
    }

    /// Returns the most VMs that one VM feeds.
    pub(crate) fn max_followers(&self) -> usize {
        let all = 0..self.vms.len();
        all.map(|at| self.followers_of(at).len()).max().unwrap_or(0)
    }

    /// Returns the VM that reads for a zone, by the store's record.
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

    /// Returns the virtual time that has passed.
    pub(crate) fn elapsed(&self) -> Duration {
        self.now - self.started_at
    }
}

impl Vm {
    fn new(entry: VmEntry, started: Instant, jitter: f64) -> Self {
        Self {
            entry,
            up: true,
            group: 0,
            started,
            readers: Readers::default(),
            record_changes: 0,
            last_heard: None,
            has_asked: false,
            jitter,
            feed_promised: false,
            reading: false,
            feeder: None,
            path: Vec::new(),
            silent_steps: 0,
            steps_without_feeder: 0,
            idle_until: started,
            version: None,
            leading_since: None,
            stored_version: 0,
            count: ZoneCount::default(),
        }
    }
}
