//! Server selection: which backend server gets a call.
//!
//! Load pattern: load on small backend servers shifts within milliseconds, by other VMs' calls, long jobs and slow
//! spells, and every report of it is stale. Without this module, calls wait behind long jobs on one server while
//! another has a free slot: with random selection by chance, with the fewest own calls in flight because the other VMs'
//! calls are not seen.
//!
//! Each call goes to the server with the least estimated cost (`server_view`) among a bounded sample, so that a choice
//! costs the same among ten thousand servers as among sixteen. While every sampled server has its slots and the
//! allowance full, calls wait at the entry, where they can still go to whichever server has a free slot first.
//! `docs/decisions/0301-selection.md` gives the measurements behind the figures.

use std::time::{Duration, Instant};

use super::server_view::ServerView;
use crate::manifest::Service;
use crate::settings::selection::{SelectionPolicy, SelectionSettings};
use crate::world::backend_server::CallReport;
use crate::world::ids::AvailabilityZone;

/// The weight of one report in the typical load, which stands for the reports that are ignored.
const TYPICAL_WEIGHT: f64 = 0.01;
/// How soon calls that wait at the entry check the servers again, as estimates decay.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1);
/// The random cost that breaks ties between servers of equal cost, in ms.
const TIE_BREAK_MS: f64 = 0.01;

/// The result of a selection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The call goes to the backend server with this index.
    Send(usize),
    /// All servers that take work are full: the call waits.
    Full,
    /// No server takes work.
    NoneAvailable,
}

/// One VM's view of the backend servers of one service.
#[derive(Debug)]
pub struct Selection {
    settings: SelectionSettings,
    servers: Vec<ServerView>,
    /// The other VMs' calls per slot, averaged over all servers whose reports are trusted.
    typical_others: f64,
    /// The next index of the `round_robin` policy.
    next: usize,
    recheck_at: Option<Instant>,
}

impl Selection {
    /// Creates the view of a VM that has not called any backend server yet.
    pub fn new(service: &Service, own_zone: &AvailabilityZone) -> Self {
        let settings = service.policy.selection.clone();
        let distance = Duration::from_secs_f64(settings.zone_distance_ms / 1000.0);
        let servers = service.backend_servers.iter().map(|s| {
            let near = s.availability_zone == *own_zone;
            ServerView::new(s.slots, if near { Duration::ZERO } else { distance })
        });
        Self {
            servers: servers.collect(),
            settings,
            typical_others: 0.5,
            next: 0,
            recheck_at: None,
        }
    }

    /// Carries over the state known under an earlier manifest; `old_indexes` gives the earlier index of each backend
    /// server, `None` for one that is new.
    pub fn carry_over(&mut self, old: &Self, old_indexes: &[Option<usize>]) {
        self.typical_others = old.typical_others;
        for (server, old_index) in self.servers.iter_mut().zip(old_indexes) {
            if let Some(index) = old_index {
                let (slots, rtt) = (server.slots, server.rtt);
                server.clone_from(&old.servers[*index]);
                (server.slots, server.rtt) = (slots, rtt);
            }
        }
    }

    /// Selects a backend server that `takes_work` for the next call.
    pub fn choose(
        &mut self,
        now: Instant,
        rng: &mut fastrand::Rng,
        takes_work: impl Fn(usize) -> bool,
    ) -> Choice {
        let choice = match self.settings.policy {
            SelectionPolicy::Adaptive => self.least_cost(now, rng, takes_work),
            policy => self.baseline(policy, rng, takes_work),
        };
        self.recheck_at = (choice == Choice::Full).then(|| now + RECHECK_INTERVAL);
        choice
    }

    /// Returns when the calls that found every server full should check again.
    pub fn recheck_at(&self) -> Option<Instant> {
        self.recheck_at
    }

    /// Returns how many calls of this VM are in flight to a backend server.
    pub fn in_flight(&self, server: usize) -> u32 {
        self.servers[server].load.own_calls()
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, now: Instant, server: usize) {
        self.servers[server].record_sent(now);
    }

