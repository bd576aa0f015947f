//! How a VM finds a feeder, follows it and leaves it.

use std::time::Duration;

use kingcuploft::entry::dissemination::{Admission, FollowerLoad, admit, has_cycle};
use kingcuploft::entry::readers::Source;
use kingcuploft::entry::startup_delay;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::world::ids::VmName;

use crate::fleet::{Fleet, RECORD_CHECK_STEPS, STALE_STEPS};

/// How many steps a link that has gone silent is trusted.
const MAX_SILENT_STEPS: u32 = 65;

/// How many steps a VM without a feeder looks for one before it reads the store.
const MAX_STEPS_WITHOUT_FEEDER: u32 = 25;

/// How often a VM is redirected from one feeder to the next.
const MAX_HOPS: usize = 6;

impl Fleet {
    /// Asks the seeds and then the store for the zones' records.
    pub(super) fn ask_for_records(&mut self, at: usize) {
        for seed in self.seeds.clone() {
            if seed != at && self.reaches(at, seed) {
                let records = self.vms[seed].readers.records();
                self.apply_records(at, records);
            }
        }
        let zone = self.vms[at].entry.zone.clone();
        if self.vms[at].readers.record(&zone).is_none() && self.reaches_store(at) {
            self.list_records(at);
        }
        self.vms[at].has_asked = true;
    }

    pub(super) fn list_records(&mut self, at: usize) {
        self.calls += 0.1;
        let shown = self.record_history.len().saturating_sub(STALE_STEPS);
        let records = self.record_history.get(shown).cloned().unwrap_or_default();
        let zone = self.vms[at].entry.zone.clone();
        let own = records.iter().find(|record| record.zone == zone);
        let stored = own.map_or(0, |record| record.version);
        self.vms[at].stored_version = self.vms[at].stored_version.max(stored);
        self.apply_records(at, records);
    }

