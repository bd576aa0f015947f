//! The dissemination trees by which VMs pass on what the platform's store holds: one in each availability zone, and one
//! that connects the zones.
//!
//! Load pattern: dozens of VMs follow the one that reads the store, and all of them join at once after an outage. A
//! single VM that serves them all sends the table of all servers to each, over the network link of a small machine. So
//! each VM feeds only a few followers and redirects further ones to one of these.
//!
//! Failure: a VM whose feeder is gone picks as its new feeder a VM that it feeds itself, and both form a cycle that
//! passes stale data around. The guard: each VM sends with every heartbeat the path of VMs between it and the store; a
//! VM that finds itself on its feeder's path leaves.

use super::vm_entry::VmEntry;
use crate::world::ids::{AvailabilityZone, VmName};

/// Maximum number of followers of one VM: a tree of depth two reaches 156 VMs, of depth three 1,884.
pub const MAX_FOLLOWERS: usize = 12;

/// Maximum depth of the tree: the number of VMs between a VM and the store.
pub const MAX_DEPTH: usize = 6;

/// A follower and the size of its subtree.
#[derive(Clone, Debug)]
pub struct FollowerLoad {
    /// The follower.
    pub vm: VmEntry,
    /// The number of VMs below it, as it reports.
    pub descendants: u32,
    /// The number of VMs redirected to it since that report.
    pub redirected: u32,
}

/// The decision about a VM that wants to follow this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Accept it as a follower.
    Accept,
    /// Redirect it to the follower at this index.
    Redirect(usize),
    /// Reject it: this VM is fed through it, or too many VMs are between this VM and the store.
    Reject,
}

/// Decides about a VM that wants to follow this one, by the current `followers` and the `path` of VMs between this one
/// and the store. A VM of another zone is always accepted: it feeds its whole zone and must not be redirected to a
/// smaller VM of this one.
pub fn admit(
    candidate: &VmEntry,
    zone: &AvailabilityZone,
    path: &[VmName],
    followers: &[FollowerLoad],
) -> Admission {
    if path.contains(&candidate.name) || path.len() >= MAX_DEPTH {
        return Admission::Reject;
    }
    let is_of_zone = |follower: &FollowerLoad| follower.vm.zone == *zone;
    let has_room = followers
        .iter()
        .filter(|follower| is_of_zone(follower))
        .count()
        < MAX_FOLLOWERS;
    if has_room || candidate.zone != *zone {
        return Admission::Accept;
    }
    let others = followers.iter().enumerate();
    let others =
        others.filter(|(_, follower)| is_of_zone(follower) && follower.vm.name != candidate.name);
    let smallest = others.min_by_key(|(_, follower)| follower.descendants + follower.redirected);
    smallest.map_or(Admission::Accept, |(at, _)| Admission::Redirect(at))
}

/// Returns how many VMs of the zone are below this one, at any depth.
pub fn descendants(zone: &AvailabilityZone, followers: &[FollowerLoad]) -> u32 {
    let of_zone = followers
        .iter()
        .filter(|follower| follower.vm.zone == *zone);
    of_zone.map(|follower| follower.descendants + 1).sum()
}

/// Returns whether a VM with this path to the store is fed through itself.
pub fn has_cycle(own: &VmName, path: &[VmName]) -> bool {
    path.contains(own)
}
