//! Starts the daemon's threads, and stops them gracefully so that no request in flight is lost.

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

/// The most probes that wait for the prober; more would be outdated before they run.
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
        /// The address in the settings.
        address: SocketAddr,
        /// The system's error.
        error: std::io::Error,
    },
    /// The peer links are not secure, or their keys cannot be read.
    #[error("peer links: {0}")]
    Peers(String),
    /// A thread could not be started.
    #[error("cannot start a thread: {0}")]
    Thread(std::io::Error),
}

impl Daemon {
    /// Opens the ports and starts every thread.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if a port cannot be opened, the peer settings are not usable or a thread cannot be
    /// started. A port that cannot be opened is reported before any thread starts.
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
        // Manifests and membership have their own connections, call budget and circuit breaker, so that a burst of
        // claims does not delay a manifest.
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

    /// Returns the address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin port, for the platform and operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the address for other entry VMs; `None` without peer links.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Returns the state that the threads share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Shuts down gracefully, without losing a request in flight.
    ///
    /// First the daemon reports that it is not ready, while callers are still served. Then it stops accepting
    /// connections and completes every answer in flight. Then the other threads end. Connections that are still open
    /// `stop_timeout_ms` after accepting stopped are closed and counted.
    pub fn stop(self) {
        let limits = &self.shared.settings.limits;
        self.shared.stop();
        tracing::info!("daemon: {} stops.", self.shared.vm.name);
        std::thread::sleep(Duration::from_millis(limits.not_ready_ms));
        let until = Instant::now() + Duration::from_millis(limits.stop_timeout_ms);
        self.shared.close(until);
        // The caller edge ends first: after that, no request can arrive at the dispatch thread.
        drop(self.caller_edge.join());
        drop(self.shared.dispatch.send(Message::Stop(until)));
        drop(self.dispatch.join());
        // Calls that are still in flight have passed the stop timeout.
        self.shared.calls.cancel_all();
        self.shared.end();
        for thread in self.threads {
            drop(thread.join());
        }
        tracing::info!("daemon: {} stopped.", self.shared.vm.name);
    }
}

/// The peer thread's listening socket and keys.
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

/// The listen backlog: how many connections the system holds until the daemon accepts them.
///
/// Load pattern: many callers connect at once when an entry VM returns behind the platform's balancer. The standard
/// library's backlog of 128 is smaller than that; the system then drops the first packets of the other callers, which
/// wait 1 s or 3 s before they retry.
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
