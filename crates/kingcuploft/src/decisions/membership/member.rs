//! Members of the fleet, and what one VM knows of each.

use std::net::SocketAddr;
use std::time::Instant;

use crate::utils::rendezvous::rendezvous;
use crate::world::ids::{AvailabilityZone, Incarnation, VmName};

/// Whether a member is thought to run.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It was heard.
    Live,
    /// Its neighbours do not hear it.
    Suspect,
    /// It has not been heard for long.
    Gone,
    /// It said that it stops.
    Leaving,
}

impl MemberState {
    /// Every state, for metrics.
    pub const ALL: [Self; 4] = [Self::Live, Self::Suspect, Self::Gone, Self::Leaving];

    /// Returns the word that stands in metrics and status.
    pub fn label(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Gone => "gone",
            Self::Leaving => "leaving",
        }
    }
}

/// What is told of a member.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// Its name.
    pub name: VmName,
    /// Where it stands.
    pub availability_zone: AvailabilityZone,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its life; a later one replaces an earlier.
    pub incarnation: Incarnation,
    /// How many heartbeats it had sent when this was seen.
    pub beat: u32,
    /// Whether it is thought to run.
    pub state: MemberState,
}

impl Member {
    /// Orders news of one member: the greater is the newer. A stop that was announced goes before
    /// any beat of the same life.
    pub(super) fn precedence(&self) -> (Incarnation, bool, u32, MemberState) {
        let leaving = self.state == MemberState::Leaving;
        (self.incarnation, leaving, self.beat, self.state)
    }
}

/// A member with what this VM itself knows of it.
#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub(super) member: Member,
    /// When it was heard on a link of this VM, or its news last changed.
    pub(super) last_heard: Instant,
    /// Whether it is heard on a link of this VM.
    pub(super) linked: bool,
    /// Since when this VM should hear it as a neighbour; `None` while it is none.
    pub(super) monitored_since: Option<Instant>,
    /// The hashes of its name, computed once.
    pub(super) hashes: Hashes,
}

/// The hashes by which a member is chosen for one thing or another.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hashes {
    /// As a neighbour of this VM: the same for both ends, so that two VMs rather share one link
    /// than have two.
    pub(super) affinity: u64,
    /// Its place on the ring.
    pub(super) ring_position: u64,
    /// As a watcher of the store.
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

/// An address that the settings or the VM list name and nobody has heard from.
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
    /// Where it listens for peers.
    pub address: SocketAddr,
}
