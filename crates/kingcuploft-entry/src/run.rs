//! Starts one entry VM and shuts it down gracefully.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::planted::{self, PlantedFault};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;

use crate::clock;
use crate::context::Context;
use crate::edge::{connection, readiness};
use crate::network::{Network, Tcp};
use crate::notices;
use crate::peers::dial::{self, Dial};
use crate::peers::feeder;
use crate::peers::load_reports;
use crate::peers::peer_socket::PeerSocket;
use crate::peers::repeat_replication;
use crate::process::signals::{Signal, Signals};
use crate::quotas;
use crate::settings::{Bounds, EntrySettings, WireNames};
use crate::store::{Collection, Store};
use crate::store_access::StoreAccess;
use crate::store_liveness;
use crate::store_sync;
use crate::store_watcher;

/// The most new connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

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

/// Why a VM could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be bound.
    #[error("can't listen on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
}

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
///
/// # Errors
///
/// Returns an error if the VM can't start.
pub async fn run<S: Store + 'static>(
    signals: &Signals,
    network: Rc<dyn Network>,
    settings: EntrySettings,
    wire_names: WireNames,
    store: S,
    reread: impl Fn() -> Result<EntrySettings, String>,
) -> Result<(), StartError> {
    let mut signals = signals.watch();
    let running = start_with_network(network, settings, wire_names, store).await?;
    let mut next_reload = SETTINGS_RELOAD_INTERVAL;
    loop {
        let signal = tokio::time::timeout(next_reload, signals.next()).await;
        if signal == Ok(Signal::Terminate) {
            break;
        }
        next_reload = running.reload(&reread);
    }
    running.stop().await;
    Ok(())
}

/// Starts a VM; its tasks run in the current `LocalSet`.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn start<S: Store + 'static>(
    settings: EntrySettings,
    wire_names: WireNames,
    store: S,
) -> Result<Running, StartError> {
    start_with_network(Rc::new(Tcp), settings, wire_names, store).await
}

/// Starts a VM that reaches backend servers through `network`; its tasks run in the current `LocalSet`.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn start_with_network<S: Store + 'static>(
    network: Rc<dyn Network>,
    settings: EntrySettings,
    wire_names: WireNames,
    store: S,
) -> Result<Running, StartError> {
    let callers = listen(settings.caller_address)?;
    let ready = listen(settings.readiness_address)?;
    let at = |listener: &TcpListener, requested| listener.local_addr().unwrap_or(requested);
    let addresses = (
        at(&callers, settings.caller_address),
        at(&ready, settings.readiness_address),
    );
    tracing::info!(event = "started", vm = %settings.vm, zone = %settings.zone);
    let context = Rc::new(Context::with_network(network, settings, wire_names));
    let store = Rc::new(store);
    let store_access = Rc::new(StoreAccess::default());
    tokio::task::spawn_local(readiness::serve(context.clone(), ready));
    if let Some(address) = context.settings.metrics_address {
        let listener = listen(address)?;
        tokio::task::spawn_local(readiness::serve(context.clone(), listener));
    }
    match context.settings.peer_address {
        Some(address) => {
            let address = listen_to_peers(&context, &store_access, address).await?;
            join_peers(&context, &store, &store_access, address, dial::Tcp);
        }
        None => spawn_store_tasks(&context, &store, &store_access),
    }
    let accepting = tokio::task::spawn_local(accept(context.clone(), callers));
    Ok(Running {
        context,
        caller_address: addresses.0,
        readiness_address: addresses.1,
        accepting,
        reload_error: RefCell::default(),
    })
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
    context.shutdown.begin(ends_at);
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
    context.shutdown.end();
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
    let monitoring = store_liveness::monitor(context.clone(), store.clone(), store_access.clone());
    tokio::task::spawn_local(monitoring);
    let waiting = context.notice_writes.open_queue();
    let writing = notices::write_to_store(
        context.clone(),
        store.clone(),
        store_access.clone(),
        waiting,
    );
    tokio::task::spawn_local(writing);
    tokio::task::spawn_local(notices::expire_outdated(
        context.clone(),
        store_access.clone(),
    ));
    for collection in Collection::WATCHED {
        let (context, store) = (context.clone(), store.clone());
        let following =
            store_watcher::sync_collection(context, store, store_access.clone(), collection);
        tokio::task::spawn_local(following);
    }
    tokio::task::spawn_local(store_watcher::run_expiry(context.clone()));
    tokio::task::spawn_local(quotas::run(context.clone()));
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
    tokio::task::spawn_local(feeder::send_heartbeats(
        context.clone(),
        store_access.clone(),
    ));
    tokio::task::spawn_local(repeat_replication::run(context.clone()));
    let keeping = store_sync::run(
        context.clone(),
        store.clone(),
        store_access.clone(),
        own,
        network,
    );
    tokio::task::spawn_local(keeping);
}

/// Listens for other VMs, for links and for datagrams; returns the address at which they reach this VM.
async fn listen_to_peers(
    context: &Rc<Context>,
    store_access: &Rc<StoreAccess>,
    address: SocketAddr,
) -> Result<SocketAddr, StartError> {
    let listener = listen(address)?;
    let address = listener.local_addr().unwrap_or(address);
    let opened = PeerSocket::open(address).await;
    let opened = opened.map_err(|error| StartError::Listen(address, error))?;
    let socket = Rc::new(opened);
    tokio::task::spawn_local(load_reports::receive(context.clone(), socket.clone()));
    let _ = context.peer_socket.set(socket);
    tokio::task::spawn_local(feeder::serve(
        context.clone(),
        store_access.clone(),
        listener,
    ));
    if let Some(address) = context.settings.control_address {
        let listener = listen(address)?;
        tokio::task::spawn_local(feeder::serve(
            context.clone(),
            store_access.clone(),
            listener,
        ));
    }
    Ok(address)
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().map_err(|error| StartError::Listen(address, error))
}

async fn accept(context: Rc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
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
