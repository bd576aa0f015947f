//! Where work goes.

use std::time::Instant;

use crate::manifest::Service;
use crate::settings::selection::{SelectionPolicy, SelectionSettings};
use crate::world::backend_server::CallReport;
use crate::world::ids::AvailabilityZone;

/// Which backend server gets the next call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The backend server with this index.
    Send(usize),
    /// All that take work are full: the call waits.
    Full,
    /// None takes work.
    NoneLeft,
}

/// What one VM knows of the backend servers of one service.
#[derive(Debug)]
pub struct Selection {
    settings: SelectionSettings,
    servers: Vec<Server>,
    /// Where `round_robin` goes on.
    next: usize,
}

#[derive(Debug)]
struct Server {
    in_flight: u32,
    slots: u32,
}

impl Selection {
    /// Builds the view of a VM that has not called any backend server yet.
    pub fn new(service: &Service, _own_zone: &AvailabilityZone) -> Self {
        let servers = service.backend_servers.iter().map(|s| Server {
            in_flight: 0,
            slots: s.slots,
        });
        Self {
            settings: service.policy.selection.clone(),
            servers: servers.collect(),
            next: 0,
        }
    }

    /// Chooses a backend server that `takes_work` for the next call.
    pub fn choose(
        &mut self,
        _now: Instant,
        rng: &mut fastrand::Rng,
        takes_work: impl Fn(usize) -> bool,
    ) -> Choice {
        let usable: Vec<usize> = (0..self.servers.len()).filter(|&i| takes_work(i)).collect();
        if usable.is_empty() {
            return Choice::NoneLeft;
        }
        match self.settings.policy {
            SelectionPolicy::Random => Choice::Send(usable[rng.usize(0..usable.len())]),
            SelectionPolicy::RoundRobin => {
                self.next = self.next.wrapping_add(1);
                Choice::Send(usable[self.next % usable.len()])
            }
            SelectionPolicy::LeastInFlight => self.least_in_flight(&usable, rng),
            SelectionPolicy::Adaptive => self.adaptive(&usable, rng),
        }
    }

    fn least_in_flight(&self, usable: &[usize], rng: &mut fastrand::Rng) -> Choice {
        let least = usable.iter().map(|&i| self.servers[i].in_flight).min();
        let has_least = |&&i: &&usize| Some(self.servers[i].in_flight) == least;
        let count = usable.iter().filter(has_least).count();
        let nth = rng.usize(0..count);
        let chosen = usable.iter().filter(has_least).nth(nth);
        chosen.map_or(Choice::NoneLeft, |&i| Choice::Send(i))
    }

    fn adaptive(&self, usable: &[usize], rng: &mut fastrand::Rng) -> Choice {
        let has_room = |&i: &usize| self.servers[i].in_flight < self.servers[i].slots;
        if !usable.iter().any(has_room) {
            return Choice::Full;
        }
        self.least_in_flight(usable, rng)
    }

    /// Takes over what an earlier manifest's view knows; `old_of` gives the earlier index of each
    /// backend server, `None` for one that is new.
    pub fn take_over(&mut self, old: &Self, old_of: &[Option<usize>]) {
        for (server, old_index) in self.servers.iter_mut().zip(old_of) {
            if let Some(index) = old_index {
                server.in_flight = old.servers[*index].in_flight;
            }
        }
    }

    /// Returns how many calls of this VM are in flight to a backend server.
    pub fn in_flight(&self, server: usize) -> u32 {
        self.servers[server].in_flight
    }

    /// Notes that a call was handed over.
    pub fn sent(&mut self, _now: Instant, server: usize) {
        self.servers[server].in_flight += 1;
    }

    /// Notes how a call ended.
    pub fn ended(&mut self, _now: Instant, server: usize, _report: &CallReport) {
        self.servers[server].in_flight -= 1;
    }
}
