//! The state that all tasks of one entry VM share, built once and passed by reference.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::entry::account_replicas::AccountReplicas;
use kingcuploft::entry::backend_servers::BackendServers;
use kingcuploft::entry::caller_timeouts::CallerTimeouts;
use kingcuploft::entry::configuration::{Configuration, Destination, Route, WeightedSelector};
use kingcuploft::entry::evacuations::Evacuations;
use kingcuploft::entry::good_share::GoodShare;
use kingcuploft::entry::informants::Informants;
use kingcuploft::entry::last_slot_slowdown::LastSlotSlowdown;
use kingcuploft::entry::log_rate_limiter::LogRateLimiter;
use kingcuploft::entry::placement::Slot;
use kingcuploft::entry::probe_budget::ProbeBudget;
use kingcuploft::entry::probe_latency::ProbeLatency;
use kingcuploft::entry::quarantine::Quarantine;
use kingcuploft::entry::readers::Readers;
use kingcuploft::entry::repeat_budget::RepeatBudget;
use kingcuploft::entry::server_limits::ServerLimits;
use kingcuploft::entry::server_pauses::ServerPauses;
use kingcuploft::entry::service_time::ServiceTime;
use kingcuploft::entry::start::{Known, Start, StartEvent};
use kingcuploft::entry::store_contact::StoreContact;
use kingcuploft::entry::vm_count::VmCount;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::planted::{self, PlantedFault};
use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::{RuleName, ServiceName, VmName};
use tokio::sync::Notify;

use crate::active_configuration::ActiveConfiguration;
use crate::clock;
use crate::edge::caller_limit::CallerLimit;
use crate::edge::idle_callers::IdleCallers;
use crate::edge::memory_account::MemoryAccount;
use crate::http::answer_account::AnswerAccount;
use crate::metrics::Metrics;
use crate::network::{Network, Tcp};
use crate::notice_writes::NoticeWriteQueue;
use crate::peers::followers::Followers;
use crate::peers::peer_socket::PeerSender;
use crate::peers::pending_turns::PendingTurns;
use crate::quotas::Quotas;
use crate::reach::Reach;
use crate::rewinds::Rewinds;
use crate::settings::{Bounds, EntrySettings, WireNames};
use crate::shutdown::Shutdown;
use crate::store::{Collection, Revision};
use crate::usable_servers::UsableServers;

/// A VM that this one has asked to feed it, and what came of it.
#[derive(Debug)]
pub struct FeedRequest {
    /// The VM.
    pub vm: VmName,
    /// What it has answered, or how the link to it ended.
    pub answer: &'static str,
}

