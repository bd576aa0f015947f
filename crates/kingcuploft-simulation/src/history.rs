//! The history of a day: what callers, servers and the operator observed. The rules check nothing else.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use kingcuploft::world::contract::Contract;
use tokio::time::Instant;

/// The index of a kind of requests.
pub type KindIndex = usize;

/// The index of an entry VM.
pub type VmIndex = usize;

/// A request as its caller sent it; each attempt is a request of its own.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id.
    pub id: u64,
    /// The kind.
    pub kind: KindIndex,
    /// When it was sent.
    pub at: Duration,
    /// The VM that it was sent to.
    pub vm: VmIndex,
    /// The workspace of its caller, if callers need keys.
    pub workspace: Option<usize>,
    /// The generation of the key that it bears.
    pub key_generation: u64,
    /// Whether it is the caller's first attempt.
    pub is_first: bool,
    /// Whether it crashes the server that runs it.
    pub is_deadly: bool,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server's complete answer to this request.
    Complete,
    /// Another answer with a success status.
    Wrong,
    /// A refusal with the statement that the request has not run.
    NotRun,
    /// A refusal as the caller's key is not known.
    Unauthorized,
    /// Another failure.
    Failed,
    /// No answer: the connection ended, or nothing came in time.
    None,
}

/// The end of a request as its caller saw it.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    /// The request's id.
    pub id: u64,
    /// When it ended.
    pub at: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// A request as it reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's id.
    pub id: u64,
    /// The kind.
    pub kind: KindIndex,
    /// When it arrived.
    pub at: Duration,
    /// The index of the server.
    pub server: usize,
    /// The VM that sent it.
    pub vm: VmIndex,
    /// Whether the server began to work on it.
    pub ran: Cell<bool>,
    /// Whether it crashes the server that runs it.
    pub is_deadly: bool,
}

/// A write that the store accepted and that VMs must act on in time.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptedWrite {
    /// A server leaves: its entry says that it drains, or is removed.
    ServerLeaving {
        /// The index of the server.
        server: usize,
    },
    /// A configuration.
    Configuration {
        /// Its version.
        version: u64,
    },
    /// All quotas are lowered to a share of what they were at first.
    QuotasLowered {
        /// The share.
        share: f64,
    },
    /// The keys of all earlier generations are taken away.
    KeysTaken {
        /// The generation that is in force.
        generation: u64,
    },
    /// A zone is evacuated.
    ZoneEvacuated {
        /// The index of the zone.
        zone: usize,
    },
    /// The evacuation of a zone ends.
    ZoneReinstated {
        /// The index of the zone.
        zone: usize,
    },
}

/// What is known of a server over the day.
#[derive(Clone, Debug)]
pub struct ServerHistory {
    /// The name of its service.
    pub service: String,
    /// The index of its zone.
    pub zone: usize,
    /// The beginning and end of the time in which it is cold.
    pub cold: Option<(Duration, Duration)>,
    /// How many requests a second it can take while it is cold.
    pub cold_per_s: f64,
    /// The limits that it names: requests per second, from when, until when, and when a VM first got an answer that names
    /// it.
    pub limits: Vec<NamedLimit>,
}

/// An answer, passed on to its caller, in which a server says that it leaves.
#[derive(Clone, Copy, Debug)]
pub struct LeavingAnswer {
    /// The VM that passed it on.
    pub vm: VmIndex,
    /// The index of the server.
    pub server: usize,
    /// When the caller got it.
    pub at: Duration,
}

/// A refusal in which a server asks a VM for a pause.
#[derive(Clone, Copy, Debug)]
pub struct RequestedPause {
    /// The VM.
    pub vm: VmIndex,
    /// The index of the server.
    pub server: usize,
    /// When the server refused the request.
    pub at: Duration,
    /// For how long it wants nothing from the VM.
    pub pause: Duration,
}

/// A limit that a server names in its answers.
#[derive(Clone, Copy, Debug)]
pub struct NamedLimit {
    /// The requests per second that it takes.
    pub per_s: f64,
    /// When it begins to name the limit.
    pub from: Duration,
    /// When it stops.
    pub until: Duration,
    /// When the first answer that names the limit reached a VM, if any did.
    pub told_at: Option<Duration>,
}

