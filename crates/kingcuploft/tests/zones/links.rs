//! How a VM finds a feeder, hears it and leaves it.

use std::time::Duration;

use kingcuploft::entry::dissemination::{Admission, FollowerLoad, admit, has_cycle};
use kingcuploft::entry::readers::Source;
use kingcuploft::entry::startup_delay;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::world::ids::VmName;

use crate::fleet::{Fleet, LOOK_STEPS, STALE_STEPS};

/// How many steps a link that has gone silent is trusted.
const SILENCE_STEPS: u32 = 65;

/// How many steps a VM without a feeder looks for one before it reads.
const WITHOUT_FEEDER_STEPS: u32 = 25;

/// How often a VM is sent from one to the next.
const MOST_HOPS: usize = 6;

impl Fleet {
    /// Asks the seeds and then the store which VMs there are.
    pub(super) fn learn(&mut self, at: usize) {
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

    pub(super) fn list(&mut self, at: usize) {
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
    pub(super) fn look(&mut self, at: usize) {
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

    pub(super) fn source(&self, at: usize) -> Source {
        let vm = &self.vms[at];
        let (name, zone) = (&vm.entry.name, &vm.entry.zone);
        vm.readers.source(self.now, name, zone, &[])
    }

    pub(super) fn join(&mut self, at: usize, first: &VmName) {
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
                return self.vms[at].readers.record_failure(now, &name);
            };
            let mut path = self.vms[to].path.clone();
            path.push(self.vms[to].entry.name.clone());
            let (fed, zone) = (self.fed_by(to), self.vms[to].entry.zone.clone());
            let is_behind = self.vms[to].version < self.vms[at].version;
            match admit(&self.vms[at].entry, &zone, &path, &fed) {
                Admission::Accept if is_behind => {
                    self.vms[at].reading = true;
                    self.vms[at].waits_until = self.now + Duration::from_millis(170);
                    return;
                }
                Admission::Accept => {
                    self.vms[at].feeder = Some(to);
                    self.vms[at].silent_steps = 0;
                    return;
                }
                Admission::Redirect(place) => name = fed[place].vm.name.clone(),
                Admission::Reject => {
                    let now = self.now;
                    return self.vms[at].readers.record_failure(now, &name);
                }
            }
        }
        self.vms[at].waits_until = self.now + Duration::from_millis(170);
    }

    /// Returns those that a VM feeds.
    pub(super) fn fed_by(&self, feeder: usize) -> Vec<FollowerLoad> {
        let fed = (0..self.vms.len()).filter(|at| self.vms[*at].up);
        let fed = fed.filter(|at| self.vms[*at].feeder == Some(feeder));
        let fed = fed.map(|at| FollowerLoad {
            vm: self.vms[at].entry.clone(),
            descendants: self.below(at, 0),
            redirected: 0,
        });
        fed.collect()
    }

    pub(super) fn below(&self, at: usize, depth: usize) -> u32 {
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
    pub(super) fn hear(&mut self, at: usize, feeder: usize) {
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
        if has_cycle(&self.vms[at].entry.name, &path) {
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

    pub(super) fn told(&mut self, at: usize, records: Vec<ZoneRecord>) {
        let news = self.vms[at].readers.update(records);
        self.vms[at].news += u64::from(!news.is_empty());
    }

    pub(super) fn leave(&mut self, at: usize, feeder: usize) {
        let (name, now) = (self.vms[feeder].entry.name.clone(), self.now);
        let vm = &mut self.vms[at];
        vm.feeder = None;
        vm.path.clear();
        vm.promised = false;
        vm.readers.record_failure(now, &name);
    }

    pub(super) fn know(&mut self, at: usize, version: u64) {
        let known = self.vms[at].version;
        assert!(
            known.is_none_or(|known| known <= version),
            "{} goes back from {known:?} to {version}",
            self.vms[at].entry.name
        );
        self.vms[at].version = Some(version);
    }

    /// Has a VM that knows nothing read the store once it has waited for long enough.
    pub(super) fn lose_patience(&mut self, at: usize) {
        let vm = &self.vms[at];
        if self.all_start || vm.version.is_some() {
            return;
        }
        let record = vm.readers.record(&vm.entry.zone);
        let patience =
            startup_delay::store_read_delay(&vm.entry.name, record, vm.promised, vm.chance);
        if self.now.saturating_duration_since(vm.started) >= patience {
            self.vms[at].reading = true;
        }
    }
}
