//! Where work goes.

use std::time::Instant;

use crate::manifest::Service;
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
    servers: Vec<Server>,
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
            servers: servers.collect(),
        }
    }

    /// Chooses a backend server that `takes_work` for the next call.
    pub fn choose(
        &mut self,
        _now: Instant,
        _rng: &mut fastrand::Rng,
        takes_work: impl Fn(usize) -> bool,
    ) -> Choice {
        let usable = || (0..self.servers.len()).filter(|&i| takes_work(i));
        if usable().next().is_none() {
            return Choice::NoneLeft;
        }
        let free = usable().filter(|&i| self.servers[i].in_flight < self.servers[i].slots);
        free.min_by_key(|&i| self.servers[i].in_flight)
            .map_or(Choice::Full, Choice::Send)
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