/// The shared state of one entry VM.
#[derive(Debug)]
pub struct Context {
    /// The VM's settings.
    pub settings: EntrySettings,
    /// The names of headers and paths.
    pub wire_names: WireNames,
    /// How connections to backend servers are opened.
    pub network: Rc<dyn Network>,
    /// Wakes tasks that wait for load reports.
    pub load_report_received: Notify,
    /// The graceful shutdown of the VM.
    pub shutdown: Shutdown,
    /// The VM's metrics.
    pub metrics: Metrics,
    /// The settings that may change while the VM runs.
    pub bounds: Cell<Bounds>,
    /// How many VMs share the budgets of probes and repeats.
    pub vm_count: Cell<VmCount>,
    /// The VMs of all zones, by the zone records.
    pub readers: RefCell<Readers>,
    /// The datagram socket to the other VMs.
    pub peer_socket: OnceCell<Rc<dyn PeerSender>>,
    /// What other VMs have used of the repeat budget, stored for them in case they restart.
    pub account_replicas: RefCell<AccountReplicas>,
    /// Wakes the task that sends this VM's usage of the repeat budget to other VMs.
    pub repeat_taken: Notify,
    /// The addresses of the other VMs of the zone.
    pub zone_peers: RefCell<Vec<SocketAddr>>,
    /// The configuration in force.
    pub active_configuration: ActiveConfiguration,
    /// The VMs that follow this one.
    pub followers: Followers,
    /// The memory for request bodies.
    pub body_memory: MemoryAccount,
    /// The memory for long heads in receipt.
    pub head_memory: MemoryAccount,
    /// The memory for requests without their bodies, and the tasks that serve them.
    pub request_memory: MemoryAccount,
    /// The memory for answers of servers.
    pub answer_memory: AnswerAccount,
    /// The requests during which servers have crashed.
    pub quarantine: RefCell<Quarantine>,
    /// Whether this VM has contact with the store, itself or through the VM that it follows.
    pub store_contact: Cell<StoreContact>,
    /// The store's era, and its latest rewind.
    pub rewinds: Rewinds,
    /// The evacuated availability zones, whose servers get no work.
    pub evacuations: RefCell<Evacuations>,
    /// The rate limits that servers announce.
    pub limits: RefCell<ServerLimits>,
    /// The servers that want nothing from this VM for a while.
    pub pauses: RefCell<ServerPauses>,
    /// Which services this VM reaches, and which other VMs do.
    pub reach: Reach,
    /// The quotas of workspaces.
    pub quotas: Quotas,
    /// The turns at rate-limited servers that this VM has requested from others.
    pub pending_turns: PendingTurns,
    /// The queue of notices that wait to be written to the store.
    pub notice_writes: NoticeWriteQueue,
    /// The start of the process, which has its settings and its event loop.
    pub(crate) start: RefCell<Start>,
    /// The bound on connections of callers.
    pub caller_limit: CallerLimit,
    /// How many connections to servers are open.
    pub server_connections: Rc<Cell<usize>>,
    /// The connections of callers that have no request.
    pub idle_callers: IdleCallers,
    /// How many connections of callers are open.
    pub caller_connections: Cell<usize>,
    /// How many requests were read and have no answer yet.
    pub unanswered_requests: Cell<usize>,
    positions: RefCell<HashMap<Collection, Revision>>,
    /// The collections of which entries may be missing, as the store's list of them could not be read to its end.
    pub(crate) incomplete: RefCell<BTreeSet<Collection>>,
    /// The VMs that this one asks while it lacks something.
    pub informants: RefCell<Informants>,
    /// Wakes tasks that wait until this VM knows a later revision of the store.
    pub position_advanced: Notify,
    /// Wakes the task that sends the configuration to the feeder, which knows an older one.
    pub feeder_outdated: Notify,
    /// Wakes the task that tells the feeder that a follower knows a later revision of the store.
    pub follower_ahead: Notify,
    /// The VMs through which this one learns of the store, beginning with the one that reads it; empty if this VM reads
    /// it itself.
    pub feed_path: RefCell<Vec<VmName>>,
    /// Whether the VM that reads the store for this one reaches it.
    pub reader_has_store: Cell<bool>,
    /// Whether a VM has promised to send this one a complete snapshot.
    pub feed_promised: Cell<bool>,
    /// Whether a VM is sending this one a complete snapshot.
    pub snapshot_begun: Cell<bool>,
    /// The VM that this one has last asked to feed it.
    pub last_feed_request: RefCell<Option<FeedRequest>>,
    /// The VM that this one follows.
    pub feeder: RefCell<Option<VmEntry>>,
    /// When the VM started.
    pub started_at: Instant,
    pub(crate) servers: RefCell<BackendServers>,
    pub(crate) servers_listed: Cell<bool>,
    pub(crate) upstreams: RefCell<UsableServers>,
    selectors: RefCell<HashMap<RuleName, WeightedSelector>>,
    service_times: RefCell<HashMap<(RuleName, ServiceName), ServiceTime>>,
    last_slot_slowdowns: RefCell<HashMap<ServiceName, LastSlotSlowdown>>,
    pub(crate) repeat_budget: RefCell<RepeatBudget>,
    caller_timeouts: RefCell<HashMap<RuleName, CallerTimeouts>>,
    pub(crate) probe_budget: RefCell<ProbeBudget>,
    /// How long answers to probes of near servers take.
    pub(crate) near_probe_latency: Cell<ProbeLatency>,
    pub(crate) good_shares: RefCell<HashMap<ServiceName, GoodShare>>,
    pub(crate) log_rate_limiter: RefCell<LogRateLimiter>,
}

