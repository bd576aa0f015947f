//! Fleet membership in virtual time: all views converge, whichever VM is cut off, paused or replaced.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kingcuploft::decisions::membership::{Member, MemberState, Membership, Neighbour};
use kingcuploft::settings::membership::MembershipSettings;
use kingcuploft::utils::HashSet;
use kingcuploft::world::ids::VmName;

/// A fleet in which heartbeats take no time; links may be cut.
struct Fleet {
    now: Instant,
    views: Vec<Option<Membership>>,
    cut: Vec<(usize, usize)>,
    links: HashSet<(usize, usize)>,
    previous_links: HashSet<(usize, usize)>,
    gossip_entries: usize,
    heartbeats: usize,
}

const BEAT: Duration = Duration::from_secs(2);

fn name(index: usize) -> VmName {
    format!("entry-{index}").into()
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7400))
}

fn member(index: usize, incarnation: u64) -> Member {
    Member {
        name: name(index),
        availability_zone: format!("zone-{}", index % 4).into(),
        address: address(index),
        incarnation,
        beat: 0,
        state: MemberState::Live,
    }
}

impl Fleet {
    /// Starts VMs that know the first one's address.
    fn new(size: usize) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            views: Vec::new(),
            cut: Vec::new(),
            links: HashSet::default(),
            previous_links: HashSet::default(),
            gossip_entries: 0,
            heartbeats: 0,
        };
        for index in 0..size {
            let mut view = Membership::new(member(index, 1), MembershipSettings::default());
            view.add_candidates(now, [address(0)]);
            fleet.views.push(Some(view));
        }
        fleet
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        a != b && !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a))
    }

    /// Lets every VM send one heartbeat to each neighbour.
    fn round(&mut self) {
        self.now += BEAT;
        self.previous_links = std::mem::take(&mut self.links);
        for from in 0..self.views.len() {
            let Some(view) = &self.views[from] else {
                continue;
            };
            for neighbour in view.neighbours(self.now) {
                let position = (0..self.views.len()).find(|&i| address(i) == neighbour.address);
                match position {
                    Some(to) if self.views[to].is_some() && self.linked(from, to) => {
                        self.exchange(from, to);
                    }
                    _ => self.failed(from, &neighbour),
                }
            }
        }
        for (a, b) in self.previous_links.difference(&self.links) {
            if let Some(view) = &mut self.views[*a] {
                view.record_unlinked(&name(*b));
            }
        }
        for view in self.views.iter_mut().flatten() {
            view.tick(self.now);
        }
    }

    fn failed(&mut self, from: usize, to: &Neighbour) {
        if let Some(view) = &mut self.views[from] {
            view.record_unreachable(self.now, to.address);
        }
    }

    fn exchange(&mut self, from: usize, to: usize) {
        self.links.extend([(from, to), (to, from)]);
        for (a, b) in [(from, to), (to, from)] {
            let Some(sender) = &mut self.views[a] else {
                continue;
            };
            let beat = sender.next_heartbeat();
            let own = sender.own().clone();
            let news = sender.next_gossip(4);
            self.gossip_entries += news.len();
            self.heartbeats += 1;
            let Some(receiver) = &mut self.views[b] else {
                continue;
            };
            receiver.accept_peer(self.now, &own);
            receiver.record_heartbeat(self.now, &own.name, beat);
            news.iter()
                .for_each(|line| receiver.apply_gossip(self.now, line));
        }
        self.reconcile(from, to);
    }

    /// Reads the whole list of the other end at the start of a link, or where the views have differed for long.
    fn reconcile(&mut self, from: usize, to: usize) {
        let Some(list) = self.views[to].as_ref().map(|v| (v.digest(), v.members())) else {
            return;
        };
        let begins = !self.previous_links.contains(&(from, to));
        let Some(view) = &mut self.views[from] else {
            return;
        };
        if begins {
            view.merge_list(self.now, &list.1);
        } else if view.needs_resync(self.now, list.0) {
            view.reconcile_list(self.now, &list.1);
        }
    }

    fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// Returns how many live members each running VM sees, itself included.
    fn live(&self) -> Vec<usize> {
        let views = self.views.iter().flatten();
        let live = |view: &Membership| {
            let members = view.members();
            members
                .iter()
                .filter(|m| m.state == MemberState::Live)
                .count()
        };
        views.map(live).collect()
    }
}

