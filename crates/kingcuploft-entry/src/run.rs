//! Starts one entry VM and shuts it down gracefully.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::start::{Port, StartEvent, may_open_spare};
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::planted::{self, PlantedFault};
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use crate::clock;
use crate::context::Context;
use crate::duty;
use crate::edge::{connection, readiness};
use crate::logs;
use crate::network::{Network, Tcp};
use crate::notices;
use crate::peers::dial::{self, Dial};
use crate::peers::feeder;
use crate::peers::load_reports;
use crate::peers::repeat_replication;
use crate::ports::{self, PeerPort};
use crate::process::signals::{Signal, Signals};
use crate::quotas;
use crate::settings::{Bounds, EntrySettings, WireNames};
use crate::store::{Collection, Store};
use crate::store_access::StoreAccess;
use crate::store_liveness;
use crate::store_sync;
use crate::store_watcher;

/// How long new connections are accepted after the shutdown began: the platform checks readiness every second, and
/// takes the VM out of rotation after two failed checks.
const ACCEPT_WHILE_STOPPING: Duration = Duration::from_millis(2600);

/// How long before the end of the allowed time the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// How long the process still writes answers after that moment: those of the VM itself to what is unanswered, and those that
/// were ready behind them.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// How often the settings file is read again: it may change without a signal.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// How soon it is read again if it can't be used: it may be being written.
const SETTINGS_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How often a stopping VM checks whether all connections are closed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A VM that runs.
#[derive(Debug)]
pub struct Running {
    /// The state that its tasks share.
    pub context: Rc<Context>,
    /// The address at which callers connect.
    pub caller_address: SocketAddr,
    /// The address of the platform's readiness check.
    pub readiness_address: SocketAddr,
    accepting: JoinHandle<()>,
    /// Why the settings could not be read again, since when they can't.
    reload_error: RefCell<Option<String>>,
}

/// Runs a VM, which reaches backend servers through `network`, until a signal stops it gracefully. Settings are read again
/// by `reread` at a hangup signal and every few seconds; changed bounds apply from then on.
pub async fn run<S: Store + 'static>(
    signals: &Signals,
    network: Rc<dyn Network>,
    settings: EntrySettings,
    wire_names: WireNames,
    store: S,
    reread: impl Fn() -> Result<EntrySettings, String>,
) {
    let mut watch = signals.watch();
    let running = start_with_network(network, settings, wire_names, store);
    let mut next_reload = SETTINGS_RELOAD_INTERVAL;
    loop {
        let signal = tokio::time::timeout(next_reload, watch.next()).await;
        signals.log_ignored();
        if signal == Ok(Signal::Terminate) {
            break;
        }
        logs::ensure_writer();
        next_reload = running.reload(&reread);
    }
    running.stop().await;
}

/// Starts a VM; its tasks run in the current `LocalSet`.
pub fn start<S: Store + 'static>(
    settings: EntrySettings,
    wire_names: WireNames,
    store: S,
) -> Running {
    start_with_network(Rc::new(Tcp), settings, wire_names, store)
}

/// Starts a VM that reaches backend servers through `network`; its tasks run in the current `LocalSet`. Ports that can't
/// be opened yet are waited for; the VM is not ready without those that it needs.
pub fn start_with_network<S: Store + 'static>(
    network: Rc<dyn Network>,
    settings: EntrySettings,
    wire_names: WireNames,
    store: S,
) -> Running {
    tracing::info!(event = "started", vm = %settings.vm, zone = %settings.zone);
    let context = Rc::new(Context::with_network(network, settings, wire_names));
    let settings = &context.settings;
    let wanted = settings.readiness_address;
    let (readiness_address, _) = open(&context, Port::Readiness, wanted, readiness::serve);
    if let Some(address) = settings.metrics_address {
        open(&context, Port::Metrics, address, readiness::serve);
    }
    start_sync(&context, store);
    let wanted = settings.caller_address;
    let (caller_address, accepting) = open(&context, Port::Callers, wanted, accept);
    Running {
        caller_address,
        readiness_address,
        accepting,
        reload_error: RefCell::default(),
        context,
    }
}

