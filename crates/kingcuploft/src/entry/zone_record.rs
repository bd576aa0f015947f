//! The record in the platform's store of the VMs of one availability zone, and the rules for rewriting it.
//!
//! Load pattern: VMs restart by the hundred, and the platform counts each write as a call. So the record does not hold
//! what changes with every start: it names the VM that reads the store for its zone and a few that take its place, and
//! counts the others. It is rewritten when it would mislead: another VM reads, most of the named VMs are gone, or the
//! zone has grown or shrunk.

use std::cmp::Reverse;
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use super::vm_entry::VmEntry;
use crate::world::ids::{AvailabilityZone, VmName};

/// Maximum number of VMs that a record names: the reader and those that take its place. Zones of up to this size are
/// named completely.
pub const MAX_NAMED_VMS: usize = 8;

/// Number of additional VMs that a record may name because they can reach none of the others.
const MAX_EXTRA_VMS: usize = 3;

/// The count is rewritten when it changes by more than this fraction.
const COUNT_TOLERANCE: f64 = 0.03;

/// How long a lower count must be observed before it takes effect: longer than a restart of all VMs, after which they
/// all use their shares of the common limits again.
const SHRINK_DELAY: Duration = Duration::from_secs(30);

/// How long after its first record a zone's count is considered complete: its VMs find the record within that time.
pub const SETTLE_TIME: Duration = Duration::from_millis(2000);

/// The VMs of one zone, as recorded in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneRecord {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Rises with each change.
    pub version: u64,
    /// The VM that reads the store, then those that take its place, in this order.
    pub vms: Vec<VmEntry>,
    /// The number of VMs in the zone.
    pub count: u32,
    /// Whether the count is complete: the VMs of the zone have had time to be counted.
    pub settled: bool,
}

impl ZoneRecord {
    /// Returns the first record of a zone, which names only this VM.
    pub fn first(own: &VmEntry) -> Self {
        Self {
            zone: own.zone.clone(),
            version: 1,
            vms: vec![own.clone()],
            count: 1,
            settled: false,
        }
    }

    /// Returns whether the record names this VM first.
    pub fn is_led_by(&self, vm: &VmName) -> bool {
        self.vms.first().is_some_and(|first| first.name == *vm)
    }

    fn names(&self, vm: &VmName) -> bool {
        self.vms.iter().any(|named| named.name == *vm)
    }
}

/// The zone as seen by the VM that reads the store for it.
#[derive(Clone, Debug)]
pub struct ZoneView {
    /// The VM itself.
    pub own: VmEntry,
    /// The VMs that follow it directly.
    pub followers: Vec<VmEntry>,
    /// The number of VMs that follow it directly or indirectly.
    pub descendants: u32,
}

/// The count of a zone's VMs, which grows at once and shrinks with a delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneCount {
    lower_since: Option<(Instant, u32)>,
}

impl ZoneCount {
    /// Returns the effective count, given the recorded count and the observed one.
    pub fn stable_count(&mut self, now: Instant, recorded: u32, observed: u32) -> u32 {
        if observed >= recorded {
            self.lower_since = None;
            return observed;
        }
        let (since, most) = self.lower_since.unwrap_or((now, observed));
        self.lower_since = Some((since, most.max(observed)));
        match now.saturating_duration_since(since) >= SHRINK_DELAY {
            true => most.max(observed),
            false => recorded,
        }
    }
}

/// Returns the record that replaces `old`, if `old` would mislead; `count` is the effective count, `settled` whether
/// the zone's VMs have had time to be counted.
pub fn refreshed(
    old: &ZoneRecord,
    view: &ZoneView,
    count: u32,
    settled: bool,
) -> Option<ZoneRecord> {
    let is_leader = old.vms.first() == Some(&view.own);
    // A VM without followers may be cut off from a reader that is alive.
    if !is_leader && view.followers.is_empty() && (old.count > 1 || !old.settled) {
        return None;
    }
    let grown = f64::from(count) > f64::from(old.count) * (1.0 + COUNT_TOLERANCE);
    let shrunk = f64::from(count) < f64::from(old.count) * (1.0 - COUNT_TOLERANCE);
    let settles = settled && !old.settled;
    let misleads = grown || shrunk || names_too_few(old, view);
    // Until a new zone has settled, its record would change with every VM that finds it.
    let misleads = !is_leader || settles || old.settled && misleads;
    misleads.then(|| ZoneRecord {
        zone: old.zone.clone(),
        version: old.version + 1,
        vms: named_vms(old, view),
        count,
        settled: old.settled || settled,
    })
}

/// Returns whether less than half of the VMs that could be named are named and alive, or another VM could be named as
/// well.
fn names_too_few(old: &ZoneRecord, view: &ZoneView) -> bool {
    let others = view.followers.iter();
    let alive = others.filter(|vm| old.names(&vm.name)).count();
    let nameable = view.followers.len().min(MAX_NAMED_VMS - 1);
    let has_room = old.vms.len() < MAX_NAMED_VMS && alive < nameable;
    has_room || 2 * alive < nameable
}

/// Returns the VMs that a new record names: this VM, the followers that are already named, then the other followers by
/// size; if there is room, also the named VMs that are not there now, as they may come back.
fn named_vms(old: &ZoneRecord, view: &ZoneView) -> Vec<VmEntry> {
    let mut vms = vec![view.own.clone()];
    let (mut kept, mut new): (Vec<_>, Vec<_>) = view
        .followers
        .iter()
        .cloned()
        .partition(|vm| old.names(&vm.name));
    kept.sort_by_key(|vm| old.vms.iter().position(|named| named.name == vm.name));
    new.sort_by_key(reader_rank);
    let absent = old.vms.iter().cloned();
    for vm in kept.into_iter().chain(new).chain(absent) {
        if vms.len() < MAX_NAMED_VMS && !vms.iter().any(|named| named.name == vm.name) {
            vms.push(vm);
        }
    }
    vms
}

/// Returns the record that makes `own` the reader of the zone.
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

/// Returns the record that also names, last, a VM that can reach none of the named ones, if there is room. Other VMs
/// that can't reach the named ones then find each other, and those that can are not misled.
pub fn with_unreachable_vm(old: &ZoneRecord, own: &VmEntry) -> Option<ZoneRecord> {
    if old.names(&own.name) || old.vms.len() >= MAX_NAMED_VMS + MAX_EXTRA_VMS {
        return None;
    }
    let mut record = old.clone();
    record.version += 1;
    record.vms.push(own.clone());
    Some(record)
}

/// Returns the record that hands the zone over to a larger VM that follows this one, if there is one.
///
/// Failure: the small VMs of a zone restart first after an outage, and one of them becomes the reader. With a tenth of
/// a core and dozens of followers it misses its heartbeats while it sends them hundreds of servers.
pub fn handed_to_larger(old: &ZoneRecord, view: &ZoneView) -> Option<ZoneRecord> {
    let largest = view.followers.iter().min_by_key(|vm| reader_rank(vm))?;
    if largest.cpu_milli <= view.own.cpu_milli {
        return None;
    }
    Some(with_leader(old, largest))
}

/// Returns a VM's sort key among those that may read the store: the largest come first, those of the same size in the
/// order of a hash of their names.
pub fn reader_rank(vm: &VmEntry) -> (Reverse<u32>, u64) {
    let mut hasher = FxHasher::default();
    vm.name.hash(&mut hasher);
    (Reverse(vm.cpu_milli), hasher.finish())
}
