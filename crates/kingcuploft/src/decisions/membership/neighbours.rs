//! Which VMs a VM keeps links with, and which watch the store: chosen from the view of the fleet.

use std::net::SocketAddr;
use std::time::Instant;

use super::Membership;
use super::member::{KnownMember, Member, MemberState, Neighbour};
use crate::utils::rendezvous::rendezvous;

impl Membership {
    /// Returns how many VMs share the backend servers: the members that are not gone, and this VM.
    pub fn serving_vms(&self) -> usize {
        let mut members = self.members.values();
        let shares = |known: &KnownMember| known.member.state != MemberState::Gone;
        members.by_ref().filter(|known| shares(known)).count() + 1
    }

    /// Returns the VMs to keep a link with.
    pub fn neighbours(&self, now: Instant) -> Vec<Neighbour> {
        let is_linkable = |state| matches!(state, MemberState::Live | MemberState::Suspect);
        let members = self.members.values();
        let mut linkable: Vec<&KnownMember> =
            members.filter(|k| is_linkable(k.member.state)).collect();
        linkable.sort_by_key(|known| std::cmp::Reverse(known.hashes.affinity));
        let successor = self.successor(&linkable);
        let linkable = linkable.iter().map(|known| &known.member);
        let mut chosen: Vec<&Member> = successor.into_iter().collect();
        let in_zone = |m: &&Member| m.availability_zone == self.own.availability_zone;
        let mut near = linkable.clone().filter(in_zone);
        let mut far = linkable.filter(|m| !in_zone(m));
        while chosen.len() < self.settings.neighbours {
            let (near, far) = (near.next(), far.next());
            if near.is_none() && far.is_none() {
                break;
            }
            for member in [far, near].into_iter().flatten() {
                let new = chosen.iter().all(|other| other.name != member.name);
                if new && chosen.len() < self.settings.neighbours {
                    chosen.push(member);
                }
            }
        }
        let chosen = chosen.into_iter().map(|member| Neighbour {
            name: Some(member.name.clone()),
            address: member.address,
        });
        let unconfirmed = self
            .unconfirmed
            .iter()
            .filter_map(|name| self.members.get(name));
        let unconfirmed = unconfirmed
            .take(self.settings.neighbours)
            .map(|known| Neighbour {
                name: Some(known.member.name.clone()),
                address: known.member.address,
            });
        chosen
            .chain(unconfirmed)
            .chain(self.due_candidates(now))
            .collect()
    }

    /// Returns whether this VM is one of the few of its availability zone that watch the store.
    pub fn watches_store(&self) -> bool {
        let zone = &self.own.availability_zone;
        let rivals = self.members.values().filter(|known| {
            let member = &known.member;
            member.state == MemberState::Live && member.availability_zone == *zone
        });
        let own = self.own_hashes.store_watch;
        let better = rivals
            .filter(|rival| rival.hashes.store_watch > own)
            .count();
        better < self.settings.watchers_per_zone
    }

    /// Returns the next member on the ring of hashed names.
    fn successor<'a>(&self, linkable: &[&'a KnownMember]) -> Option<&'a Member> {
        let own = self.own_hashes.ring_position;
        let distance = |known: &&&KnownMember| known.hashes.ring_position.wrapping_sub(own);
        let next = linkable.iter().min_by_key(distance);
        next.map(|known| &known.member)
    }

    /// Returns a few candidates that are due to be tried.
    fn due_candidates(&self, now: Instant) -> Vec<Neighbour> {
        let candidates = self.candidates.iter();
        let due = candidates.filter(|(_, candidate)| candidate.not_before <= now);
        let mut due: Vec<SocketAddr> = due.map(|(address, _)| *address).collect();
        due.sort_by_key(|address| rendezvous(&self.own.name, &address.to_string()));
        due.truncate(self.settings.neighbours);
        let candidates = due.into_iter().map(|address| Neighbour {
            name: None,
            address,
        });
        candidates.collect()
    }
}
