//! Runs a day: starts the fleet, the servers and the store, applies the disruptions, generates the callers' requests
//! and records the history that the rules check.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use kingcuploft_entry::http::client::Connection;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;

use crate::balancer::Balancer;
use crate::caller::{Caller, CallerKey};
use crate::day::Day;
use crate::deployment::Deployment;
use crate::disruptions;
use crate::history::{History, ServerHistory};
use crate::log;
use crate::network::{Host, Location, Network};
use crate::operator::{self, Operator, version_route_name};
use crate::server::Server;
use crate::server_cuts::ServerCuts;
use crate::server_disruptions;
use crate::store::TestStore;
use crate::vm::Vm;

/// How long VMs run before the first request.
const WARM_UP: Duration = Duration::from_secs(6);

/// The share of the callers that go on with a key that was taken away.
const OLD_KEY_SHARE: f64 = 0.2;

/// How long the day goes on after the last request.
const WIND_DOWN: Duration = Duration::from_secs(5);

/// How many distinct callers each zone has.
const CALLERS_PER_ZONE: u64 = 48;

/// For how long after a configuration change the VMs are checked for the new version.
const VERSION_CHECKS_FOR: Duration = Duration::from_secs(6);

/// How often each VM is checked during that time.
const VERSION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long one check may take.
const VERSION_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Why a day can't be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The day names a deployment that does not exist.
    #[error("there is no deployment {0}")]
    Deployment(String),
    /// The asynchronous runtime could not be built.
    #[error("the asynchronous runtime can't be built: {0}")]
    Timers(#[from] std::io::Error),
}

/// The result of a day.
#[derive(Debug)]
pub struct DayResult {
    /// The deployment that was simulated.
    pub deployment: Rc<Deployment>,
    /// What callers, servers and the operator observed.
    pub history: Rc<History>,
    /// How many VMs each VM counts in the fleet at the end; `None` for a VM that is not running.
    pub known_vms: Vec<Option<usize>>,
    /// The log lines of all VMs.
    pub lines: Vec<u8>,
}

/// The state of a running simulation.
pub struct Simulation {
    /// The deployment that is simulated.
    pub deployment: Rc<Deployment>,
    /// What callers, servers and the operator observe.
    pub history: Rc<History>,
    /// The store.
    pub store: TestStore,
    /// The operator.
    pub operator: Operator,
    /// The entry VMs, by index.
    pub vms: Vec<Rc<Vm>>,
    /// All servers that were ever started, by index; stopped ones stay in the list.
    pub servers: RefCell<Vec<Rc<Server>>>,
    /// The cuts between VMs and servers that are in force.
    pub server_cuts: ServerCuts,
    /// The request rate as a multiple of the deployment's usual rate.
    pub load_factor: Cell<f64>,
    /// The requests of the first workspace as a multiple of its usual ones.
    pub workspace_factor: Cell<f64>,
    /// The share of the requests of the first kind that crash the server that runs them.
    pub deadly_share: Cell<f64>,
    crash_sender: UnboundedSender<usize>,
    crash_receiver: RefCell<UnboundedReceiver<usize>>,
    network: Network,
    balancer: Balancer,
    callers: Rc<Host>,
}

/// Runs a day and collects the log lines of its VMs.
///
/// # Errors
///
/// Returns an error if the deployment is unknown or the runtime can't be built.
pub fn run(day: &Day) -> Result<DayResult, RunError> {
    let (result, lines) = log::capture(|| run_unlogged(day));
    Ok(DayResult { lines, ..result? })
}

/// Runs a day without collecting the log lines of its VMs.
///
/// # Errors
///
/// Returns an error if the deployment is unknown or the runtime can't be built.
pub fn run_unlogged(day: &Day) -> Result<DayResult, RunError> {
    let unknown = || RunError::Deployment(day.deployment.clone());
    let deployment = Rc::new(day.deployment().ok_or_else(unknown)?);
    fastrand::seed(day.seed);
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build()?;
    let tasks = tokio::task::LocalSet::new();
    let (history, known_vms) = tasks.block_on(&runtime, async {
        let simulation = Rc::new(Simulation::new(deployment.clone()));
        simulation.run(day).await;
        let known_vms = simulation.vms.iter().map(|vm| vm.known_vms());
        (simulation.history.clone(), known_vms.collect())
    });
    Ok(DayResult {
        deployment,
        history,
        known_vms,
        lines: Vec::new(),
    })
}

