//! Members of the fleet, and the state that one VM keeps of each.

use std::net::SocketAddr;
use std::time::Instant;

use crate::utils::rendezvous::rendezvous;
use crate::world::ids::{AvailabilityZone, Incarnation, VmName};

/// The state of a member, as the failure detector sees it.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It was heard from.
    Live,
    /// Its neighbours do not hear from it.
    Suspect,
    /// It has not been heard from for long.
    Gone,
    /// It announced that it stops.
    Leaving,
}

impl MemberState {
    /// Every state, for metrics.
    pub const ALL: [Self; 4] = [Self::Live, Self::Suspect, Self::Gone, Self::Leaving];

    /// Returns the label in metrics and status.
    pub fn label(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Gone => "gone",
            Self::Leaving => "leaving",
        }
    }
}

/// A member's entry, as it is gossiped.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// Its name.
    pub name: VmName,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// The address at which it listens for peers.
    pub address: SocketAddr,
    /// Its incarnation; a later one replaces an earlier.
    pub incarnation: Incarnation,
    /// How many heartbeats it had sent when this entry was made.
    pub beat: u32,
    /// Its state.
    pub state: MemberState,
}

impl Member {
    /// Orders the entries of one member: the greater is the newer. An announced stop takes precedence over any
    /// heartbeat of the same incarnation.
    pub(super) fn precedence(&self) -> (Incarnation, bool, u32, MemberState) {
        let leaving = self.state == MemberState::Leaving;
        (self.incarnation, leaving, self.beat, self.state)
    }
}

/// A member with the state that this VM keeps of it.
#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub(super) member: Member,
    /// When it was heard from on a link of this VM, or its entry last changed.
    pub(super) last_heard: Instant,
    /// Whether it is heard from on a link of this VM.
    pub(super) linked: bool,
    /// Since when this VM should hear from it as a neighbour; `None` while it is none.
    pub(super) monitored_since: Option<Instant>,
    /// The hashes of its name, computed once.
    pub(super) hashes: Hashes,
}

/// The hashes by which members are chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hashes {
    /// Ranks it as a neighbour of this VM: the same at both ends, so that two VMs tend to share one link instead of
    /// having two.
    pub(super) affinity: u64,
    /// Its position on the ring.
    pub(super) ring_position: u64,
    /// Ranks it as a watcher of the store.
    pub(super) store_watch: u64,
    /// Its part of the digest.
    pub(super) incarnation: u64,
}

impl Hashes {
    pub(super) fn new(own: &VmName, member: &Member) -> Self {
        let name = &member.name;
        Self {
            affinity: rendezvous(own.min(name), own.max(name)),
            ring_position: rendezvous("ring", name),
            store_watch: rendezvous("watch", name),
            incarnation: rendezvous(name, &member.incarnation.to_string()),
        }
    }
}

/// An address that the settings or the VM list name and that was not heard from yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// When it may be tried (again).
    pub(super) not_before: Instant,
    /// How often it was tried.
    pub(super) tries: u32,
}

/// A VM to keep a link with.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Neighbour {
    /// Its name; `None` where only the address is known.
    pub name: Option<VmName>,
    /// The address at which it listens for peers.
    pub address: SocketAddr,
}