/// Why a VM's operation was disturbed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisturbanceCause {
    /// A planned stop, or the start after it.
    PlannedStop,
    /// The VM was cut off; its process ran on.
    CutOff,
    /// The process ended or did not run for a while.
    Fault,
}

/// A moment at which a VM's operation was disturbed.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// The VM.
    pub vm: VmIndex,
    /// When.
    pub at: Duration,
    /// Why.
    pub cause: DisturbanceCause,
}

/// A start of a VM during the day, as checks of its readiness saw it.
#[derive(Clone, Copy, Debug)]
pub struct VmStart {
    /// The VM.
    pub vm: VmIndex,
    /// When its process started.
    pub at: Duration,
    /// How long after that it was ready; `None` if it was not as long as it ran.
    pub ready_after: Option<Duration>,
    /// The longest time for which it was not ready while it could reach the same ready VM.
    pub waited: Duration,
    /// That VM, if there was one.
    pub informed: Option<VmIndex>,
    /// The longest time for which it was not ready while the store listed to it what it needs, at least in part.
    pub waited_for_store: Duration,
}

/// A time in which VMs were cut off from servers.
#[derive(Clone, Debug)]
pub struct CutFromServers {
    /// The VMs.
    pub vms: Vec<VmIndex>,
    /// The service whose servers they lost; all services if none is named.
    pub service: Option<String>,
    /// When it began.
    pub from: Duration,
    /// When it ended.
    pub until: Duration,
}

/// All observations of a day.
#[derive(Debug)]
pub struct History {
    started_at: Cell<Instant>,
    /// The requests, as their callers sent them.
    pub requests: RefCell<Vec<Request>>,
    /// How the requests ended for their callers.
    pub completions: RefCell<Vec<Completion>>,
    /// The requests that reached servers.
    pub arrivals: RefCell<Vec<Arrival>>,
    /// The writes that the store accepted, and when.
    pub accepted_writes: RefCell<Vec<(Duration, AcceptedWrite)>>,
    /// The servers, by index.
    pub servers: RefCell<Vec<ServerHistory>>,
    /// When the operation of VMs was disturbed.
    pub vm_disturbances: RefCell<Vec<Disturbance>>,
    /// The periods in which the store was silent or lacked writes after a restore.
    pub store_disturbances: RefCell<Vec<(Duration, Duration)>>,
    /// When planned stops of VMs began.
    pub planned_stops: RefCell<Vec<(VmIndex, Duration)>>,
    /// The checks for a version's route, in order of time: the VM, the version, when, and whether the VM had the route.
    pub version_checks: RefCell<Vec<(VmIndex, u64, Duration, bool)>>,
    /// When VMs were sent requests that check for a version's route; these go to the first service.
    pub version_check_times: RefCell<Vec<Duration>>,
    /// The answers in which servers said that they leave.
    pub leaving_answers: RefCell<Vec<LeavingAnswer>>,
    /// The refusals in which servers asked for a pause.
    pub requested_pauses: RefCell<Vec<RequestedPause>>,
    /// The times in which VMs were cut off from servers.
    pub cuts_from_servers: RefCell<Vec<CutFromServers>>,
    /// The starts of VMs during the day.
    pub vm_starts: RefCell<Vec<VmStart>>,
    /// The calls of the store: the VM, and when.
    pub store_calls: RefCell<Vec<(VmIndex, Duration)>>,
    /// When the day ended.
    pub ended_at: Cell<Duration>,
    /// How many probes all servers got.
    pub probes: Cell<u64>,
    /// The sum of the times for which the servers were running, in seconds.
    pub server_seconds: Cell<f64>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            started_at: Cell::new(Instant::now()),
            requests: RefCell::default(),
            completions: RefCell::default(),
            arrivals: RefCell::default(),
            accepted_writes: RefCell::default(),
            servers: RefCell::default(),
            vm_disturbances: RefCell::default(),
            store_disturbances: RefCell::default(),
            planned_stops: RefCell::default(),
            version_checks: RefCell::default(),
            version_check_times: RefCell::default(),
            leaving_answers: RefCell::default(),
            requested_pauses: RefCell::default(),
            cuts_from_servers: RefCell::default(),
            vm_starts: RefCell::default(),
            store_calls: RefCell::default(),
            ended_at: Cell::default(),
            probes: Cell::new(0),
            server_seconds: Cell::new(0.0),
        }
    }
}