/// Opens a port and serves it in a task; returns its address, which is the wanted one while the port can't be opened.
fn open<F: Future<Output = ()> + 'static>(
    context: &Rc<Context>,
    port: Port,
    wanted: SocketAddr,
    serve: impl Fn(Rc<Context>, Rc<TcpListener>) -> F + 'static,
) -> (SocketAddr, JoinHandle<()>) {
    context.apply_to_start(StartEvent::PortWanted(port));
    let first = ports::listen(wanted);
    let address = first.as_ref().map_or(wanted, |bound| bound.address);
    let context = context.clone();
    let task = tokio::task::spawn_local(async move {
        let open = || ports::listen(wanted);
        let bound = ports::wait_for(&context, port, first, open).await;
        let listener = Rc::new(bound.listener);
        let begin = || serve(context.clone(), listener.clone());
        duty::run(context.clone(), port.label(), begin).await;
    });
    (address, task)
}

/// Starts what keeps this VM synchronized with the store, through other VMs if there may be any.
fn start_sync<S: Store + 'static>(context: &Rc<Context>, store: S) {
    let store = Rc::new(store);
    let store_access = Rc::new(StoreAccess::default());
    let Some(wanted) = context.settings.peer_address else {
        spawn_store_tasks(context, &store, &store_access);
        return;
    };
    if let Some(address) = context.settings.control_address {
        let access = store_access.clone();
        let serve = move |context, listener| feeder::serve(context, access.clone(), listener);
        open(context, Port::Control, address, serve);
    }
    match ports::listen_to_peers(wanted) {
        Ok(port) => join_through(context, &store, &store_access, port),
        failed => {
            let context = context.clone();
            let since = clock::now();
            context.apply_to_start(StartEvent::PortWanted(Port::Peers));
            tokio::task::spawn_local(async move {
                let spare = &context.settings.spare_peer_ports;
                let longest_stop = || context.bounds.get().stop_within;
                let may_open_spare = || may_open_spare(clock::since(since), longest_stop());
                let open = || ports::listen_to_peers_or_spare(wanted, spare, may_open_spare());
                let port = ports::wait_for(&context, Port::Peers, failed, open).await;
                join_through(&context, &store, &store_access, port);
            });
        }
    }
}

impl Running {
    /// Reads the settings again and applies those that may change while the VM runs; returns when to read them next.
    pub fn reload(&self, reread: &impl Fn() -> Result<EntrySettings, String>) -> Duration {
        let error = match reread() {
            Ok(settings) => {
                self.apply(settings.bounds);
                None
            }
            Err(error) => Some(error),
        };
        let before = self.reload_error.replace(error.clone());
        match error {
            Some(error) if before.as_ref() != Some(&error) => {
                tracing::warn!(event = "reload_failed", error);
                SETTINGS_RETRY_INTERVAL
            }
            Some(_) => SETTINGS_RETRY_INTERVAL,
            None => SETTINGS_RELOAD_INTERVAL,
        }
    }

    fn apply(&self, bounds: Bounds) {
        if self.context.bounds.replace(bounds) != bounds {
            tracing::info!(event = "reload", ?bounds);
        }
    }

    /// Shuts the VM down gracefully.
    pub async fn stop(self) {
        stop(&self.context, || self.accepting.abort()).await;
    }
}

/// Shuts the VM down gracefully. It reports not ready at once and accepts new connections while the platform may still
/// send them; then it closes idle connections and answers the requests that were read.
pub async fn stop(context: &Context, stop_accepting: impl FnOnce()) {
    let started_at = clock::now();
    let ends_at = started_at + context.bounds.get().stop_within.saturating_sub(EXIT_MARGIN);
    context.begin_shutdown(ends_at);
    tracing::info!(
        event = "stopping",
        callers = context.caller_connections.get()
    );
    if planted::is_on(PlantedFault::StopsAtOnce) {
        return;
    }
    tokio::time::sleep(ACCEPT_WHILE_STOPPING).await;
    stop_accepting();
    context.shutdown.close_connections();
    wait_for_callers(context, ends_at).await;
    context.shutdown.answer_all();
    wait_for_callers(context, ends_at + LAST_ANSWERS_TIME).await;
    context.end_shutdown();
    tracing::info!(
        event = "stopped",
        callers_left = context.caller_connections.get(),
        unanswered = context.unanswered_requests.get()
    );
}