    /// Finds a feeder, or reads the store.
    pub(super) fn find_feeder(&mut self, at: usize) {
        let source = self.source(at);
        let vm = &mut self.vms[at];
        vm.steps_without_feeder += 1;
        match source {
            Source::Store | Source::StoreAlone => {
                vm.reading = true;
                if self.step.is_multiple_of(6 * RECORD_CHECK_STEPS) && self.reaches_store(at) {
                    self.list_records(at);
                }
            }
            Source::Reader(feeder) => {
                if vm.steps_without_feeder >= MAX_STEPS_WITHOUT_FEEDER && vm.version.is_some() {
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
        for _ in 0..MAX_HOPS {
            let Some(to) = self.find(&name).filter(|to| self.reaches(at, *to)) else {
                // An address that does not even refuse the connection delays the VM.
                let delay_ms = if self.vms[at].version.is_some() {
                    150
                } else {
                    20
                };
                self.vms[at].idle_until = self.now + Duration::from_millis(delay_ms);
                let now = self.now;
                return self.vms[at].readers.record_failure(now, &name);
            };
            let mut path = self.vms[to].path.clone();
            path.push(self.vms[to].entry.name.clone());
            let (fed, zone) = (self.followers_of(to), self.vms[to].entry.zone.clone());
            let is_behind = self.vms[to].version < self.vms[at].version;
            match admit(&self.vms[at].entry, &zone, &path, &fed) {
                Admission::Accept if is_behind => {
                    self.vms[at].reading = true;
                    self.vms[at].idle_until = self.now + Duration::from_millis(170);
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
        self.vms[at].idle_until = self.now + Duration::from_millis(170);
    }

    /// Returns the VMs that a VM feeds, with their load.
    pub(super) fn followers_of(&self, feeder: usize) -> Vec<FollowerLoad> {
        let fed = (0..self.vms.len()).filter(|at| self.vms[*at].up);
        let fed = fed.filter(|at| self.vms[*at].feeder == Some(feeder));
        let fed = fed.map(|at| FollowerLoad {
            vm: self.vms[at].entry.clone(),
            descendants: self.descendants(at, 0),
            redirected: 0,
        });
        fed.collect()
    }

    pub(super) fn descendants(&self, at: usize, depth: usize) -> u32 {
        let zone = &self.vms[at].entry.zone;
        let fed = self.vms.iter().enumerate();
        let fed = fed.filter(|(_, vm)| vm.up && vm.feeder == Some(at) && vm.entry.zone == *zone);
        let deeper = fed.map(|(fed, _)| match depth < MAX_HOPS {
            true => 1 + self.descendants(fed, depth + 1),
            false => 1,
        });
        deeper.sum()
    }

    /// Takes what a feeder sends.
    pub(super) fn receive(&mut self, at: usize, feeder: usize) {
        let refused = !self.vms[feeder].up || self.vms[feeder].started > self.vms[at].started;
        let restarted = refused && self.vms[feeder].version.is_none();
        if !self.reaches(at, feeder) {
            self.vms[at].silent_steps += 1;
            if self.vms[at].silent_steps >= MAX_SILENT_STEPS || !self.vms[feeder].up {
                self.leave_feeder(at, feeder);
            }
            return;
        }
        self.vms[at].silent_steps = 0;
        if self.vms[feeder].version.is_none() {
            // A feeder that has just started promises to feed later; one whose link broke as it restarted is left.
            match restarted && self.vms[at].version.is_some() {
                true => self.leave_feeder(at, feeder),
                false => self.vms[at].feed_promised = true,
            }
            return;
        }
        let mut path = self.vms[feeder].path.clone();
        path.push(self.vms[feeder].entry.name.clone());
        if has_cycle(&self.vms[at].entry.name, &path) {
            return self.leave_feeder(at, feeder);
        }
        let (version, record_changes) = (self.vms[feeder].version, self.vms[feeder].record_changes);
        if version < self.vms[at].version {
            // The feeder is behind: this VM reads the store itself, and looks for a feeder again a moment later.
            self.vms[at].feeder = None;
            self.vms[at].path.clear();
            self.vms[at].reading = true;
            self.vms[at].idle_until = self.now + Duration::from_millis(170);
            return;
        }
        if self.vms[at].last_heard != Some((feeder, record_changes)) {
            self.vms[at].last_heard = Some((feeder, record_changes));
            let records = self.vms[feeder].readers.records();
            self.apply_records(at, records);
        }
        let vm = &mut self.vms[at];
        vm.path = path;
        vm.reading = false;
        vm.steps_without_feeder = 0;
        if let Some(version) = version {
            self.set_version(at, version);
        }
        let is_still = match self.source(at) {
            Source::Reader(_) => true,
            // Another record names this VM first: it reads the store.
            Source::Store | Source::StoreAlone => false,
        };
        if !is_still {
            self.vms[at].feeder = None;
            self.vms[at].path.clear();
        }
    }

    pub(super) fn apply_records(&mut self, at: usize, records: Vec<ZoneRecord>) {
        let news = self.vms[at].readers.update(records);
        self.vms[at].record_changes += u64::from(!news.is_empty());
    }

    pub(super) fn leave_feeder(&mut self, at: usize, feeder: usize) {
        let (name, now) = (self.vms[feeder].entry.name.clone(), self.now);
        let vm = &mut self.vms[at];
        vm.feeder = None;
        vm.path.clear();
        vm.feed_promised = false;
        vm.readers.record_failure(now, &name);
    }

    pub(super) fn set_version(&mut self, at: usize, version: u64) {
        let known = self.vms[at].version;
        assert!(
            known.is_none_or(|known| known <= version),
            "{} goes back from {known:?} to {version}",
            self.vms[at].entry.name
        );
        self.vms[at].version = Some(version);
    }

    /// Has a VM without configuration read the store once it has waited for long enough.
    pub(super) fn read_without_feeder(&mut self, at: usize) {
        let vm = &self.vms[at];
        if self.first_start || vm.version.is_some() {
            return;
        }
        let record = vm.readers.record(&vm.entry.zone);
        let wait_limit =
            startup_delay::store_read_delay(&vm.entry.name, record, vm.feed_promised, vm.jitter);
        if self.now.saturating_duration_since(vm.started) >= wait_limit {
            self.vms[at].reading = true;
        }
    }
}
