//! Fleet membership by gossip: which VMs are in the fleet, as far as one VM can tell.
//!
//! Load pattern: 30 VMs fail on an ordinary day, 940 are restarted, zones lose each other, and the platform's VM list
//! lags behind all of it. Without this module a VM would send news to dead VMs, leave out new ones, and each would
//! watch the store.
//!
//! The view decides only costs: which VMs to link with, which watch the store, over how many VMs a backend server's
//! connections are shared. A wrong view never breaks correctness.
//!
//! Heartbeats go to a fixed number of neighbours, so a VM's bytes do not grow with the fleet: the successor on a ring
//! of hashed names, by which every VM has one that monitors it, and the best by rendezvous hash, half of them from the
//! own availability zone. Of the other VMs only changes are gossiped, a bounded number of times each. Each gossip entry
//! carries the incarnation and the heartbeat count that it was seen at; entries are ordered by these, so all VMs
//! converge whatever the order of arrival, and a suspicion ends with the next heartbeat of the suspected. Heartbeats
//! carry a digest of the view; a difference that lasts is repaired by reading one neighbour's whole list.

mod member;
mod neighbours;
mod periods;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use self::member::{Candidate, Hashes, KnownMember};
pub use self::member::{Member, MemberState, Neighbour};
use crate::settings::membership::MembershipSettings;
use crate::utils::{HashMap, HashSet};
use crate::world::ids::VmName;

/// The backoff after the first failed attempt to link with a candidate; it doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// One VM's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    own_hashes: Hashes,
    settings: MembershipSettings,
    members: HashMap<VmName, KnownMember>,
    candidates: HashMap<SocketAddr, Candidate>,
    /// Members that this VM counts as live and a peer does not know: this VM tries to link with them.
    unconfirmed: HashSet<VmName>,
    gossip: VecDeque<(VmName, u32)>,
    last_tick: Option<Instant>,
    /// This VM's digest, and since when a neighbour's has differed from it.
    differs_since: Option<(u32, Instant)>,
    last_pull: Option<Instant>,
}

impl Membership {
    /// Creates the view of a VM that knows only itself.
    pub fn new(own: Member, settings: MembershipSettings) -> Self {
        Self {
            own_hashes: Hashes::new(&own.name, &own),
            own,
            settings,
            members: HashMap::default(),
            candidates: HashMap::default(),
            unconfirmed: HashSet::default(),
            gossip: VecDeque::new(),
            last_tick: None,
            differs_since: None,
            last_pull: None,
        }
    }

    /// Returns this VM's own member entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Sets the address at which this VM listens for peers, once that is known.
    pub fn set_address(&mut self, address: SocketAddr) {
        self.own.address = address;
    }

    /// Counts a heartbeat of this VM and returns its number.
    pub fn next_heartbeat(&mut self) -> u32 {
        self.own.beat += 1;
        self.own.beat
    }

