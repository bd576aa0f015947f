//! How a VM that reads for its zone keeps the zone's record.

use kingcuploft::entry::dissemination::descendants;
use kingcuploft::entry::readers::Source;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::{
    SETTLE_TIME, ZoneRecord, ZoneView, handed_to_larger, refreshed,
};

use crate::fleet::Fleet;

impl Fleet {
    /// Keeps the record of its zone.
    pub(super) fn keep_record(&mut self, at: usize) {
        let vm = &self.vms[at];
        let (name, zone) = (vm.entry.name.clone(), vm.entry.zone.clone());
        if vm.readers.source_in_zone(self.now, &name, &zone) != Source::Store {
            self.vms[at].leading_since = None;
            return;
        }
        let since = *self.vms[at].leading_since.get_or_insert(self.now);
        let Some(old) = self.vms[at].readers.record(&zone).cloned() else {
            return self.claim(at);
        };
        let fed = self.followers_of(at);
        let followers: Vec<VmEntry> = fed.iter().map(|fed| fed.vm.clone()).collect();
        let seen = ZoneView {
            own: self.vms[at].entry.clone(),
            followers: followers.into_iter().filter(|vm| vm.zone == zone).collect(),
            descendants: descendants(&zone, &fed),
        };
        if let Some(record) = handed_to_larger(&old, &seen) {
            self.apply_records(at, vec![record.clone()]);
            for fed in 0..self.vms.len() {
                if self.vms[fed].feeder == Some(at) {
                    self.apply_records(fed, vec![record.clone()]);
                    self.vms[fed].feeder = None;
                    self.vms[fed].path.clear();
                }
            }
            return;
        }
        let holds = self.vms[at]
            .count
            .stable_count(self.now, old.count, seen.descendants + 1);
        let settled = old.settled || self.now.saturating_duration_since(since) >= SETTLE_TIME;
        if let Some(record) = refreshed(&old, &seen, holds, settled) {
            self.apply_records(at, vec![record]);
        }
        let alone = seen.followers.is_empty() && holds > 1;
        let record = self.vms[at].readers.record(&zone).cloned();
        let record = record.filter(|r| r.version > self.vms[at].stored_version && !alone);
        if let Some(record) = record.filter(|_| self.reaches_store(at)) {
            self.write(at, record);
        }
    }

    pub(super) fn claim(&mut self, at: usize) {
        if !self.reaches_store(at) {
            return;
        }
        self.calls += 1.0;
        let zone = &self.vms[at].entry.zone;
        let there = self.records.iter().find(|record| record.zone == *zone);
        match there.cloned() {
            Some(record) => {
                self.calls += 1.0;
                self.apply_records(at, vec![record]);
            }
            None => {
                let record = ZoneRecord::first(&self.vms[at].entry);
                self.records.push(record.clone());
                self.vms[at].stored_version = 1;
                self.apply_records(at, vec![record.clone()]);
                for seed in self.seeds.clone() {
                    if self.reaches(at, seed) {
                        self.apply_records(seed, vec![record.clone()]);
                    }
                }
            }
        }
    }

    pub(super) fn write(&mut self, at: usize, record: ZoneRecord) {
        self.calls += 1.0;
        self.vms[at].stored_version = record.version;
        let zone = record.zone.clone();
        self.records.retain(|known| known.zone != zone);
        self.records.push(record);
    }
}