impl History {
    /// Starts the clock of the history at zero.
    pub fn start_clock(&self) {
        self.started_at.set(Instant::now());
        self.store_calls.borrow_mut().clear();
    }

    /// Returns the time on the history's clock; zero before its start.
    pub fn now(&self) -> Duration {
        Instant::now().saturating_duration_since(self.started_at.get())
    }

    /// Records a write that the store accepted.
    pub fn record_write(&self, write: AcceptedWrite) {
        self.accepted_writes.borrow_mut().push((self.now(), write));
    }

    /// Records the limit that a server names from now on, or that it names none.
    pub fn record_named_limit(&self, server: usize, per_s: Option<f64>) {
        let now = self.now();
        let mut servers = self.servers.borrow_mut();
        let limits = &mut servers[server].limits;
        if let Some(last) = limits.last_mut() {
            last.until = now.min(last.until);
        }
        limits.extend(per_s.map(|per_s| NamedLimit {
            per_s,
            from: now,
            until: Duration::MAX,
            told_at: None,
        }));
    }

    /// Records that an answer that names a server's limit has reached a VM.
    pub fn record_limit_told(&self, server: usize) {
        let now = self.now();
        let mut servers = self.servers.borrow_mut();
        if let Some(last) = servers[server].limits.last_mut() {
            last.told_at.get_or_insert(now);
        }
    }

    /// Returns when the store last accepted a configuration during the day; the first one precedes the day.
    pub fn last_configuration_change(&self) -> Option<Duration> {
        let writes = self.accepted_writes.borrow();
        let of_day = writes.iter().filter(|(_, write)| match write {
            AcceptedWrite::Configuration { version } => *version > 1,
            _ => false,
        });
        of_day.map(|(at, _)| *at).next_back()
    }

    /// Records a call of the store by a VM.
    pub fn record_store_call(&self, vm: VmIndex) {
        self.store_calls.borrow_mut().push((vm, self.now()));
    }

    /// Records that a VM's operation is disturbed now.
    pub fn record_disturbance(&self, vm: VmIndex, cause: DisturbanceCause) {
        let at = self.now();
        let mut disturbances = self.vm_disturbances.borrow_mut();
        disturbances.push(Disturbance { vm, at, cause });
    }

    /// Returns whether a VM's operation was disturbed between two moments for one of these reasons.
    pub fn was_disturbed_by(
        &self,
        vm: VmIndex,
        since: Duration,
        until: Duration,
        causes: &[DisturbanceCause],
    ) -> bool {
        let disturbances = self.vm_disturbances.borrow();
        let mut of_vm = disturbances.iter().filter(|other| other.vm == vm);
        of_vm.any(|other| other.at >= since && other.at <= until && causes.contains(&other.cause))
    }

    /// Returns whether neither the VM nor the store was disturbed in the given period before a moment.
    pub fn was_undisturbed(&self, vm: VmIndex, at: Duration, period: Duration) -> bool {
        let since = at.saturating_sub(period);
        let of_vm = self.vm_disturbances.borrow();
        let is_vm_undisturbed = !of_vm
            .iter()
            .any(|other| other.vm == vm && other.at >= since && other.at <= at);
        let of_store = self.store_disturbances.borrow();
        is_vm_undisturbed
            && !of_store
                .iter()
                .any(|(from, to)| *from <= at && *to >= since)
    }
}

/// Returns whether requests with this contract may run more than once.
pub fn is_idempotent(contract: Contract) -> bool {
    contract == Contract::RetryFreely
}