#[test]
fn all_vms_find_each_other_from_one_address_with_bounded_gossip() {
    for size in [14, 60] {
        let mut fleet = Fleet::new(size);
        let all = |fleet: &Fleet| fleet.live().iter().all(|n| *n == size);
        let rounds = (0..100).find(|_| {
            fleet.round();
            all(&fleet)
        });
        println!("{size} VMs know each other after {rounds:?} rounds");
        assert!(rounds.is_some(), "{size}: {:?}", fleet.live());
        // Once all are known no gossip is left: the bytes of a heartbeat do not grow with the fleet.
        fleet.rounds(60);
        fleet.gossip_entries = 0;
        fleet.heartbeats = 0;
        fleet.rounds(10);
        assert_eq!(fleet.gossip_entries, 0, "{size}");
        let per_vm = fleet.heartbeats as f64 / (size * 10) as f64;
        assert!(
            per_vm <= 7.0,
            "{size}: {per_vm} heartbeats sent by a VM in a round"
        );
    }
}

#[test]
fn a_dead_vm_is_noticed_by_all_and_its_next_incarnation_is_accepted() {
    let mut fleet = Fleet::new(14);
    fleet.rounds(20);
    fleet.views[5] = None;
    fleet.rounds(10);
    assert!(fleet.live().iter().all(|n| *n == 13), "{:?}", fleet.live());
    let mut view = Membership::new(member(5, 2), MembershipSettings::default());
    view.add_candidates(fleet.now, [address(1)]);
    fleet.views[5] = Some(view);
    fleet.rounds(20);
    assert!(fleet.live().iter().all(|n| *n == 14), "{:?}", fleet.live());
    // A late entry of the dead incarnation is rejected.
    let view = fleet.views[1].as_mut().unwrap();
    assert!(!view.accept_peer(fleet.now, &member(5, 1)));
}

#[test]
fn one_bad_link_marks_no_vm_as_gone() {
    // Failure: two VMs can not reach each other while all others reach both. Were each to gossip that the other is
    // dead, both would be left out.
    let mut fleet = Fleet::new(14);
    fleet.rounds(20);
    fleet.cut = (0..14)
        .map(|i| (3, i))
        .filter(|(_, i)| i % 4 != 1 && *i != 3)
        .collect();
    fleet.rounds(15);
    for view in fleet.views.iter().flatten() {
        let members = view.members();
        let third = members.iter().find(|m| m.name == name(3));
        let state = third.map(|m| m.state);
        assert_ne!(state, Some(MemberState::Gone), "{}", view.own().name);
    }
}

#[test]
fn a_partition_heals() {
    let mut fleet = Fleet::new(16);
    fleet.rounds(20);
    let halves = (0..16).flat_map(|a| (0..16).map(move |b| (a, b)));
    fleet.cut = halves.filter(|(a, b)| a % 2 != b % 2).collect();
    fleet.rounds(25);
    assert!(fleet.live().iter().all(|n| *n == 8), "{:?}", fleet.live());
    fleet.cut.clear();
    // The addresses of the settings and the VM list find the other half again.
    for _ in 0..12 {
        for view in fleet.views.iter_mut().flatten() {
            view.add_candidates(fleet.now, (0..16).map(address));
        }
        fleet.rounds(5);
    }
    assert!(fleet.live().iter().all(|n| *n == 16), "{:?}", fleet.live());
}

#[test]
fn a_paused_vm_suspects_no_member_when_it_resumes() {
    let mut fleet = Fleet::new(14);
    fleet.rounds(20);
    let mut paused = fleet.views[7].take().unwrap();
    fleet.rounds(30);
    paused.tick(fleet.now);
    let seen = paused.members();
    assert!(seen.iter().all(|m| m.state == MemberState::Live));
    fleet.views[7] = Some(paused);
    fleet.rounds(30);
    assert!(fleet.live().iter().all(|n| *n == 14), "{:?}", fleet.live());
}