impl Context {
    /// Creates the context of a VM that knows nothing yet, with TCP connections to backend servers.
    pub fn new(settings: EntrySettings, wire_names: WireNames) -> Self {
        Self::with_network(Rc::new(Tcp), settings, wire_names)
    }

    /// Creates the context of a VM that reaches backend servers through `network`.
    pub fn with_network(
        network: Rc<dyn Network>,
        settings: EntrySettings,
        wire_names: WireNames,
    ) -> Self {
        let is_first = settings.is_first_start || settings.peer_address.is_none();
        let is_first = is_first || planted::is_on(PlantedFault::ForgetsRepeats);
        let repeats = match is_first {
            true => RepeatBudget::for_first_start(),
            false => RepeatBudget::after_restart(clock::now(), &settings.bounds.repeats),
        };
        let vm_count = match settings.peer_address {
            Some(_) => VmCount::Uncounted,
            None => VmCount::Counted(1),
        };
        Self {
            vm_count: Cell::new(vm_count),
            bounds: Cell::new(settings.bounds),
            body_memory: MemoryAccount::of_bodies(settings.memory_bytes),
            head_memory: MemoryAccount::of_heads(settings.memory_bytes),
            request_memory: MemoryAccount::of_requests(settings.memory_bytes),
            answer_memory: AnswerAccount::new(settings.memory_bytes),
            caller_limit: CallerLimit::new(settings.max_descriptors),
            settings,
            wire_names,
            network,
            load_report_received: Notify::new(),
            shutdown: Shutdown::default(),
            metrics: Metrics::default(),
            readers: RefCell::default(),
            peer_socket: OnceCell::new(),
            account_replicas: RefCell::default(),
            repeat_taken: Notify::new(),
            zone_peers: RefCell::default(),
            followers: Followers::default(),
            positions: RefCell::default(),
            incomplete: RefCell::default(),
            informants: RefCell::default(),
            feeder: RefCell::default(),
            last_feed_request: RefCell::default(),
            position_advanced: Notify::new(),
            feeder_outdated: Notify::new(),
            follower_ahead: Notify::new(),
            feed_path: RefCell::default(),
            reader_has_store: Cell::new(true),
            feed_promised: Cell::new(false),
            snapshot_begun: Cell::new(false),
            quarantine: RefCell::default(),
            store_contact: Cell::default(),
            rewinds: Rewinds::default(),
            evacuations: RefCell::default(),
            limits: RefCell::new(ServerLimits::started_at(clock::now())),
            pauses: RefCell::default(),
            reach: Reach::default(),
            quotas: Quotas::new(clock::now()),
            pending_turns: PendingTurns::default(),
            notice_writes: NoticeWriteQueue::default(),
            start: RefCell::new(Start::at_running()),
            server_connections: Rc::default(),
            idle_callers: IdleCallers::default(),
            caller_connections: Cell::new(0),
            unanswered_requests: Cell::new(0),
            started_at: clock::now(),
            active_configuration: ActiveConfiguration::default(),
            servers: RefCell::default(),
            servers_listed: Cell::new(false),
            upstreams: RefCell::default(),
            selectors: RefCell::default(),
            service_times: RefCell::default(),
            last_slot_slowdowns: RefCell::default(),
            repeat_budget: RefCell::new(repeats),
            caller_timeouts: RefCell::default(),
            probe_budget: RefCell::new(ProbeBudget::new(clock::now())),
            near_probe_latency: Cell::default(),
            good_shares: RefCell::default(),
            log_rate_limiter: RefCell::default(),
        }
    }

