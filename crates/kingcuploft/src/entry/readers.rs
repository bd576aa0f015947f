//! Which VMs read the platform's store for the others of their availability zone.
//!
//! Load pattern: every change wakes every VM's watch, and each wake is a call that the platform counts:
//! 144 VMs that watch 469 servers spend more on calls than all their decisions gain. One VM of a zone
//! watches and passes on what it hears; bytes within a zone cost nothing.
//!
//! Nobody is elected. Each VM orders the VMs of its zone by size and a hash and follows the first that answers;
//! where that is itself, it reads. Views may differ: then a zone has two readers, which costs calls,
//! or a VM follows one that would itself follow, which is fine, as a VM with followers reads. A VM
//! whose reader falls silent, falls behind or loses the store reads by itself at once and looks for
//! another reader later.

use std::cmp::Reverse;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use crate::utils::HashMap;
use crate::world::ids::{AvailabilityZone, VmName};

/// How long a reader that failed is left alone: longer than a freeze or a restart usually takes.
const LEAVE_ALONE: Duration = Duration::from_secs(5);

/// One entry VM, as it made itself known.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Its name.
    pub name: VmName,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Where the other VMs reach it.
    pub address: SocketAddr,
    /// Its processor, in thousandths of a core.
    pub cpu_milli: u32,
}

/// What a VM does to learn what the store holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// It reads the store.
    Store,
    /// It follows this VM.
    Reader(VmEntry),
}

/// The VMs that are known, and which of them failed lately.
#[derive(Debug, Default)]
pub struct Readers {
    vms: Vec<VmEntry>,
    failed: HashMap<VmName, Instant>,
}

impl Readers {
    /// Takes in which VMs there are; returns whether that is news.
    pub fn told(&mut self, mut vms: Vec<VmEntry>) -> bool {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let news = vms != self.vms;
        self.vms = vms;
        news
    }

    /// Returns the known VMs.
    pub fn vms(&self) -> &[VmEntry] {
        &self.vms
    }

    /// Takes in that a VM failed as a reader.
    pub fn failed(&mut self, now: Instant, vm: &VmName) {
        self.failed.insert(vm.clone(), now);
    }

    /// Returns where the VM `own` of `zone` learns what the store holds.
    pub fn source(&self, now: Instant, own: &VmName, zone: &AvailabilityZone) -> Source {
        let of_zone = self.vms.iter().filter(|vm| vm.zone == *zone);
        let usable = of_zone.filter(|vm| vm.name == *own || !self.left_alone(now, &vm.name));
        match usable.min_by_key(|vm| order(vm)) {
            Some(first) if first.name != *own => Source::Reader(first.clone()),
            _ => Source::Store,
        }
    }

    fn left_alone(&self, now: Instant, vm: &VmName) -> bool {
        let failed = self.failed.get(vm);
        failed.is_some_and(|at| now.saturating_duration_since(*at) < LEAVE_ALONE)
    }
}

/// Returns a VM's place in the order of the readers. The largest come first: a reader with a tenth of a
/// core and forty followers misses its heartbeats while it tells them all of hundreds of servers.
fn order(vm: &VmEntry) -> (Reverse<u32>, u64) {
    let mut hasher = FxHasher::default();
    vm.name.hash(&mut hasher);
    (Reverse(vm.cpu_milli), hasher.finish())
}
