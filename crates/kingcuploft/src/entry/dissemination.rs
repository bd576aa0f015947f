//! Which VM tells which what it hears of the platform's store: a tree in each availability zone, and one of the zones.
//!
//! Load pattern: dozens of VMs follow the one that reads, and all of them join at once after an outage. One that tells
//! them all writes an account of all servers to each, over the link of a small machine. Here each VM feeds a few, and
//! names one of these to whoever comes beyond.
//!
//! Failure: a VM whose feeder is gone looks for another and finds one that it feeds itself, and both go on in a circle,
//! telling each other old news. The guard: each VM tells with every heartbeat through which VMs it hears; one that
//! finds itself among them leaves.

use super::vm_entry::VmEntry;
use crate::world::ids::{AvailabilityZone, VmName};

/// The most VMs that one feeds: a tree of two steps reaches 156, of three 1,884.
pub const MAX_FOLLOWERS: usize = 12;

/// The most VMs through which news may come.
pub const MAX_DEPTH: usize = 6;

/// A VM that is fed.
#[derive(Clone, Debug)]
pub struct FollowerLoad {
    /// The VM.
    pub vm: VmEntry,
    /// How many VMs are fed through it, as it says.
    pub descendants: u32,
    /// How many were sent to it since it said so.
    pub redirected: u32,
}

/// What to do with a VM that wants to be fed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Feed it.
    Accept,
    /// Name it another VM, at this place among those that are fed.
    Redirect(usize),
    /// Turn it away: this VM hears through it, or too many are between this VM and the store.
    Reject,
}

/// Decides about a VM that wants to be fed, by those that are, and by the VMs through which this one hears. One of
/// another zone is fed for its whole zone, and not sent to a smaller VM of this one.
pub fn admit(
    comes: &VmEntry,
    zone: &AvailabilityZone,
    path: &[VmName],
    fed: &[FollowerLoad],
) -> Admission {
    if path.contains(&comes.name) || path.len() >= MAX_DEPTH {
        return Admission::Reject;
    }
    let of_zone = |fed: &FollowerLoad| fed.vm.zone == *zone;
    let room = fed.iter().filter(|fed| of_zone(fed)).count() < MAX_FOLLOWERS;
    if room || comes.zone != *zone {
        return Admission::Accept;
    }
    let others = fed.iter().enumerate();
    let others = others.filter(|(_, fed)| of_zone(fed) && fed.vm.name != comes.name);
    let least = others.min_by_key(|(_, fed)| fed.descendants + fed.redirected);
    least.map_or(Admission::Accept, |(at, _)| Admission::Redirect(at))
}

/// Returns how many VMs of its zone are fed by this one, at first or second hand.
pub fn descendants(zone: &AvailabilityZone, fed: &[FollowerLoad]) -> u32 {
    let of_zone = fed.iter().filter(|fed| fed.vm.zone == *zone);
    of_zone.map(|fed| fed.descendants + 1).sum()
}

/// Returns whether a VM that hears through these hears through itself.
pub fn has_cycle(own: &VmName, path: &[VmName]) -> bool {
    path.contains(own)
}
