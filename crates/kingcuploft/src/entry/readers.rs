//! The VMs that read the platform's store for the others of their availability zone, and how VMs find each other.
//!
//! Load pattern: every change wakes every VM's watch, and the platform counts each wake-up as a call: 144 VMs that
//! watch 469 servers spend more on calls than all their decisions gain. So one VM of a zone watches the store and
//! passes on changes; traffic within a zone is free. A record for each VM would cost the same again at each start, so
//! the store holds one record per zone: the VM that reads, and a few that take its place. The record survives restarts,
//! as a VM keeps its name.
//!
//! There is no election. Each VM follows the first VM of its zone's record that answers; if that is itself, it reads
//! the store. Views may differ: then a zone has two readers, which costs calls, until the later one follows the one of
//! the record. The readers of a region's zones follow one of them in the same way.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::vm_entry::VmEntry;
use super::zone_record::ZoneRecord;
use crate::utils::HashMap;
use crate::world::ids::{AvailabilityZone, VmName};

/// How long a VM that failed as a reader is avoided: longer than a freeze or a restart usually takes.
const AVOID_FAILED: Duration = Duration::from_secs(5);

/// The same for a VM that is fed through this one: it is alive, and may find another feeder.
const AVOID_IN_CYCLE: Duration = Duration::from_secs(1);

/// Returns a zone's sort key among the zones of a region: by the size of the VM that reads for it, the largest first.
fn zone_rank(record: &ZoneRecord) -> (Reverse<u32>, &AvailabilityZone) {
    let cpu_milli = record.vms.first().map_or(0, |vm| vm.cpu_milli);
    (Reverse(cpu_milli), &record.zone)
}

/// Where a VM gets the store's contents from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// It reads the store, and others may follow it: it comes first, or there is no record that names a reader.
    Store,
    /// It reads the store only for itself: it can reach none of the VMs that come first.
    StoreAlone,
    /// It follows this VM.
    Reader(VmEntry),
}

/// The known zone records, and the VMs that failed recently.
#[derive(Debug, Default)]
pub struct Readers {
    zones: HashMap<AvailabilityZone, ZoneRecord>,
    /// Until when VMs are avoided.
    avoided: HashMap<VmName, Instant>,
}

impl Readers {
    /// Adds zone records and returns those that are news. A record that is older than the known one is ignored: a stale
    /// listing or another VM may send it.
    pub fn update(&mut self, mut records: Vec<ZoneRecord>) -> Vec<ZoneRecord> {
        records.retain(|record| {
            let known = self.zones.get(&record.zone);
            known.is_none_or(|known| known.version < record.version)
        });
        for record in &records {
            self.zones.insert(record.zone.clone(), record.clone());
        }
        records
    }

    /// Returns the record of a zone.
    pub fn record(&self, zone: &AvailabilityZone) -> Option<&ZoneRecord> {
        self.zones.get(zone)
    }

    /// Returns all records, ordered by zone.
    pub fn records(&self) -> Vec<ZoneRecord> {
        let mut records: Vec<_> = self.zones.values().cloned().collect();
        records.sort_by(|a, b| a.zone.cmp(&b.zone));
        records
    }

    /// Returns the number of VMs, once those of each known zone have been counted: a VM that underestimates the number
    /// uses too much of what all may use together.
    pub fn vm_count(&self) -> Option<usize> {
        let records = || self.zones.values();
        let counted = !self.zones.is_empty() && records().all(|record| record.settled);
        counted.then(|| records().map(|record| record.count as usize).sum())
    }

    /// Records that a VM failed as a reader.
    pub fn record_failure(&mut self, now: Instant, vm: &VmName) {
        self.avoided.insert(vm.clone(), now + AVOID_FAILED);
    }

    /// Records that following this VM would form a cycle: it is fed through this one.
    pub fn record_cycle(&mut self, now: Instant, vm: &VmName) {
        let until = now + AVOID_IN_CYCLE;
        self.avoided.insert(vm.clone(), until);
    }

    /// Records that a VM answered.
    pub fn record_answer(&mut self, vm: &VmName) {
        self.avoided.remove(vm);
    }

    /// Returns the source of the VM `own` of `zone`; `region` lists the zones near enough to feed each other, where an
    /// empty list means all.
    ///
    /// The VM that reads for its zone follows that of another zone, if one ranks before it: sending a change to another
    /// zone costs some bytes, reading it from the store costs a call.
    pub fn source(
        &self,
        now: Instant,
        own: &VmName,
        zone: &AvailabilityZone,
        region: &[AvailabilityZone],
    ) -> Source {
        match self.source_in_zone(now, own, zone) {
            Source::Store => self
                .before(now, zone, region)
                .map_or(Source::Store, Source::Reader),
            elsewhere => elsewhere,
        }
    }

    /// Returns the feeder that a zone's reader can fall back to when the store does not answer it: the first VM of
    /// another zone that is not avoided.
    ///
    /// Failure: the store rejects a zone's reader and all VMs that its record names, and serves other zones.
    pub fn source_without_store(
        &self,
        now: Instant,
        zone: &AvailabilityZone,
        region: &[AvailabilityZone],
    ) -> Option<VmEntry> {
        self.first_of_others(now, zone, region, |_| true)
    }

    /// Returns the first VM that is not avoided of the zones that rank before this one.
    fn before(
        &self,
        now: Instant,
        zone: &AvailabilityZone,
        region: &[AvailabilityZone],
    ) -> Option<VmEntry> {
        let own = self.zones.get(zone)?;
        self.first_of_others(now, zone, region, |record| {
            zone_rank(record) < zone_rank(own)
        })
    }

    fn first_of_others(
        &self,
        now: Instant,
        zone: &AvailabilityZone,
        region: &[AvailabilityZone],
        counts: impl Fn(&ZoneRecord) -> bool,
    ) -> Option<VmEntry> {
        let is_near = |record: &ZoneRecord| region.is_empty() || region.contains(&record.zone);
        let others = self.zones.values().filter(|record| record.zone != *zone);
        let mut others: Vec<_> = others.filter(|r| is_near(r) && counts(r)).collect();
        others.sort_by_key(|record| zone_rank(record));
        let mut vms = others.into_iter().flat_map(|record| &record.vms);
        vms.find(|vm| !self.is_avoided(now, &vm.name)).cloned()
    }

    /// Returns the source of the VM `own` by its own zone alone; a VM with the source `Store` leads its zone.
    pub fn source_in_zone(&self, now: Instant, own: &VmName, zone: &AvailabilityZone) -> Source {
        let Some(record) = self.zones.get(zone) else {
            return Source::Store;
        };
        let mut usable = record.vms.iter();
        let first = usable.find(|vm| vm.name == *own || !self.is_avoided(now, &vm.name));
        match first {
            Some(first) if first.name == *own => Source::Store,
            Some(first) => Source::Reader(first.clone()),
            None => Source::StoreAlone,
        }
    }

    fn is_avoided(&self, now: Instant, vm: &VmName) -> bool {
        let failed = self.avoided.get(vm);
        failed.is_some_and(|until| now < *until)
    }
}