#[test]
fn a_new_vm_at_an_old_address_marks_the_old_one_as_gone() {
    let now = Instant::now();
    let mut view = Membership::new(member(0, 1), MembershipSettings::default());
    view.accept_peer(now, &member(1, 1));
    let mut new = member(2, 1);
    new.address = address(1);
    view.accept_peer(now, &new);
    let members = view.members();
    let state = |name: &str| members.iter().find(|m| &*m.name == name).map(|m| m.state);
    assert_eq!(state("entry-1"), Some(MemberState::Gone));
    assert_eq!(state("entry-2"), Some(MemberState::Live));
}

#[test]
fn each_zone_has_its_few_watchers_of_the_store() {
    let mut fleet = Fleet::new(50);
    fleet.rounds(40);
    for zone in 0..4 {
        let views = fleet.views.iter().flatten();
        let of_zone = views.filter(|v| *v.own().availability_zone == *format!("zone-{zone}"));
        assert_eq!(of_zone.filter(|v| v.watches_store()).count(), 2);
    }
    // All watchers of a zone die at once: others take over.
    for view in &mut fleet.views {
        let dies = |v: &Membership| &*v.own().availability_zone == "zone-1" && v.watches_store();
        if view.as_ref().is_some_and(dies) {
            *view = None;
        }
    }
    fleet.rounds(12);
    let views = fleet.views.iter().flatten();
    let of_zone = views.filter(|v| &*v.own().availability_zone == "zone-1");
    assert_eq!(of_zone.filter(|v| v.watches_store()).count(), 2);
}

#[test]
fn a_member_that_a_peer_does_not_know_is_tried_before_it_is_suspected() {
    // Failure: fifty VMs start at once, and for minutes some count a live VM as gone. A peer that had not heard of it
    // yet was believed, and no entry of the same heartbeat could revert that.
    let now = Instant::now();
    let unknown_to_peer = member(1, 1);
    let unconfirmed = || {
        let mut view = Membership::new(member(0, 1), MembershipSettings::default());
        view.apply_gossip(now, &unknown_to_peer);
        while !view.next_gossip(8).is_empty() {}
        view.reconcile_list(now, &[member(2, 1)]);
        assert!(
            view.members().contains(&unknown_to_peer),
            "it still counts as live"
        );
        let mut tried = view.neighbours(now).into_iter();
        assert!(tried.any(|neighbour| neighbour.address == address(1)));
        view
    };
    let mut view = unconfirmed();
    let mut heard = unknown_to_peer.clone();
    heard.beat = 4;
    assert!(view.accept_peer(now, &heard));
    assert_eq!(
        view.next_gossip(8),
        [heard],
        "the others learn that it lives"
    );
    let mut view = unconfirmed();
    view.record_unreachable(now, address(1));
    let gossip = view.next_gossip(8);
    assert_eq!(gossip.len(), 1);
    assert_eq!(gossip[0].state, MemberState::Suspect);
}

#[test]
fn two_neighbours_that_missed_the_same_entry_are_corrected_by_a_third() {
    // Failure: two hundred VMs start at once. Some pairs of neighbours miss the same VM, and each took the other's
    // equal view for proof that its own was complete: they missed it for minutes.
    let settings = MembershipSettings::default();
    let mut view = Membership::new(member(0, 1), settings.clone());
    let mut now = Instant::now();
    let (same, other) = (view.digest(), view.digest() ^ 1);
    let heartbeats = settings.suspect_ms / settings.beat_ms + 1;
    let mut resyncs = 0;
    for _ in 0..heartbeats {
        resyncs += usize::from(view.needs_resync(now, same));
        resyncs += usize::from(view.needs_resync(now, other));
        now += BEAT;
    }
    assert_eq!(resyncs, 1);
}
