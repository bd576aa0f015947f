//! A testbed: a VM with its backend servers, its store and callers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::configuration::{
    ColdStart, Configuration, Destination, Limits, Route, Service,
};
use kingcuploft::entry::quota::QuotaBounds;
use kingcuploft::entry::repeat_budget::RepeatBounds;
use kingcuploft::entry::vm_count::VmCount;
use kingcuploft::entry::workspaces::{Workspace, Workspaces};
use kingcuploft::utils::HashMap;
use kingcuploft::world::contract::Contract;
use kingcuploft::world::wire_text::RequestPath;
use kingcuploft_entry::run::{self, Running};
use kingcuploft_entry::settings::{Bounds, EntrySettings, WireNames};
use kingcuploft_simulation::header_names;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::server::{Behavior, TestServer};
use crate::store::{StoreState, TestStore};

/// The names of headers that the tests use.
pub(crate) const HEADER_NAMES: WireNames = WireNames {
    limit: "server-limit",
    ..header_names::HEADER_NAMES
};

/// The memory of a VM: a hundredth of the smallest VM's.
pub(crate) const MEMORY_BYTES: usize = 1_600_000;

/// The most connections that a server accepts from all VMs together.
pub(crate) const MAX_CONNECTIONS: u32 = 20;

/// A VM with servers of scripted behavior.
pub(crate) struct Testbed {
    pub(crate) vm: Running,
    pub(crate) store: Rc<StoreState>,
    pub(crate) servers: Vec<TestServer>,
}

impl Testbed {
    /// Starts servers with these behaviors, and a VM in front of them.
    pub(crate) async fn with(behaviors: &[Behavior]) -> Self {
        let (store, servers) = start_servers(behaviors).await;
        let vm = start("vm", &store).await;
        Self {
            vm,
            store: store.0,
            servers,
        }
    }

    /// Starts servers with these behaviors, and a VM with so much memory in front of them.
    pub(crate) async fn with_memory(behaviors: &[Behavior], memory_bytes: usize) -> Self {
        let (store, servers) = start_servers(behaviors).await;
        let settings = EntrySettings {
            memory_bytes,
            ..settings("vm")
        };
        let vm = start_with(settings, &store).await;
        Self {
            vm,
            store: store.0,
            servers,
        }
    }

    pub(crate) async fn caller(&self) -> Caller {
        Caller::connect(self.vm.caller_address).await
    }

    /// Sends one request on a connection of its own, and returns the answer.
    pub(crate) async fn ask(&self, request: &str) -> Answer {
        let mut caller = self.caller().await;
        caller.send(request).await;
        caller.answer().await.expect("an answer")
    }

    pub(crate) fn run_count(&self) -> u32 {
        self.servers.iter().map(|server| server.runs.get()).sum()
    }

    pub(crate) fn received_count(&self) -> usize {
        self.servers
            .iter()
            .map(|server| server.received.borrow().len())
            .sum()
    }
}

/// Starts servers with these behaviors, and a store that holds their entries and a configuration.
pub(crate) async fn start_servers(behaviors: &[Behavior]) -> (TestStore, Vec<TestServer>) {
    let store = TestStore::default();
    store.0.write_configuration(configuration(1));
    let mut servers = Vec::new();
    for (at, behavior) in behaviors.iter().enumerate() {
        let server = TestServer::start(*behavior).await;
        store.0.write_backend_server(entry(at, &server));
        servers.push(server);
    }
    (store, servers)
}

/// Starts a VM, and waits until it knows the store's configuration and servers.
pub(crate) async fn start(name: &str, store: &TestStore) -> Running {
    start_with(settings(name), store).await
}

pub(crate) async fn start_with(settings: EntrySettings, store: &TestStore) -> Running {
    let vm = run::start(settings, HEADER_NAMES, store.clone());
    assume_large_fleet(&vm);
    wait_until(|| vm.context.is_ready()).await;
    vm
}

/// Has a VM take its share of what all VMs may use as one of a thousand, until it has counted them.
pub(crate) fn assume_large_fleet(vm: &Running) {
    vm.context.vm_count.set(VmCount::Counted(1_000));
}

pub(crate) fn settings(name: &str) -> EntrySettings {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    EntrySettings {
        vm: name.into(),
        zone: "thun".into(),
        region: Vec::new(),
        caller_address: any,
        readiness_address: any,
        peer_address: None,
        spare_peer_ports: Vec::new(),
        control_address: None,
        seeds: Vec::new(),
        store_address: any,
        cpu_milli: 200,
        memory_bytes: MEMORY_BYTES,
        max_descriptors: 4_100,
        is_first_start: false,
        metrics_address: None,
        bounds: Bounds {
            quotas: QuotaBounds::default(),
            stop_within: Duration::from_secs(6),
            repeats: RepeatBounds {
                ratio: 0.2,
                allowance: 20_000.0,
                window: Duration::from_secs(10),
            },
            heartbeat: Duration::from_millis(1_500),
            probes_per_server_s: 60_000.0,
        },
    }
}

/// Waits until a condition holds; fails after many times the time that it should take.
pub(crate) async fn wait_until(mut holds: impl FnMut() -> bool) {
    for _ in 0..2000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("it did not come to hold");
}

/// Returns a configuration with lookups under `/look/`, bookings under `/book/`, and lookups with a timeout of 300 ms
/// under `/short/`.
pub(crate) fn configuration(version: u64) -> Configuration {
    let routes = vec![
        route("look", "/look/", Contract::RetryFreely, 5000),
        route("book", "/book/", Contract::AtMostOnce, 5000),
        route("short", "/short/", Contract::RetryFreely, 300),
    ];
    let service = Service {
        health_path: RequestPath::parse("/health").ok(),
        most_connections: MAX_CONNECTIONS,
        cold_start: None,
    };
    let services: HashMap<_, _> = [("trip".into(), service)].into_iter().collect();
    Configuration::new(version, routes, services, Limits::default())
}