/// Waits until all connections of callers are closed, but no longer than until `ends_at`.
async fn wait_for_callers(context: &Context, ends_at: Instant) {
    while context.caller_connections.get() > 0 && clock::now() < ends_at {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Starts the tasks that read the store, the task that writes this VM's notices to it, and the one that entrusts its share of
/// quotas to their keepers.
fn spawn_store_tasks<S: Store + 'static>(
    context: &Rc<Context>,
    store: &Rc<S>,
    store_access: &Rc<StoreAccess>,
) {
    let shared = || (context.clone(), store.clone(), store_access.clone());
    let (own, store, access) = shared();
    let begin = move || store_liveness::monitor(own.clone(), store.clone(), access.clone());
    duty::start(context, "probe the store", begin);
    let waiting = Rc::new(Mutex::new(context.notice_writes.open_queue()));
    let (own, store, access) = shared();
    let begin = move || {
        let (own, store, access) = (own.clone(), store.clone(), access.clone());
        notices::write_to_store(own, store, access, waiting.clone())
    };
    duty::start(context, "write notices", begin);
    let (own, _, access) = shared();
    let begin = move || notices::expire_outdated(own.clone(), access.clone());
    duty::start(context, "expire notices", begin);
    for collection in Collection::WATCHED {
        let (own, store, access) = shared();
        let begin = move || {
            let (own, store, access) = (own.clone(), store.clone(), access.clone());
            store_watcher::sync_collection(own, store, access, collection)
        };
        duty::start(context, "follow the store", begin);
    }
    let own = context.clone();
    let begin = move || store_watcher::run_expiry(own.clone());
    duty::start(context, "expire servers", begin);
    let own = context.clone();
    duty::start(context, "keep quotas", move || quotas::run(own.clone()));
}

/// Joins the other VMs, which reach this one at `address`, and reads the store when this VM is the reader of its zone;
/// its tasks run in the current `LocalSet`.
pub fn join_peers<S: Store + 'static, D: Dial + Clone + 'static>(
    context: &Rc<Context>,
    store: &Rc<S>,
    store_access: &Rc<StoreAccess>,
    address: SocketAddr,
    network: D,
) {
    // The other VMs are asked first; this VM reads the store only if none of them does.
    store_access.stop_reading();
    spawn_store_tasks(context, store, store_access);
    let own = VmEntry {
        name: context.settings.vm.clone(),
        zone: context.settings.zone.clone(),
        address,
        cpu_milli: context.settings.cpu_milli,
    };
    let (shared, access) = (context.clone(), store_access.clone());
    let begin = move || feeder::send_heartbeats(shared.clone(), access.clone());
    duty::start(context, "send heartbeats", begin);
    let shared = context.clone();
    let begin = move || repeat_replication::run(shared.clone());
    duty::start(context, "replicate repeats", begin);
    let (shared, store, access) = (context.clone(), store.clone(), store_access.clone());
    let begin = move || {
        let (shared, store, access) = (shared.clone(), store.clone(), access.clone());
        store_sync::run(shared, store, access, own.clone(), network.clone())
    };
    duty::start(context, "follow or read the store", begin);
}

/// Serves the port for other VMs, and joins them.
fn join_through<S: Store + 'static>(
    context: &Rc<Context>,
    store: &Rc<S>,
    store_access: &Rc<StoreAccess>,
    port: PeerPort,
) {
    let PeerPort { links, datagrams } = port;
    let socket = Rc::new(datagrams);
    let _ = context.peer_socket.set(socket.clone());
    let shared = context.clone();
    let begin = move || load_reports::receive(shared.clone(), socket.clone());
    duty::start(context, "receive datagrams", begin);
    let (shared, access) = (context.clone(), store_access.clone());
    let listener = Rc::new(links.listener);
    let begin = move || feeder::serve(shared.clone(), access.clone(), listener.clone());
    duty::start(context, Port::Peers.label(), begin);
    join_peers(context, store, store_access, links.address, dial::Tcp);
}

async fn accept(context: Rc<Context>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok(_) if !context.caller_limit.admits(&context) => {}
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(connection::serve(context.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}