    /// Records that this VM stops; the peers learn it by gossip.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.queue_gossip(self.own.name.clone());
    }

    /// Adds addresses that the settings or the platform's VM list name as candidates. The list lags, so it only adds
    /// candidates and removes no member.
    pub fn add_candidates(
        &mut self,
        now: Instant,
        addresses: impl IntoIterator<Item = SocketAddr>,
    ) {
        for address in addresses {
            let known = |known: &KnownMember| {
                known.member.address == address && known.member.state != MemberState::Gone
            };
            if address != self.own.address && !self.members.values().any(known) {
                let candidate = Candidate {
                    not_before: now,
                    tries: 0,
                };
                self.candidates.entry(address).or_insert(candidate);
            }
        }
    }

    /// Records that no link to an address could be opened: a candidate is not tried again for a while, and an
    /// unconfirmed member is suspected.
    pub fn record_unreachable(&mut self, now: Instant, address: SocketAddr) {
        let mut suspected = Vec::new();
        for (name, known) in &mut self.members {
            let member = &mut known.member;
            let was_unconfirmed = member.address == address && self.unconfirmed.remove(name);
            if was_unconfirmed && member.state == MemberState::Live && !known.linked {
                (member.state, known.last_heard) = (MemberState::Suspect, now);
                suspected.push(name.clone());
            }
        }
        suspected
            .into_iter()
            .for_each(|name| self.queue_gossip(name));
        if let Some(candidate) = self.candidates.get_mut(&address) {
            let pause = INITIAL_BACKOFF * (1 << candidate.tries.min(16));
            candidate.not_before = now + pause.min(self.settings.forget_after());
            candidate.tries += 1;
        }
    }

    /// Takes the entry that a member sent of itself on a link; returns whether it may stay linked. An earlier
    /// incarnation of a member that is known in a later one may not: it was replaced.
    pub fn accept_peer(&mut self, now: Instant, member: &Member) -> bool {
        if member.name == self.own.name {
            return false;
        }
        let later = |known: &KnownMember| known.member.incarnation > member.incarnation;
        if self.members.get(&member.name).is_some_and(later) {
            return false;
        }
        self.candidates.remove(&member.address);
        self.mark_replaced(now, member);
        self.apply(now, member, true);
        if self.unconfirmed.remove(&member.name) {
            self.queue_gossip(member.name.clone());
        }
        true
    }

    /// Records a heartbeat of a member that is linked.
    pub fn record_heartbeat(&mut self, now: Instant, name: &VmName, beat: u32) {
        let Some(known) = self.members.get_mut(name) else {
            return;
        };
        known.last_heard = now;
        known.linked = true;
        let suspected = matches!(known.member.state, MemberState::Suspect | MemberState::Gone);
        if beat > known.member.beat {
            known.member.beat = beat;
            if suspected {
                known.member.state = MemberState::Live;
                self.queue_gossip(name.clone());
            }
        }
    }

    /// Records that the link with a member ended.
    pub fn record_unlinked(&mut self, name: &VmName) {
        if let Some(known) = self.members.get_mut(name) {
            known.linked = false;
        }
    }

    /// Takes a gossip entry that a peer passes on.
    pub fn apply_gossip(&mut self, now: Instant, member: &Member) {
        if member.name == self.own.name {
            // Another VM suspects this one: the next heartbeat of this incarnation ends that everywhere.
            if member.incarnation == self.own.incarnation && member.state != self.own.state {
                self.queue_gossip(self.own.name.clone());
            }
            return;
        }
        if member.state == MemberState::Live {
            self.candidates.remove(&member.address);
        }
        self.apply(now, member, false);
    }

    /// Takes a peer's whole list. Its entries are not passed on as gossip: the VMs that have them told the others long
    /// ago.
    pub fn merge_list(&mut self, now: Instant, list: &[Member]) {
        let queued = self.gossip.clone();
        list.iter()
            .for_each(|member| self.apply_gossip(now, member));
        self.gossip = queued;
    }

    /// Takes a peer's whole list where the views have differed for long.
    ///
    /// A member that the peer has forgotten is missing from the list, as is one that it has not heard of yet. Where
    /// this VM has no link with the member either, it tries to link with it and then tells the others the result. To
    /// suspect the member without a try would be wrong half of the time, and no entry of the same heartbeat could
    /// revert it.
    pub fn reconcile_list(&mut self, now: Instant, list: &[Member]) {
        self.merge_list(now, list);
        let listed: HashSet<&VmName> = list.iter().map(|member| &member.name).collect();
        for (name, known) in &self.members {
            let unknown_to_peer = !known.linked && !listed.contains(name);
            if unknown_to_peer && known.member.state == MemberState::Live {
                self.unconfirmed.insert(name.clone());
            }
        }
    }

    /// Suspects and drops members that have been silent; returns whether the view changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        let paused = self.was_paused(now);
        let mut changed = Vec::new();
        let settings = &self.settings;
        let monitored: Vec<VmName> = self
            .neighbours(now)
            .into_iter()
            .filter_map(|n| n.name)
            .collect();
        for (name, known) in &mut self.members {
            if paused {
                known.last_heard = now;
                continue;
            }
            let silent = now.saturating_duration_since(known.last_heard);
            let state = known.member.state;
            // Only a VM that should hear a member may suspect it; the others learn it by gossip. One that has just
            // become a neighbour gets the time to be heard.
            known.monitored_since = match monitored.contains(name) {
                true => Some(known.monitored_since.unwrap_or(now)),
                false => None,
            };
            let is_long = |since| now.saturating_duration_since(since) > settings.suspect_after();
            let monitors = known.linked || known.monitored_since.is_some_and(is_long);
            let next = match state {
                MemberState::Live if monitors && silent > settings.suspect_after() => {
                    MemberState::Suspect
                }
                MemberState::Suspect if silent > settings.gone_after() => MemberState::Gone,
                _ => continue,
            };
            known.member.state = next;
            known.linked = false;
            changed.push(name.clone());
        }
        for name in &changed {
            self.queue_gossip(name.clone());
        }
        let members = &self.members;
        self.unconfirmed.retain(|name| members.contains_key(name));
        let before = self.members.len();
        let forget = self.settings.forget_after();
        self.members.retain(|_, known| {
            let has_left = matches!(known.member.state, MemberState::Gone | MemberState::Leaving);
            !has_left || now.saturating_duration_since(known.last_heard) <= forget
        });
        !changed.is_empty() || before != self.members.len()
    }

    /// Returns the gossip for one heartbeat: the entries sent least often first, `most` at most.
    pub fn next_gossip(&mut self, most: usize) -> Vec<Member> {
        let mut entries = Vec::new();
        for _ in 0..most.min(self.gossip.len()) {
            let Some((name, left)) = self.gossip.pop_front() else {
                break;
            };
            entries.extend(self.member(&name).cloned());
            if left > 1 {
                self.gossip.push_back((name, left - 1));
            }
        }
        entries
    }

    /// Returns a digest of the view: equal on two VMs that count the same incarnations as live.
    pub fn digest(&self) -> u32 {
        let members = self.members.values();
        let live = members.filter(|known| known.member.state == MemberState::Live);
        let hashes = live.map(|known| known.hashes.incarnation);
        hashes.fold(self.own_hashes.incarnation, u64::wrapping_add) as u32
    }

    /// Takes a neighbour's digest; returns whether to read its whole list of members.
    ///
    /// Each entry is gossiped a bounded number of times, so some entries may miss a VM when many change at once. A
    /// difference that lasts is repaired by reading one neighbour's list, and not more often than once in the time
    /// after which a silent member counts as gone.
    pub fn needs_resync(&mut self, now: Instant, digest: u32) -> bool {
        let own = self.digest();
        if digest == own {
            // Another neighbour may still differ: this one may have missed the same entry.
            return false;
        }
        let since = match self.differs_since {
            Some((then, since)) if then == own => since,
            _ => now,
        };
        self.differs_since = Some((own, since));
        let lasts = now.saturating_duration_since(since) >= self.settings.suspect_after();
        let gone = self.settings.gone_after();
        let waited = |last: Instant| now.saturating_duration_since(last) >= gone;
        if !lasts || !self.last_pull.is_none_or(waited) {
            return false;
        }
        self.last_pull = Some(now);
        self.differs_since = None;
        true
    }

    /// Returns whether no gossip is left to send.
    pub fn is_gossip_empty(&self) -> bool {
        self.gossip.is_empty()
    }

    /// Returns every known member, this VM included, in the order of names.
    pub fn members(&self) -> Vec<Member> {
        let members = self.members.values().map(|known| known.member.clone());
        let mut members: Vec<Member> = members.chain([self.own.clone()]).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }

    /// Marks a member as gone at whose address another, new VM answers.
    fn mark_replaced(&mut self, now: Instant, member: &Member) {
        let mut replaced = Vec::new();
        for known in self.members.values_mut() {
            let old = &mut known.member;
            let same_place = old.address == member.address && old.name != member.name;
            if same_place && old.state != MemberState::Gone {
                (old.state, known.last_heard, known.linked) = (MemberState::Gone, now, false);
                replaced.push(old.name.clone());
            }
        }
        replaced
            .into_iter()
            .for_each(|name| self.queue_gossip(name));
    }

    fn apply(&mut self, now: Instant, member: &Member, linked: bool) {
        match self.members.get_mut(&member.name) {
            None => {
                // Gossip of an unknown member that is gone already needs no entry.
                if !linked && member.state == MemberState::Gone {
                    return;
                }
                let known = KnownMember {
                    member: member.clone(),
                    last_heard: now,
                    linked,
                    monitored_since: None,
                    hashes: Hashes::new(&self.own.name, member),
                };
                self.members.insert(member.name.clone(), known);
            }
            Some(known) => {
                known.linked |= linked;
                if linked {
                    known.last_heard = now;
                }
                if known.member.precedence() >= member.precedence() {
                    return;
                }
                // A suspicion does not extend the time after which a member counts as gone.
                if member.state == MemberState::Live || member.state == MemberState::Leaving {
                    known.last_heard = now;
                }
                let quiet = known.member.state == member.state
                    && known.member.incarnation == member.incarnation;
                if known.member.incarnation != member.incarnation {
                    known.hashes = Hashes::new(&self.own.name, member);
                }
                known.member = member.clone();
                if quiet {
                    return;
                }
            }
        }
        self.queue_gossip(member.name.clone());
    }

    /// Queues a member's entry as gossip: it is sent a number of times that grows with the logarithm of the fleet,
    /// enough for it to reach every VM with high probability.
    fn queue_gossip(&mut self, name: VmName) {
        self.gossip.retain(|(known, _)| *known != name);
        let log2 = usize::BITS - (self.members.len() + 1).leading_zeros();
        self.gossip.push_front((name, log2 + 2));
    }

    fn member(&self, name: &VmName) -> Option<&Member> {
        match *name == self.own.name {
            true => Some(&self.own),
            false => self.members.get(name).map(|known| &known.member),
        }
    }

    /// Returns whether this process was paused: it would take everyone's silence for failure, while the silence is its
    /// own.
    fn was_paused(&mut self, now: Instant) -> bool {
        let last = self.last_tick.replace(now);
        let pause = self.settings.heartbeat_interval() * 2;
        last.is_some_and(|last| now.saturating_duration_since(last) > pause)
    }
}
