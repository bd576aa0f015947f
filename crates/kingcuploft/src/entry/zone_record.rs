//! What the platform's store holds of the VMs of one availability zone, and when that is written anew.
//!
//! Load pattern: VMs restart by the hundred, and each write is a call that the platform counts. What changes with
//! every start is not written: the record names the VM that reads and a few that take its place, and counts the
//! others. It is written when it would mislead: another VM reads, most of those that it names are gone, the zone has
//! grown.

use std::cmp::Reverse;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use super::vm_entry::VmEntry;
use crate::world::ids::{AvailabilityZone, VmName};

/// The most VMs that a record names: the reader, and those that take its place. Zones of up to so many VMs are named
/// whole.
pub const MAX_NAMED_VMS: usize = 8;

/// How many more a record names that can reach none of the others.
const MOST_APPENDED: usize = 3;

/// A zone that has grown or shrunk by this part of its count is counted anew.
const GROWTH: f64 = 0.03;

/// How long a lower count is seen before it holds: longer than a restart of all VMs, after which they all use what
/// they may use together.
const SHRINK_AFTER: Duration = Duration::from_secs(30);

/// How long after its first record a zone counts as counted: its VMs find it within that time.
pub const SETTLE_TIME: Duration = Duration::from_millis(2000);

/// The VMs of one zone, as the store holds them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneRecord {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Greater with each change.
    pub version: u64,
    /// The VM that reads, then those that take its place, in this order.
    pub vms: Vec<VmEntry>,
    /// How many VMs there are.
    pub count: u32,
    /// Whether the count holds: the VMs of the zone have had time to be counted.
    pub settled: bool,
}

impl ZoneRecord {
    /// Returns the first record of a zone.
    pub fn first(own: &VmEntry) -> Self {
        Self {
            zone: own.zone.clone(),
            version: 1,
            vms: vec![own.clone()],
            count: 1,
            settled: false,
        }
    }

    /// Returns whether it names this VM first.
    pub fn is_led_by(&self, vm: &VmName) -> bool {
        self.vms.first().is_some_and(|first| first.name == *vm)
    }

    fn names(&self, vm: &VmName) -> bool {
        self.vms.iter().any(|named| named.name == *vm)
    }
}

/// What the VM that reads for a zone sees of it.
#[derive(Clone, Debug)]
pub struct ZoneView {
    /// The VM itself.
    pub own: VmEntry,
    /// The VMs that follow it at first hand.
    pub followers: Vec<VmEntry>,
    /// How many VMs follow it at first or second hand.
    pub descendants: u32,
}

/// The count of a zone's VMs, which grows at once and shrinks late.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneCount {
    lower_since: Option<(Instant, u32)>,
}

impl ZoneCount {
    /// Returns the count that holds, of the recorded and the one that is seen.
    pub fn stable_count(&mut self, now: Instant, recorded: u32, seen: u32) -> u32 {
        if seen >= recorded {
            self.lower_since = None;
            return seen;
        }
        let (since, most) = self.lower_since.unwrap_or((now, seen));
        self.lower_since = Some((since, most.max(seen)));
        match now.saturating_duration_since(since) >= SHRINK_AFTER {
            true => most.max(seen),
            false => recorded,
        }
    }
}

/// Returns the record that takes the place of `old`, if that would mislead; `count` is what holds now, `settled`
/// whether the zone's VMs have had time to be counted.
pub fn refreshed(
    old: &ZoneRecord,
    seen: &ZoneView,
    count: u32,
    settled: bool,
) -> Option<ZoneRecord> {
    let leads = old.vms.first() == Some(&seen.own);
    // One that nobody follows may be cut off from a reader that is well.
    if !leads && seen.followers.is_empty() && (old.count > 1 || !old.settled) {
        return None;
    }
    let grown = f64::from(count) > f64::from(old.count) * (1.0 + GROWTH);
    let shrunk = f64::from(count) < f64::from(old.count) * (1.0 - GROWTH);
    let settles = settled && !old.settled;
    let misleads = grown || shrunk || names_too_few(old, seen);
    // Until a new zone has settled it changes with every VM that finds it.
    let misleads = !leads || settles || old.settled && misleads;
    misleads.then(|| ZoneRecord {
        zone: old.zone.clone(),
        version: old.version + 1,
        vms: named(old, seen),
        count,
        settled: old.settled || settled,
    })
}

/// Returns whether fewer of the named VMs are there than half of those that could be named, or a VM could be named
/// beside them.
fn names_too_few(old: &ZoneRecord, seen: &ZoneView) -> bool {
    let others = seen.followers.iter();
    let alive = others.filter(|vm| old.names(&vm.name)).count();
    let could = seen.followers.len().min(MAX_NAMED_VMS - 1);
    let has_room = old.vms.len() < MAX_NAMED_VMS && alive < could;
    has_room || 2 * alive < could
}

/// Returns the VMs that a new record names: the VM itself, those that are named and follow it, then the others by
/// size; where there is room, also those that are named and not there now, as they may come back.
fn named(old: &ZoneRecord, seen: &ZoneView) -> Vec<VmEntry> {
    let mut vms = vec![seen.own.clone()];
    let (mut kept, mut new): (Vec<_>, Vec<_>) = seen
        .followers
        .iter()
        .cloned()
        .partition(|vm| old.names(&vm.name));
    kept.sort_by_key(|vm| old.vms.iter().position(|named| named.name == vm.name));
    new.sort_by_key(reader_rank);
    let away = old.vms.iter().cloned();
    for vm in kept.into_iter().chain(new).chain(away) {
        if vms.len() < MAX_NAMED_VMS && !vms.iter().any(|named| named.name == vm.name) {
            vms.push(vm);
        }
    }
    vms
}

/// Returns the record by which a VM reads in place of the first.
pub fn with_leader(old: &ZoneRecord, own: &VmEntry) -> ZoneRecord {
    let others = old.vms.iter().filter(|vm| vm.name != own.name);
    let mut vms = vec![own.clone()];
    vms.extend(others.take(MAX_NAMED_VMS - 1).cloned());
    ZoneRecord {
        version: old.version + 1,
        vms,
        ..old.clone()
    }
}

/// Returns the record that also names, last, a VM that can reach none of those that it names, if there is room: others
/// that can't reach them either find each other so, and those that can are not misled.
pub fn with_unreachable_vm(old: &ZoneRecord, own: &VmEntry) -> Option<ZoneRecord> {
    if old.names(&own.name) || old.vms.len() >= MAX_NAMED_VMS + MOST_APPENDED {
        return None;
    }
    let mut record = old.clone();
    record.version += 1;
    record.vms.push(own.clone());
    Some(record)
}

/// Returns the record that hands the zone to a larger VM that follows this one, if there is any.
///
/// Failure: the small VMs of a zone are back first after an outage, and one of them reads. With a tenth of a core and
/// dozens of followers it misses its heartbeats while it tells them all of hundreds of servers.
pub fn handed_to_larger(old: &ZoneRecord, seen: &ZoneView) -> Option<ZoneRecord> {
    let largest = seen.followers.iter().min_by_key(|vm| reader_rank(vm))?;
    if largest.cpu_milli <= seen.own.cpu_milli {
        return None;
    }
    Some(with_leader(old, largest))
}

/// Returns a VM's place in the order of those that may read. The largest come first.
pub fn reader_rank(vm: &VmEntry) -> (Reverse<u32>, u64) {
    let mut hasher = FxHasher::default();
    vm.name.hash(&mut hasher);
    (Reverse(vm.cpu_milli), hasher.finish())
}
