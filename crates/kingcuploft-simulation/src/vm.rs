//! One entry VM: runs the product's own code from its start to its end, any number of times.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll, Waker};
use std::time::Duration;

use kingcuploft_entry::context::Context;
use kingcuploft_entry::edge::connection;
use kingcuploft_entry::peers::{feeder, load_reports};
use kingcuploft_entry::run;
use kingcuploft_entry::settings::{Bounds, EntrySettings};
use kingcuploft_entry::store::Collection;
use kingcuploft_entry::store_access::StoreAccess;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, LocalSet};

use crate::day::ServerCut;
use crate::deployment::Deployment;
use crate::header_names::HEADER_NAMES;
use crate::history::{History, VmIndex};
use crate::log;
use crate::network::{Host, Location, Network};
use crate::server::Server;
use crate::store::TestStore;
use crate::store_client::StoreClient;

/// The memory of a VM.
const MEMORY_BYTES: usize = 260_000_000;

/// How often backend servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Returns the port of a VM.
fn port(index: VmIndex) -> u16 {
    1000 + index as u16
}

/// Returns the address at which other VMs reach a VM.
fn peer_address(index: VmIndex) -> SocketAddr {
    ([127, 0, 1, 1], port(index)).into()
}

/// Whether a process is frozen, and the waker that resumes it.
#[derive(Debug, Default)]
struct Freeze {
    is_frozen: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Freeze {
    fn set(&self, is_frozen: bool) {
        self.is_frozen.set(is_frozen);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// A VM's process: it is not polled while it is frozen, and its log lines carry the VM's name.
struct FreezableProcess {
    vm: VmIndex,
    freeze: Rc<Freeze>,
    running: Pin<Box<dyn Future<Output = ()>>>,
}

impl Future for FreezableProcess {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, task_context: &mut TaskContext<'_>) -> Poll<()> {
        if self.freeze.is_frozen.get() {
            *self.freeze.waker.borrow_mut() = Some(task_context.waker().clone());
            return Poll::Pending;
        }
        let _scope = log::enter_vm(self.vm);
        self.running.as_mut().poll(task_context)
    }
}

/// The parts of a VM that exist while it runs.
#[derive(Debug)]
struct RunningVm {
    host: Host,
    freeze: Rc<Freeze>,
    context: Rc<Context>,
    stop: Rc<Notify>,
    process: AbortHandle,
}

/// One entry VM.
#[derive(Debug)]
pub struct Vm {
    /// The index.
    pub index: VmIndex,
    /// The index of the zone.
    pub zone: usize,
    /// The address at which callers reach the VM.
    pub caller_address: SocketAddr,
    peer_address: SocketAddr,
    network: Network,
    store: TestStore,
    bounds: Bounds,
    cpu_milli: u32,
    seeds: Vec<SocketAddr>,
    history: Rc<History>,
    starts: Cell<u32>,
    running: RefCell<Option<RunningVm>>,
}

impl Vm {
    /// Returns a VM that is not running yet.
    pub fn new(
        index: VmIndex,
        zone: usize,
        deployment: &Deployment,
        network: &Network,
        store: &TestStore,
        history: &Rc<History>,
    ) -> Self {
        Self {
            index,
            zone,
            caller_address: ([127, 0, 0, 1], port(index)).into(),
            peer_address: peer_address(index),
            network: network.clone(),
            store: TestStore::separate_client(store),
            bounds: Bounds {
                quotas: deployment.bounds.quotas(),
                stop_within: Duration::from_millis(deployment.bounds.stop_ms),
                repeats: deployment.bounds.repeats(),
                heartbeat: HEARTBEAT,
                probes_per_server_s: deployment.bounds.probes_per_s,
            },
            cpu_milli: 200 + (index % 3) as u32 * 100,
            seeds: deployment.seeds().map(peer_address).collect(),
            history: history.clone(),
            starts: Cell::new(0),
            running: RefCell::default(),
        }
    }

    /// Starts the VM without any previous knowledge; `all_start` tells it whether the whole fleet starts.
    pub fn start(&self, all_start: bool) {
        self.starts.set(self.starts.get() + 1);
        let host = self
            .network
            .host(Location::Zone(self.zone), Some(self.index));
        let (connections, mut callers) = mpsc::unbounded_channel();
        host.listen(self.caller_address, connections);
        let (connections, mut peers) = mpsc::unbounded_channel();
        let (datagram_sender, mut datagrams) = mpsc::unbounded_channel();
        host.listen_to_peers(self.peer_address, connections, datagram_sender);
        let network = Rc::new(host.clone());
        let context =
            Context::with_network(network.clone(), self.settings(all_start), HEADER_NAMES);
        let context = Rc::new(context);
        let _ = context.peer_socket.set(network);
        let (freeze, stop) = (Rc::new(Freeze::default()), Rc::new(Notify::new()));
        let store = StoreClient::new(
            self.store.clone(),
            host.clone(),
            self.index,
            self.history.clone(),
        );
        let store = Rc::new(store);
        let (process_context, stop_request, dial) = (context.clone(), stop.clone(), host.clone());
        let address = self.peer_address;
        let main = async move {
            let context = process_context;
            tracing::info!(event = "started", vm = %context.settings.vm, zone = %context.settings.zone);
            let store_access = Rc::new(StoreAccess::default());
            run::join_peers(&context, &store, &store_access, address, dial);
            let is_closed = Rc::new(Cell::new(false));
            let stopping_as_planned = async {
                stop_request.notified().await;
                run::stop(&context, || is_closed.set(true)).await;
            };
            let serving = async {
                loop {
                    tokio::select! {
                        biased;
                        Some((end, _)) = callers.recv(), if !is_closed.get() => {
                            tokio::task::spawn_local(connection::serve(context.clone(), end));
                        }
                        Some((end, _)) = peers.recv() => {
                            let (context, store_access) = (context.clone(), store_access.clone());
                            tokio::task::spawn_local(async move {
                                let _ = feeder::handle_connection(&context, &store_access, end).await;
                            });
                        }
                        Some((message, from)) = datagrams.recv() => load_reports::handle_message(&context, &message, from),
                        else => return,
                    }
                }
            };
            tokio::select! {
                biased;
                () = serving => {}
                () = stopping_as_planned => {}
            }
        };
        let tasks = LocalSet::new();
        let process = FreezableProcess {
            vm: self.index,
            freeze: freeze.clone(),
            running: Box::pin(async move { tasks.run_until(main).await }),
        };
        let process = tokio::task::spawn_local(process).abort_handle();
        *self.running.borrow_mut() = Some(RunningVm {
            host,
            freeze,
            context,
            stop,
            process,
        });
    }

    fn settings(&self, all_start: bool) -> EntrySettings {
        EntrySettings {
            vm: format!("vm-{}", self.index).into(),
            zone: format!("zone-{}", self.zone).into(),
            region: Vec::new(),
            caller_address: self.caller_address,
            readiness_address: self.caller_address,
            peer_address: Some(self.peer_address),
            spare_peer_ports: Vec::new(),
            control_address: (!self.seeds.is_empty()).then_some(self.peer_address),
            seeds: self.seeds.clone(),
            store_address: self.caller_address,
            cpu_milli: self.cpu_milli,
            memory_bytes: MEMORY_BYTES,
            max_descriptors: 4_100,
            is_first_start: all_start,
            metrics_address: None,
            bounds: self.bounds,
        }
    }

    /// Kills the process: its state is lost and its connections close.
    pub fn kill(&self) {
        self.network.stop_listening(self.caller_address);
        self.network.stop_listening(self.peer_address);
        if let Some(running) = self.running.borrow_mut().take() {
            running.process.abort();
        }
    }

    /// Takes the power away: the process ends and its connections fall silent without closing.
    pub fn lose_power(&self) {
        if let Some(running) = self.running.borrow_mut().take() {
            running.host.lose_power();
            running.process.abort();
        }
    }

    /// Freezes the process, or lets it go on.
    pub fn freeze(&self, is_frozen: bool) {
        if let Some(running) = &*self.running.borrow() {
            running.freeze.set(is_frozen);
        }
    }

    /// Cuts the VM off from other VMs and the store, or ends the cut.
    pub fn cut_off(&self, is_cut: bool) {
        if let Some(running) = &*self.running.borrow() {
            running.host.cut_off(is_cut);
        }
    }

    /// Has the store turn the VM away, or serve it again.
    pub fn turn_away_at_store(&self, is_turned_away: bool) {
        self.store.1.set(is_turned_away);
    }

    /// Cuts the VM off from a server, or ends the cut.
    pub fn cut_from_server(&self, server: &Server, cut: Option<ServerCut>) {
        if let Some(running) = &*self.running.borrow() {
            running.host.cut_from_server(server.address, cut);
        }
    }

    /// Asks the VM to stop as planned.
    pub fn stop(&self) {
        if let Some(running) = &*self.running.borrow() {
            running.stop.notify_one();
        }
    }

    /// Returns whether the process exists, frozen or not.
    pub fn is_running(&self) -> bool {
        let running = self.running.borrow();
        running
            .as_ref()
            .is_some_and(|running| !running.process.is_finished())
    }

    /// Returns how often the VM has been started.
    pub fn starts(&self) -> u32 {
        self.starts.get()
    }

    /// Returns whether the process runs, is not frozen or stopping, and reaches the other VMs.
    pub fn is_in_contact(&self) -> bool {
        let running = self.running.borrow();
        let in_contact = |running: &RunningVm| {
            !running.freeze.is_frozen.get()
                && !running.context.shutdown.is_stopping()
                && !running.host.is_cut_off()
        };
        running
            .as_ref()
            .is_some_and(|running| !running.process.is_finished() && in_contact(running))
    }

    /// Returns whether the store lists the zone records, which name the other VMs, for this one.
    pub fn lists_zones(&self) -> bool {
        self.store.lists_whole(Collection::Zones)
    }

    /// Returns whether the store lists the zone records and, at least in part, all that this VM needs to serve.
    pub fn lists_what_it_needs(&self) -> bool {
        let needed = [
            Collection::Configuration,
            Collection::BackendServers,
            Collection::Evacuations,
        ];
        self.lists_zones() && needed.into_iter().all(|of| self.store.begins_list(of))
    }

    /// Returns how many VMs this one counts in the fleet; `None` if it is not running.
    pub fn known_vms(&self) -> Option<usize> {
        let running = self.running.borrow();
        running
            .as_ref()
            .map(|running| running.context.vm_count.get().divisor())
    }

    /// Returns whether the VM answers that it is ready.
    pub fn is_ready(&self) -> bool {
        let running = self.running.borrow();
        let ready =
            |running: &RunningVm| !running.freeze.is_frozen.get() && running.context.is_ready();
        running
            .as_ref()
            .is_some_and(|running| !running.process.is_finished() && ready(running))
    }
}