    /// Records how a call ended.
    pub fn record_end(&mut self, now: Instant, server: usize, report: &CallReport) {
        let view = &mut self.servers[server];
        view.record_end(now, report, &self.settings);
        if report.load.is_some() && !view.load.is_distrusted() {
            let others = view.load.mean_other_calls() / view.slots;
            self.typical_others += TYPICAL_WEIGHT * (others - self.typical_others);
        }
    }

    /// Records a load that a probe or a peer saw at a backend server.
    pub fn record_load(&mut self, now: Instant, server: usize, in_flight: u32) {
        if let Some(view) = self.servers.get_mut(server) {
            view.load.record_load(now, in_flight);
        }
    }

    /// Selects the server with the least estimated cost among those that are not full.
    fn least_cost(
        &self,
        now: Instant,
        rng: &mut fastrand::Rng,
        takes_work: impl Fn(usize) -> bool,
    ) -> Choice {
        let count = self.servers.len();
        let sample = self.settings.sample as usize;
        let mut best = BestCandidate::default();
        if count <= sample {
            let all = (0..count).filter(|&i| takes_work(i));
            all.for_each(|i| self.consider(now, i, rng, &mut best));
            return best.choice();
        }
        for _ in 0..sample {
            let i = rng.usize(0..count);
            if takes_work(i) {
                self.consider(now, i, rng, &mut best);
            }
        }
        if best.seen {
            return best.choice();
        }
        // Nearly no server takes work: a linear search finds the first that does. This is rare.
        let from = rng.usize(0..count);
        let search = (from..count).chain(0..from);
        let usable = search.into_iter().find(|&i| takes_work(i));
        usable.map_or(Choice::NoneAvailable, Choice::Send)
    }

    fn consider(&self, now: Instant, i: usize, rng: &mut fastrand::Rng, best: &mut BestCandidate) {
        best.seen = true;
        let server = &self.servers[i];
        let ageing = Duration::from_secs_f64(self.settings.ageing_ms / 1000.0);
        let typical = self.typical_others * server.slots;
        let total = server.load.total_calls(now, ageing, typical);
        let full_of_own = f64::from(server.load.own_calls()) >= server.slots;
        if full_of_own || total >= server.slots + self.settings.allowance {
            return;
        }
        let cost_ms = server.cost_ms(now, total, &self.settings) + rng.f64() * TIE_BREAK_MS;
        if best.server.is_none() || cost_ms < best.cost_ms {
            best.server = Some(i);
            best.cost_ms = cost_ms;
        }
    }

    /// Selects by one of the baseline policies that the adaptive one is compared with.
    fn baseline(
        &mut self,
        policy: SelectionPolicy,
        rng: &mut fastrand::Rng,
        takes_work: impl Fn(usize) -> bool,
    ) -> Choice {
        let usable: Vec<usize> = (0..self.servers.len()).filter(|&i| takes_work(i)).collect();
        if usable.is_empty() {
            return Choice::NoneAvailable;
        }
        match policy {
            SelectionPolicy::Random => Choice::Send(usable[rng.usize(0..usable.len())]),
            SelectionPolicy::RoundRobin => {
                self.next = self.next.wrapping_add(1);
                Choice::Send(usable[self.next % usable.len()])
            }
            SelectionPolicy::LeastInFlight | SelectionPolicy::Adaptive => {
                self.least_in_flight(&usable, rng)
            }
        }
    }

    fn least_in_flight(&self, usable: &[usize], rng: &mut fastrand::Rng) -> Choice {
        let least = usable.iter().map(|&i| self.in_flight(i)).min();
        let has_least = |&&i: &&usize| Some(self.in_flight(i)) == least;
        let count = usable.iter().filter(has_least).count();
        let chosen = usable.iter().filter(has_least).nth(rng.usize(0..count));
        chosen.map_or(Choice::NoneAvailable, |&i| Choice::Send(i))
    }
}

/// The best server of the sample so far.
#[derive(Debug, Default)]
struct BestCandidate {
    /// Whether the sample holds any server that takes work.
    seen: bool,
    server: Option<usize>,
    cost_ms: f64,
}

impl BestCandidate {
    fn choice(&self) -> Choice {
        match (self.seen, self.server) {
            (false, _) => Choice::NoneAvailable,
            (true, None) => Choice::Full,
            (true, Some(server)) => Choice::Send(server),
        }
    }
}