    /// Returns the configuration in force, if one is known.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.active_configuration.current()
    }

    /// Returns whether the VM can serve: it knows a configuration, the servers and the evacuated zones, has the ports that
    /// it needs, and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.missing_to_serve().next().is_none()
    }

    /// Returns what the VM lacks to serve, for those who ask whether it is ready.
    pub fn missing_to_serve(&self) -> impl Iterator<Item = &'static str> {
        let known = Known {
            configuration: self.active_configuration.version().is_some(),
            servers: self.servers_listed.get(),
            evacuated_zones: self.position(Collection::Evacuations).is_some(),
        };
        let start = self.start.borrow();
        let missing: Vec<_> = start.missing_to_serve(known).collect();
        missing.into_iter()
    }

    /// Records what has happened to the start, or the end, of the process.
    pub(crate) fn apply_to_start(&self, event: StartEvent) {
        self.start.borrow_mut().apply(event);
    }

    /// Begins the graceful shutdown; the process exits at `ends_at` at the latest.
    pub fn begin_shutdown(&self, ends_at: Instant) {
        self.shutdown.begin(ends_at);
        self.apply_to_start(StartEvent::Terminated);
    }

    /// Records that the graceful shutdown is over.
    pub(crate) fn end_shutdown(&self) {
        self.shutdown.end();
        self.apply_to_start(StartEvent::Stopped);
    }

    /// Calls `operation` with the table of backend servers and returns its result.
    pub fn with_servers<T>(&self, operation: impl FnOnce(&mut BackendServers) -> T) -> T {
        operation(&mut self.servers.borrow_mut())
    }

    /// Returns the revision up to which a collection of the store is known.
    pub fn position(&self, collection: Collection) -> Option<Revision> {
        self.positions.borrow().get(&collection).copied()
    }

    /// Records the revision up to which a collection of the store is known.
    pub fn set_position(&self, collection: Collection, revision: Revision) {
        let mut positions = self.positions.borrow_mut();
        positions.insert(collection, revision);
        drop(positions);
        self.position_advanced.notify_waiters();
    }

    /// Records that all servers in the store have been listed once.
    pub fn set_servers_listed(&self) {
        self.servers_listed.set(true);
    }

    /// Returns the destination of the next request of a route, by the weights of its destinations.
    pub fn next_destination(&self, route: &Route) -> Option<Destination> {
        let mut selectors = self.selectors.borrow_mut();
        let selector = selectors
            .entry(route.name.clone())
            .or_insert_with(|| WeightedSelector::new(fastrand::f64()));
        selector.select(&route.destinations).cloned()
    }

    /// Returns the estimated service time of a route at a service, in milliseconds, on a server of normal speed.
    pub fn work_ms(&self, route: &Route, service: &ServiceName) -> f64 {
        let times = self.service_times.borrow();
        let time = times.get(&(route.name.clone(), service.clone()));
        time.copied().unwrap_or_default().work_ms(route.target)
    }

    /// Returns the factor by which work takes longer on a server of a service when it takes the server's last free
    /// slot.
    pub fn last_slot_factor(&self, service: &ServiceName) -> f64 {
        let last_slot_slowdowns = self.last_slot_slowdowns.borrow();
        last_slot_slowdowns
            .get(service)
            .copied()
            .unwrap_or_default()
            .factor()
    }

    /// Records the latency of an answer, with the slowness that the server had reported and the slot that the request
    /// took.
    pub fn record_service_time(
        &self,
        route: &Route,
        service: &ServiceName,
        took: Duration,
        slowness: f64,
        slot: Slot,
    ) {
        let mut times = self.service_times.borrow_mut();
        let mut last_slot_slowdowns = self.last_slot_slowdowns.borrow_mut();
        let time = times.entry((route.name.clone(), service.clone()));
        let slowdown = last_slot_slowdowns.entry(service.clone()).or_default();
        time.or_default().record(took, slowness, slot, slowdown);
    }

    /// Records how long a caller of a route will wait; returns how long it has waited already, at earlier attempts.
    pub fn waited_before(&self, route: &Route, caller_timeout: Duration) -> Duration {
        let mut all = self.caller_timeouts.borrow_mut();
        all.entry(route.name.clone())
            .or_default()
            .record(caller_timeout)
    }
}