/// Returns [`configuration`] with servers that bear two requests a second in the first three seconds after their start.
pub(crate) fn with_cold_starts(version: u64) -> Configuration {
    let mut configuration = configuration(version);
    for service in configuration.services.values_mut() {
        // The VMs' shares of connections leave room for all callers.
        service.most_connections = 100_000;
        service.cold_start = Some(ColdStart {
            lasts: Duration::from_secs(3),
            per_1000_s: 2_000,
        });
    }
    configuration
}

/// Returns [`configuration`] with lookups under one more prefix.
pub(crate) fn with_route(version: u64, prefix: &str) -> Configuration {
    let known = configuration(version);
    let added = route("added", prefix, Contract::RetryFreely, 5000);
    let routes = known.routes().cloned().chain([added]);
    Configuration::new(
        version,
        routes.collect(),
        known.services.clone(),
        known.limits,
    )
}

/// Returns [`configuration`] with so many attempts for each request.
pub(crate) fn with_most_attempts(version: u64, most_attempts: u32) -> Configuration {
    let known = configuration(version);
    let routes = known.routes().cloned().map(|route| Route {
        most_attempts,
        ..route
    });
    Configuration::new(
        version,
        routes.collect(),
        known.services.clone(),
        known.limits,
    )
}

/// Returns [`configuration`] with workspaces, and lookups under `/open/` that need no key.
pub(crate) fn with_workspaces(version: u64, workspaces: Vec<Workspace>) -> Configuration {
    let known = configuration(version);
    let open = Route {
        is_public: true,
        ..route("open", "/open/", Contract::RetryFreely, 5000)
    };
    let routes = known.routes().cloned().chain([open]).collect();
    let whole = Configuration::new(version, routes, known.services.clone(), known.limits);
    whole.with_workspaces(Some(Workspaces::new(workspaces).unwrap()))
}

fn route(name: &str, prefix: &str, contract: Contract, timeout_ms: u64) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        contract,
        target: Duration::from_millis(timeout_ms / 2),
        timeout: Duration::from_millis(timeout_ms),
        most_attempts: 2,
        is_public: false,
        priority: 1,
        destinations: vec![Destination {
            service: "trip".into(),
            weight: 1,
        }],
    }
}

pub(crate) fn entry(at: usize, server: &TestServer) -> BackendServer {
    entry_at(at, server.address)
}

/// Returns the entry of the server at an address.
pub(crate) fn entry_at(at: usize, address: SocketAddr) -> BackendServer {
    BackendServer {
        name: format!("s{at}").into(),
        service: "trip".into(),
        address,
        zone: "thun".into(),
        slots: 4,
        draining: false,
        cold_for: Duration::ZERO,
        started_at: None,
    }
}

pub(crate) fn lookup(id: &str) -> String {
    format!("GET /look/a HTTP/1.1\r\nHost: a.example\r\nx-id: {id}\r\nx-deadline-ms: 4000\r\n\r\n")
}

pub(crate) fn booking(id: &str) -> String {
    format!(
        "POST /book/a HTTP/1.1\r\nHost: a.example\r\nx-id: {id}\r\nx-deadline-ms: 4000\r\n\
         Content-Length: 3\r\n\r\nbed"
    )
}

/// An answer as a caller reads it.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn has(&self, line: &str) -> bool {
        self.head
            .to_ascii_lowercase()
            .contains(&line.to_ascii_lowercase())
    }
}

/// A caller's connection.
pub(crate) struct Caller<S = TcpStream> {
    pub(crate) stream: S,
    bytes: Vec<u8>,
}

impl Caller {
    pub(crate) async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    pub(crate) async fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).await.unwrap();
    }

    /// Splits the connection in one that reads answers and one that sends requests.
    pub(crate) fn split(self) -> (Caller<OwnedReadHalf>, OwnedWriteHalf) {
        let (stream, requests) = self.stream.into_split();
        let bytes = self.bytes;
        (Caller { stream, bytes }, requests)
    }
}

impl<S: AsyncRead + Unpin> Caller<S> {
    /// Returns the next answer, or `None` if the connection ends before it.
    pub(crate) async fn answer(&mut self) -> Option<Answer> {
        loop {
            if let Some(answer) = self.parse() {
                return Some(answer);
            }
            let read = self.stream.read_buf(&mut self.bytes);
            let read = tokio::time::timeout(Duration::from_secs(10), read).await;
            if read.expect("an answer in 10 s").ok()? == 0 {
                return None;
            }
        }
    }

    fn parse(&mut self) -> Option<Answer> {
        let end = self.bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8(self.bytes[..end].to_vec()).ok()?;
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let length = lines.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let length: usize = length.map_or(0, |(_, value)| value.parse().unwrap());
        if self.bytes.len() < end + length {
            return None;
        }
        let body = String::from_utf8(self.bytes[end..end + length].to_vec()).ok()?;
        self.bytes.drain(..end + length);
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Answer { status, head, body })
    }
}

/// The seed of the VMs' random choices.
const SEED: u64 = 1;

/// Runs a test on one thread, in real time.
pub(crate) fn run_test<F: Future<Output = ()>>(test: F) {
    fastrand::seed(SEED);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    tokio::task::LocalSet::new().block_on(&runtime.unwrap(), test);
}

/// Runs a test on one thread, in virtual time: waits take no time.
pub(crate) fn run_in_virtual_time<F: Future<Output = ()>>(test: F) {
    fastrand::seed(SEED);
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.unwrap(), test);
}
