//! What callers, servers and the operator have seen of a day. The rules judge by nothing else.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use kingcuploft::world::contract::Contract;
use tokio::time::Instant;

/// Numbers the kinds of requests.
pub type KindIndex = usize;

/// Numbers the entry VMs.
pub type VmIndex = usize;

/// A request, as its caller sent it: each attempt is one.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: u64,
    /// Its kind.
    pub kind: KindIndex,
    /// When it was sent.
    pub at: Duration,
    /// The VM that it was sent to.
    pub vm: VmIndex,
    /// Whether it is the caller's first attempt.
    pub is_first: bool,
    /// Whether servers end under it.
    pub is_deadly: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server's whole answer to this request.
    Complete,
    /// Something else that claims success.
    Wrong,
    /// Refused: it has not run.
    NotRun,
    /// Another failure.
    Failed,
    /// The connection ended, or nothing came.
    None,
}

/// The end of a request.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// The request's id.
    pub id: u64,
    /// When.
    pub at: Duration,
    /// How.
    pub answer: Outcome,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: u64,
    /// Its kind.
    pub kind: KindIndex,
    /// When.
    pub at: Duration,
    /// The server, by its number.
    pub server: usize,
    /// The VM that sent it.
    pub vm: VmIndex,
    /// Whether the server began to work on it.
    pub ran: Cell<bool>,
    /// Whether servers end under it.
    pub is_deadly: bool,
}

/// Something that the store has taken, which VMs have to follow in time.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptedWrite {
    /// A server leaves.
    ServerDraining {
        /// Its number.
        server: usize,
    },
    /// A configuration.
    Configuration {
        /// Its version.
        version: u64,
    },
    /// A zone is evacuated.
    ZoneEvacuated {
        /// Its number.
        zone: usize,
    },
    /// A zone is taken back.
    ZoneReinstated {
        /// Its number.
        zone: usize,
    },
}

/// Where a server is, and when it is cold.
#[derive(Clone, Debug)]
pub struct ServerHistory {
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: usize,
    /// From when until when it is cold.
    pub cold: Option<(Duration, Duration)>,
    /// How many requests a second it bears then.
    pub cold_per_s: f64,
    /// How many requests a second it named as its limit, from when until when.
    pub limits: Vec<(f64, Duration, Duration)>,
}

/// What disturbs a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisturbanceCause {
    /// A planned stop, and the start after it.
    PlannedStop,
    /// Anything else.
    Fault,
}

/// A VM that is disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// The VM.
    pub vm: VmIndex,
    /// When.
    pub at: Duration,
    /// By what.
    pub cause: DisturbanceCause,
}

/// All that was seen.
#[derive(Debug)]
pub struct History {
    started_at: Cell<Instant>,
    /// The requests.
    pub requests: RefCell<Vec<Request>>,
    /// Their ends.
    pub answers: RefCell<Vec<Completion>>,
    /// What reached servers.
    pub arrivals: RefCell<Vec<Arrival>>,
    /// What the store has taken, and when.
    pub accepted_writes: RefCell<Vec<(Duration, AcceptedWrite)>>,
    /// The servers.
    pub servers: RefCell<Vec<ServerHistory>>,
    /// When VMs were disturbed.
    pub vm_disturbances: RefCell<Vec<Disturbance>>,
    /// From when until when the store was.
    pub store_disturbances: RefCell<Vec<(Duration, Duration)>>,
    /// When VMs were stopped as planned.
    pub planned_stops: RefCell<Vec<(VmIndex, Duration)>>,
    /// Versions that VMs were seen to serve by, in the order of time.
    pub version_checks: RefCell<Vec<(VmIndex, u64, Duration, bool)>>,
    /// When VMs were asked for a route that a version added, at the first service.
    pub version_check_times: RefCell<Vec<Duration>>,
    /// How many probes servers got, and how many seconds servers were there.
    pub probes: Cell<u64>,
    /// As `probes` says.
    pub server_seconds: Cell<f64>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            started_at: Cell::new(Instant::now()),
            requests: RefCell::default(),
            answers: RefCell::default(),
            arrivals: RefCell::default(),
            accepted_writes: RefCell::default(),
            servers: RefCell::default(),
            vm_disturbances: RefCell::default(),
            store_disturbances: RefCell::default(),
            planned_stops: RefCell::default(),
            version_checks: RefCell::default(),
            version_check_times: RefCell::default(),
            probes: Cell::new(0),
            server_seconds: Cell::new(0.0),
        }
    }
}

impl History {
    /// Counts time from now on.
    pub fn start_clock(&self) {
        self.started_at.set(Instant::now());
    }

    /// Returns the time since the begin; zero before it.
    pub fn now(&self) -> Duration {
        Instant::now().saturating_duration_since(self.started_at.get())
    }

    /// Takes note that the store has taken something.
    pub fn record_write(&self, what: AcceptedWrite) {
        self.accepted_writes.borrow_mut().push((self.now(), what));
    }

    /// Takes note of the limit that a server names from now on.
    pub fn record_named_limit(&self, server: usize, per_s: Option<f64>) {
        let now = self.now();
        let mut servers = self.servers.borrow_mut();
        let limits = &mut servers[server].limits;
        if let Some((_, _, until)) = limits.last_mut() {
            *until = now.min(*until);
        }
        limits.extend(per_s.map(|per_s| (per_s, now, Duration::MAX)));
    }

    /// Returns when the store has last taken a configuration of the day, if it has.
    pub fn last_configuration_change(&self) -> Option<Duration> {
        let accepted = self.accepted_writes.borrow();
        let of_day = accepted.iter().filter(|(_, what)| match what {
            AcceptedWrite::Configuration { version } => *version > 1,
            _ => false,
        });
        of_day.map(|(at, _)| *at).next_back()
    }

    /// Takes note that a VM is disturbed now.
    pub fn record_disturbance(&self, vm: VmIndex, cause: DisturbanceCause) {
        let at = self.now();
        let mut disturbed = self.vm_disturbances.borrow_mut();
        disturbed.push(Disturbance { vm, at, cause });
    }

    /// Returns whether neither a VM nor the store was disturbed for so long before a moment.
    pub fn was_undisturbed(&self, vm: VmIndex, at: Duration, contact: Duration) -> bool {
        let since = at.saturating_sub(contact);
        let of_vm = self.vm_disturbances.borrow();
        let vm_is_calm = !of_vm
            .iter()
            .any(|other| other.vm == vm && other.at >= since && other.at <= at);
        let of_store = self.store_disturbances.borrow();
        vm_is_calm
            && !of_store
                .iter()
                .any(|(from, to)| *from <= at && *to >= since)
    }
}

/// Returns whether requests of a contract may run more than once.
pub fn is_idempotent(contract: Contract) -> bool {
    contract == Contract::RetryFreely
}
