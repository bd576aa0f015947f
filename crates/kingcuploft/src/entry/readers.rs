//! Which VMs read the platform's store for the others of their availability zone, and how the VMs know of each other.
//!
//! Load pattern: every change wakes every VM's watch, and each wake is a call that the platform counts:
//! 144 VMs that watch 469 servers spend more on calls than all their decisions gain. One VM of a zone
//! watches and passes on what it hears; bytes within a zone cost nothing. A record for each VM would be the same
//! again at each start, so one record for each zone stands in the store: the VM that reads, and a few that take its
//! place. It lasts through restarts, as a VM comes back under its name.
//!
//! Nobody is elected. Each VM follows the first of its zone's record that answers; where that is itself, it reads.
//! Views may differ: then a zone has two readers, which costs calls, until the later one follows the one of the
//! record. The readers of a region's zones follow one of them in the same way.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::vm_entry::VmEntry;
use super::zone_record::ZoneRecord;
use crate::utils::HashMap;
use crate::world::ids::{AvailabilityZone, VmName};

/// How long a VM that failed as a reader is left alone: longer than a freeze or a restart usually takes.
const LEAVE_ALONE: Duration = Duration::from_secs(5);

/// The same for one that hears through the VM that would follow it: it is well, and may find another source.
const LEAVE_ALONE_IN_CIRCLE: Duration = Duration::from_secs(1);

/// Returns a zone's place in the order of those that others follow: by the size of the VM that reads for it.
fn place(record: &ZoneRecord) -> (Reverse<u32>, &AvailabilityZone) {
    let cpu_milli = record.vms.first().map_or(0, |vm| vm.cpu_milli);
    (Reverse(cpu_milli), &record.zone)
}

/// What a VM does to learn what the store holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// It reads the store, and others may follow it: it comes first, or no record tells who does.
    Store,
    /// It reads the store for itself: it can reach none of those that come first.
    StoreAlone,
    /// It follows this VM.
    Reader(VmEntry),
}

/// The VMs that are known, and which of them failed lately.
#[derive(Debug, Default)]
pub struct Readers {
    zones: HashMap<AvailabilityZone, ZoneRecord>,
    /// Until when VMs are left alone.
    failed: HashMap<VmName, Instant>,
}

impl Readers {
    /// Takes records of zones in; returns those that are news. An older one than is known, as a stale list
    /// or another VM may tell, is none.
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

    /// Returns all records, in the order of their zones.
    pub fn records(&self) -> Vec<ZoneRecord> {
        let mut records: Vec<_> = self.zones.values().cloned().collect();
        records.sort_by(|a, b| a.zone.cmp(&b.zone));
        records
    }

    /// Returns how many VMs there are, once those of each known zone have been counted: a VM that takes itself
    /// for one of few takes too much of what all may use together.
    pub fn vm_count(&self) -> Option<usize> {
        let records = || self.zones.values();
        let counted = !self.zones.is_empty() && records().all(|record| record.settled);
        counted.then(|| records().map(|record| record.count as usize).sum())
    }

    /// Takes in that a VM failed as a reader.
    pub fn record_failure(&mut self, now: Instant, vm: &VmName) {
        self.failed.insert(vm.clone(), now + LEAVE_ALONE);
    }

    /// Takes in that a VM hears through this one.
    pub fn record_cycle(&mut self, now: Instant, vm: &VmName) {
        let until = now + LEAVE_ALONE_IN_CIRCLE;
        self.failed.insert(vm.clone(), until);
    }

    /// Takes in that a VM answers.
    pub fn record_answer(&mut self, vm: &VmName) {
        self.failed.remove(vm);
    }

    /// Returns where the VM `own` of `zone` learns what the store holds, where the zones of `region` are near enough to
    /// tell each other; none says that all are.
    ///
    /// The VM that reads for its zone follows that of another zone, if one goes before it: a change that is told to
    /// another zone costs some bytes, and one that is read costs a call.
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

    /// Returns the VM to follow that a VM which reads has left, where the store does not answer it: the first that answers
    /// of another zone.
    ///
    /// Failure: the store turns a zone's reader away, and all that its record names, and serves other zones.
    pub fn source_without_store(
        &self,
        now: Instant,
        zone: &AvailabilityZone,
        region: &[AvailabilityZone],
    ) -> Option<VmEntry> {
        self.first_of_others(now, zone, region, |_| true)
    }

    /// Returns the first VM that answers of the first zone that goes before this one.
    fn before(
        &self,
        now: Instant,
        zone: &AvailabilityZone,
        region: &[AvailabilityZone],
    ) -> Option<VmEntry> {
        let own = self.zones.get(zone)?;
        self.first_of_others(now, zone, region, |record| place(record) < place(own))
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
        others.sort_by_key(|record| place(record));
        let mut vms = others.into_iter().flat_map(|record| &record.vms);
        vms.find(|vm| !self.is_left_alone(now, &vm.name)).cloned()
    }

    /// Returns where the VM `own` learns what the store holds, by its own zone alone; one that would read for it leads
    /// the zone.
    pub fn source_in_zone(&self, now: Instant, own: &VmName, zone: &AvailabilityZone) -> Source {
        let Some(record) = self.zones.get(zone) else {
            return Source::Store;
        };
        let mut usable = record.vms.iter();
        let first = usable.find(|vm| vm.name == *own || !self.is_left_alone(now, &vm.name));
        match first {
            Some(first) if first.name == *own => Source::Store,
            Some(first) => Source::Reader(first.clone()),
            None => Source::StoreAlone,
        }
    }

    fn is_left_alone(&self, now: Instant, vm: &VmName) -> bool {
        let failed = self.failed.get(vm);
        failed.is_some_and(|until| now < *until)
    }
}