impl Simulation {
    fn new(deployment: Rc<Deployment>) -> Self {
        let (network, store) = (Network::default(), TestStore::default());
        let (crash_sender, crash_receiver) = mpsc::unbounded_channel();
        let history = Rc::new(History::default());
        let zones = deployment.zones.iter().enumerate();
        let zones = zones.flat_map(|(zone, vms)| std::iter::repeat_n(zone, *vms));
        let vms = zones.enumerate().map(|(index, zone)| {
            let vm = Vm::new(index, zone, &deployment, &network, &store, &history);
            Rc::new(vm)
        });
        let vms: Vec<_> = vms.collect();
        Self {
            operator: Operator::new(deployment.clone(), store.clone(), history.clone()),
            balancer: Balancer::new(vms.clone()),
            callers: Rc::new(network.host(Location::External, None)),
            servers: RefCell::default(),
            server_cuts: ServerCuts::default(),
            load_factor: Cell::new(1.0),
            workspace_factor: Cell::new(1.0),
            deadly_share: Cell::new(0.0),
            crash_sender,
            crash_receiver: RefCell::new(crash_receiver),
            deployment,
            history,
            store,
            vms,
            network,
        }
    }

    async fn run(self: &Rc<Self>, day: &Day) {
        log::start_clock();
        let services = self.deployment.services.clone();
        for service in &services {
            for at in 0..service.servers {
                self.start_server(&service.name, at % self.deployment.zones.len(), false);
            }
        }
        self.operator.write_next_configuration();
        for vm in &self.vms {
            vm.start(true);
        }
        let simulation = self.clone();
        tokio::task::spawn_local(async move { simulation.balancer.run().await });
        tokio::time::sleep(WARM_UP).await;
        log::start_clock();
        self.history.start_clock();
        for disruption in &day.disruptions {
            let (simulation, disruption) = (self.clone(), disruption.clone());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(disruption.at()).await;
                disruptions::apply(&simulation, &disruption).await;
            });
        }
        let simulation = self.clone();
        let crashing =
            tokio::task::spawn_local(async move { simulation.crash_reported_servers().await });
        let simulation = self.clone();
        let checking = tokio::task::spawn_local(async move { simulation.check_versions().await });
        self.generate_load(Duration::from_millis(day.length_ms))
            .await;
        tokio::time::sleep(WIND_DOWN).await;
        self.history.ended_at.set(self.history.now());
        checking.abort();
        crashing.abort();
    }

    /// Crashes each server that reports that it got a deadly request.
    async fn crash_reported_servers(self: &Rc<Self>) {
        loop {
            let next =
                std::future::poll_fn(|polling| self.crash_receiver.borrow_mut().poll_recv(polling));
            let Some(index) = next.await else {
                return;
            };
            let server = self.servers.borrow()[index].clone();
            if !server.has_stopped.get() {
                let simulation = self.clone();
                tokio::task::spawn_local(async move {
                    server_disruptions::crash_servers(&simulation, &[server]).await
                });
            }
        }
    }

    /// Starts a server and registers it with the store; returns `None` if the service is unknown.
    pub fn start_server(&self, service: &str, zone: usize, is_cold: bool) -> Option<Rc<Server>> {
        let service = self.deployment.service(service)?;
        let index = self.servers.borrow().len();
        let kinds = Rc::new(self.deployment.kinds.clone());
        let host = self.network.host(Location::Zone(zone), None);
        let server = Server::start(
            &host,
            index,
            service,
            zone,
            kinds,
            self.history.clone(),
            self.crash_sender.clone(),
        );
        let duration = Duration::from_millis(service.cold_ms);
        let cold = (is_cold && service.cold_per_s > 0.0).then(|| {
            server.cold_until.set(Some(Instant::now() + duration));
            (self.history.now(), self.history.now() + duration)
        });
        self.history.servers.borrow_mut().push(ServerHistory {
            service: service.name.clone(),
            zone,
            cold,
            cold_per_s: service.cold_per_s,
            limits: Vec::new(),
        });
        self.servers.borrow_mut().push(server.clone());
        let new = std::slice::from_ref(&server);
        self.server_cuts.apply(&self.vms, new);
        self.operator.write_server(&server);
        Some(server)
    }

    /// Sets the paths of VMs to all servers as the cuts in force say.
    pub fn apply_server_cuts(&self, vms: &[Rc<Vm>]) {
        self.server_cuts.apply(vms, &self.servers.borrow());
    }

    /// Stops a server and closes its listening address.
    pub fn stop_server(&self, server: &Server) {
        server.stop();
        self.network.stop_listening(server.address);
    }

    async fn generate_load(self: &Rc<Self>, duration: Duration) {
        let kinds = self.deployment.kinds.clone();
        let per_s: f64 = kinds.iter().map(|kind| kind.per_s).sum();
        while self.history.now() < duration {
            let factor = self.load_factor.get() * self.workspaces_factor();
            let pause_s = -(1.0 - fastrand::f64()).ln() / (per_s * factor);
            tokio::time::sleep(Duration::from_secs_f64(pause_s)).await;
            let mut drawn = fastrand::f64() * per_s;
            let kind = kinds.iter().position(|kind| {
                drawn -= kind.per_s;
                drawn <= 0.0
            });
            let kind = kind.unwrap_or(0);
            let caller = Caller {
                host: self.callers.clone(),
                history: self.history.clone(),
                kind,
                request_kind: kinds[kind].clone(),
                is_deadly: kind == 0 && fastrand::f64() < self.deadly_share.get(),
                key: self.draw_key(),
            };
            let zone = fastrand::usize(0..self.deployment.zones.len());
            let (simulation, caller_index) = (self.clone(), fastrand::u64(0..CALLERS_PER_ZONE));
            tokio::task::spawn_local(async move {
                let vm_for = |attempt| {
                    simulation
                        .balancer
                        .vm_for(zone, caller_index * 7 + 3, attempt)
                };
                caller.send(vm_for).await;
            });
            let running = self.servers.borrow();
            let running = running
                .iter()
                .filter(|server| !server.has_stopped.get())
                .count();
            let server_s = self.history.server_seconds.get() + pause_s * running as f64;
            self.history.server_seconds.set(server_s);
        }
    }

    /// Returns how much more requests there are as the first workspace sends a multiple of its usual ones.
    fn workspaces_factor(&self) -> f64 {
        let Some(first) = self.deployment.workspaces.first() else {
            return 1.0;
        };
        let weights = self.deployment.workspaces.iter().map(|of| of.weight);
        let share = first.weight / weights.sum::<f64>();
        1.0 + share * (self.workspace_factor.get() - 1.0)
    }

    /// Draws the workspace of a caller and the key that it bears, which may be of the generation before.
    fn draw_key(&self) -> Option<CallerKey> {
        let workspaces = &self.deployment.workspaces;
        let weight = |at: usize| match at {
            0 => workspaces[0].weight * self.workspace_factor.get(),
            at => workspaces[at].weight,
        };
        if workspaces.is_empty() {
            return None;
        }
        let mut drawn = fastrand::f64() * (0..workspaces.len()).map(weight).sum::<f64>();
        let workspace = (0..workspaces.len()).position(|at| {
            drawn -= weight(at);
            drawn <= 0.0
        });
        let workspace = workspace.unwrap_or(0);
        let newest = self.operator.key_generation();
        let is_old = fastrand::f64() < OLD_KEY_SHARE;
        let generation = newest - u64::from(is_old && newest > 0);
        Some(CallerKey {
            workspace,
            generation,
            key: operator::key(&workspaces[workspace].name, generation),
        })
    }

    /// Asks each running VM for the newest version's route at intervals, for a while after each configuration change.
    async fn check_versions(self: &Rc<Self>) {
        loop {
            tokio::time::sleep(VERSION_CHECK_INTERVAL).await;
            let version = self.operator.version();
            let changed_at = self.history.last_configuration_change();
            if changed_at.is_none_or(|at| self.history.now() > at + VERSION_CHECKS_FOR) {
                continue;
            }
            for vm in self.vms.iter().filter(|vm| vm.is_running()) {
                let (simulation, vm) = (self.clone(), vm.clone());
                tokio::task::spawn_local(async move {
                    let at = simulation.history.now();
                    let checked = tokio::time::timeout(
                        VERSION_CHECK_TIMEOUT,
                        simulation.has_version(&vm, version),
                    );
                    if let Ok(Some(has_route)) = checked.await {
                        let mut checks = simulation.history.version_checks.borrow_mut();
                        checks.push((vm.index, version, at, has_route));
                    }
                });
            }
        }
    }

    /// Returns whether a VM has the route that a version adds; `None` if its answer does not show it.
    async fn has_version(&self, vm: &Vm, version: u64) -> Option<bool> {
        let opening = Connection::open(&*self.callers, vm.caller_address);
        let mut connection = opening.await.ok()?;
        let path = version_route_name(version);
        let request = format!("GET /{path}/ HTTP/1.1\r\nHost: a.example\r\nx-id: look\r\n\r\n");
        self.history
            .version_check_times
            .borrow_mut()
            .push(self.history.now());
        connection.send(request.as_bytes()).await.ok()?;
        let response = connection.receive("GET", 1 << 16).await.ok()?;
        match response.head.status {
            404 => Some(false),
            200 => Some(true),
            _ => None,
        }
    }
}
