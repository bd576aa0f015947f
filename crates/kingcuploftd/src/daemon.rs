//! A daemon: its duties started, and stopped without cutting a request.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::bounded;
use kingcuploft::world::vm::Vm;
use kingcuploft_platform::client::Client;
use socket2::{Domain, Socket, Type};

use crate::dispatch::TaskSenders;
use crate::message::Message;
use crate::peer_link::{Keys, PeerSettings};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{
    admin, backend_edge, caller_edge, claims, dispatch, manifest_watch, membership_sync, peer_link,
    prober,
};

/// Probes that wait for the measuring duty; more would be old before they run.
const MAX_QUEUED_PROBES: usize = 16;

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    address: SocketAddr,
    admin_address: SocketAddr,
    peer_address: Option<SocketAddr>,
    caller_edge: JoinHandle<()>,
    dispatch: JoinHandle<()>,
    threads: Vec<JoinHandle<()>>,
}

/// Why a daemon did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A port could not be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address of the settings.
        address: SocketAddr,
        /// Why.
        error: std::io::Error,
    },
    /// The peer links can not be made safely.
    #[error("peer links: {0}")]
    Peers(String),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
}

impl Daemon {
    /// Opens the ports and starts every duty.
    ///
    /// # Errors
    ///
    /// [`StartError`] where a port or a thread is not to be had; nothing is left running.
    pub fn start(settings: Settings) -> Result<Self, StartError> {
        let callers = listen(settings.listen)?;
        let admins = listen(settings.admin_listen)?;
        let peers = PeerListener::open(&settings.peer)?;
        let address = callers.local_addr().map_err(StartError::Thread)?;
        let admin_address = admins.local_addr().map_err(StartError::Thread)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = since.map_or(0, |since| since.as_micros() as u64);
        let vm = Vm {
            name: settings.vm.as_str().into(),
            availability_zone: settings.availability_zone.as_str().into(),
            incarnation,
        };
        let limits = settings.limits.clone();
        let platform = settings.platform.clone();
        let store = Client::with_settings(&platform, settings.store.clone(), incarnation);
        let (to_dispatch, messages) = bounded(limits.ring);
        let (calls, call_tasks) = bounded(limits.ring);
        let (claims, claim_tasks) = bounded(limits.ring);
        let (probes, probe_requests) = bounded(MAX_QUEUED_PROBES);
        let shared = Shared::new(settings, vm, to_dispatch);
        let mut threads = Vec::new();
        let agent = backend_edge::agent();
        for i in 0..limits.workers {
            let (shared, tasks, agent) = (shared.clone(), call_tasks.clone(), agent.clone());
            let thread_main = move || backend_edge::run(&shared, &tasks, &agent);
            threads.push(spawn(&format!("worker-{i}"), thread_main)?);
        }
        let (context, own_store) = (shared.clone(), store.clone());
        let thread_main = move || claims::run(context, &claim_tasks, own_store);
        threads.push(spawn("claims", thread_main)?);
        // Manifests and membership have connections, a budget and a circuit of their own: a burst
        // of claims must not hold up a manifest.
        let fleet_settings = shared.settings.store.clone();
        let fleet_store = Client::with_settings(&platform, fleet_settings, incarnation ^ 1);
        let (context, own_store) = (shared.clone(), fleet_store.clone());
        let thread_main = move || manifest_watch::run(&context, &own_store);
        threads.push(spawn("manifest", thread_main)?);
        let context = shared.clone();
        let thread_main = move || membership_sync::run(&context, &fleet_store);
        threads.push(spawn("membership", thread_main)?);
        let peer_address = peers.as_ref().map(|peers| peers.address);
        if let Some(peers) = peers {
            let advertised = shared.settings.peer.address.unwrap_or(peers.address);
            shared.fleet.membership().set_address(advertised);
            let context = shared.clone();
            let thread_main = move || peer_link::run(&context, peers.listener, peers.keys);
            threads.push(spawn("peers", thread_main)?);
        }
        let context = shared.clone();
        let thread_main = move || caller_edge::run(&context, callers);
        let caller_edge = spawn("caller-edge", thread_main)?;
        let context = shared.clone();
        let thread_main = move || admin::run(&context, admins);
        threads.push(spawn("admin", thread_main)?);
        let context = shared.clone();
        let thread_main = move || prober::run(&context, &probe_requests);
        threads.push(spawn("measure", thread_main)?);
        let context = shared.clone();
        let senders = TaskSenders {
            calls,
            probes,
            claims,
        };
        let thread_main = move || dispatch::run(context, &messages, senders, incarnation);
        let dispatch = spawn("dispatch", thread_main)?;
        tracing::info!("daemon: {} listens on {address}.", shared.vm.name);
        Ok(Self {
            shared,
            address,
            admin_address,
            peer_address,
            caller_edge,
            dispatch,
            threads,
        })
    }

    /// Returns where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns where the platform and operators connect.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns where other VMs connect; `None` without links.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Returns the daemon's context.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops as planned, without cutting a request.
    ///
    /// Not ready first, while callers are still served; then the door closes and every
    /// answer in flight is written whole; then the other duties end. What has not ended within
    /// `stop_timeout_ms` of the door's closing is cut and counted.
    pub fn stop(self) {
        let limits = &self.shared.settings.limits;
        self.shared.stop();
        tracing::info!("daemon: {} stops.", self.shared.vm.name);
        std::thread::sleep(Duration::from_millis(limits.not_ready_ms));
        let until = Instant::now() + Duration::from_millis(limits.stop_timeout_ms);
        self.shared.close(until);
        // The caller edge ends first: only then can no request arrive at the dispatch duty.
        drop(self.caller_edge.join());
        drop(self.shared.dispatch.send(Message::Stop(until)));
        drop(self.dispatch.join());
        // What is still at a backend server passed the bound of the stop.
        self.shared.calls.cancel_all();
        self.shared.end();
        for thread in self.threads {
            drop(thread.join());
        }
        tracing::info!("daemon: {} stopped.", self.shared.vm.name);
    }
}

/// What the peer duty starts with.
struct PeerListener {
    listener: TcpListener,
    address: SocketAddr,
    keys: Keys,
}

impl PeerListener {
    fn open(settings: &PeerSettings) -> Result<Option<Self>, StartError> {
        let Some(address) = settings.listen else {
            return Ok(None);
        };
        if let Some(fault) = settings.fault() {
            return Err(StartError::Peers(fault.into()));
        }
        let keys = Keys::read(settings).map_err(StartError::Peers)?;
        let listener = listen(address)?;
        let address = listener.local_addr().map_err(StartError::Thread)?;
        Ok(Some(Self {
            listener,
            address,
            keys,
        }))
    }
}

/// How many connections the system takes before the daemon does. The standard library's 128 are
/// fewer than the callers that connect at once when an entry VM comes back behind the platform's
/// balancer: the system drops the others' first packets, and they wait a second or three.
const ACCEPT_BACKLOG: i32 = 4096;

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(address).map_err(|error| StartError::Listen { address, error })
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

fn spawn(
    name: &str,
    thread_main: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, StartError> {
    let thread = std::thread::Builder::new().name(name.into());
    thread.spawn(thread_main).map_err(StartError::Thread)
}
