//! A fleet of VMs in several zones, each VM with its own link, and what tests do to it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::configuration::Route;
use kingcuploft::entry::quota::QuotaBounds;
use kingcuploft::entry::repeat_budget::RepeatBounds;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::world::ids::VmName;
use kingcuploft_entry::context::Context;
use kingcuploft_entry::run;
use kingcuploft_entry::settings::{Bounds, EntrySettings};
use kingcuploft_entry::store_access::StoreAccess;
use kingcuploft_simulation::header_names::HEADER_NAMES;
use tokio::task::LocalSet;
use tokio::time::Instant;

use crate::configurations::{configuration, routes};
use crate::network::{Datagrams, Dialer, Host, LinkedStore, Network, address};
use crate::pipe::Nic;
use crate::store::TestStore;

/// How often the VMs' versions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long VMs are given to find each other and build the dissemination tree.
const SETTLE: Duration = Duration::from_secs(10);

/// The bandwidths of the VMs' links: of the first two VMs of each zone, and of the others.
#[derive(Clone, Copy)]
pub(crate) struct Links {
    pub(crate) large_mbit: u32,
    pub(crate) small_mbit: u32,
}

pub(crate) struct Fleet {
    pub(crate) store: TestStore,
    pub(crate) network: Network,
    pub(crate) routes: Vec<Route>,
    pub(crate) rng: Rng,
    version: u64,
    /// The version of the configuration that each VM was last seen with.
    seen_versions: RefCell<HashMap<usize, u64>>,
    vms: Vec<(VmEntry, u32)>,
    /// Whether the store turns a VM away, by VM.
    is_rejected: Vec<Rc<Cell<bool>>>,
    configuration_bytes: Rc<Cell<usize>>,
}

impl Fleet {
    /// Starts so many VMs in each zone, with these links and so many routes, and lets them find each other.
    pub(crate) async fn start(
        zones: &[usize],
        links: Links,
        route_count: usize,
        seed: u64,
    ) -> Self {
        fastrand::seed(seed);
        let mut rng = Rng::with_seed(seed);
        let mut vms = Vec::new();
        for (zone, vm_count) in zones.iter().enumerate() {
            for at in 0..*vm_count {
                let (cpu_milli, mbit) = match at < 2 {
                    true => (500, links.large_mbit),
                    false => (100, links.small_mbit),
                };
                let entry = VmEntry {
                    name: format!("zone-{zone}-{at}").into(),
                    zone: format!("zone-{zone}").into(),
                    address: address(vms.len()),
                    cpu_milli,
                };
                vms.push((entry, mbit));
            }
        }
        let mut fleet = Self {
            store: TestStore::default(),
            network: Network::default(),
            routes: routes(&mut rng, route_count),
            rng,
            version: 0,
            seen_versions: RefCell::default(),
            is_rejected: vms.iter().map(|_| Rc::default()).collect(),
            vms,
            configuration_bytes: Rc::default(),
        };
        fleet.configure();
        for at in 0..fleet.vms.len() {
            fleet.network.0.borrow_mut().push(None);
            fleet.power_on(at, true);
        }
        tokio::time::sleep(SETTLE).await;
        fleet
    }

    pub(crate) fn len(&self) -> usize {
        self.vms.len()
    }

    /// Starts a VM with empty state.
    pub(crate) fn power_on(&self, at: usize, all_start: bool) {
        let (entry, mbit) = &self.vms[at];
        let nic = Rc::new(Nic::of(*mbit));
        let context = Rc::new(Context::new(settings(entry, all_start), HEADER_NAMES));
        let store_access = Rc::new(StoreAccess::default());
        let store = Rc::new(LinkedStore {
            store: TestStore(self.store.0.clone(), self.is_rejected[at].clone()),
            nic: nic.clone(),
            configuration_bytes: self.configuration_bytes.clone(),
            receiving_until: RefCell::default(),
        });
        let dialer = Dialer {
            network: self.network.clone(),
            from: at,
        };
        let socket = Datagrams {
            network: self.network.clone(),
            from: at,
        };
        let _ = context.peer_socket.set(Rc::new(socket));
        let (vm, vm_store_access, address) = (context.clone(), store_access.clone(), entry.address);
        let tasks = LocalSet::new();
        let running = tokio::task::spawn_local(async move {
            let joined = async {
                run::join_peers(&vm, &store, &vm_store_access, address, dialer);
                std::future::pending::<()>().await;
            };
            tasks.run_until(joined).await;
        });
        let host = Host {
            context,
            store_access,
            nic,
            tasks: vec![running.abort_handle()].into(),
        };
        self.network.0.borrow_mut()[at] = Some(Rc::new(host));
    }

    /// Cuts a VM's power: its tasks end and its state is lost.
    pub(crate) fn power_off(&self, at: usize) {
        self.seen_versions.borrow_mut().remove(&at);
        let host = self.network.0.borrow_mut()[at].take();
        for task in host.iter().flat_map(|host| host.tasks.take()) {
            task.abort();
        }
    }

    /// Has the store turn away these VMs, and no others.
    pub(crate) fn reject_at_store(&self, is_rejected_vm: impl Fn(&VmEntry) -> bool) {
        for ((vm, _), is_rejected) in self.vms.iter().zip(&self.is_rejected) {
            is_rejected.set(is_rejected_vm(vm));
        }
    }

    /// Returns the VMs that the zones' records in the store name, except the last of each record.
    pub(crate) fn vms_named_except_last(&self) -> Vec<VmName> {
        let zones = self.store.0.zones.borrow();
        let named = zones.iter().flat_map(|record| {
            let but_last = record.vms.len().saturating_sub(1);
            record.vms.iter().take(but_last)
        });
        named.map(|vm| vm.name.clone()).collect()
    }

    /// Adds so many routes to the configuration.
    pub(crate) fn add_routes(&mut self, route_count: usize) {
        let more = routes(&mut self.rng, route_count);
        self.routes.extend(more);
        self.configure();
    }

    /// Changes one value of one route.
    pub(crate) fn change_one_route(&mut self) {
        let at = self.rng.usize(0..self.routes.len());
        self.routes[at].timeout += Duration::from_millis(1);
        self.configure();
    }

    /// Removes the last routes.
    pub(crate) fn remove_routes(&mut self, route_count: usize) {
        self.routes.truncate(self.routes.len() - route_count);
        self.configure();
    }

    /// Returns the version of the latest configuration.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Writes the latest configuration again.
    pub(crate) fn rewrite_configuration(&self) {
        let configuration = configuration(self.version, &self.routes);
        self.store.0.write_configuration(configuration);
    }

    fn configure(&mut self) {
        self.version += 1;
        let configuration = configuration(self.version, &self.routes);
        self.configuration_bytes.set(230 * self.routes.len());
        self.store.0.write_configuration(configuration);
    }

    /// Returns the version that a VM has in force; fails if it is older than the one seen before.
    pub(crate) fn version_at(&self, at: usize) -> Option<u64> {
        let host = self.network.host(at)?;
        let version = host.context.active_configuration.version()?;
        let before = self.seen_versions.borrow_mut().insert(at, version);
        assert!(before <= Some(version), "VM {at} goes back to {version}");
        Some(version)
    }

    fn is_cut(&self, at: usize) -> bool {
        let host = self.network.host(at);
        host.is_some_and(|host| host.nic.is_cut.get())
    }

    /// Returns the VMs that have power and a working link, but an older version in force than the latest.
    pub(crate) fn outdated_vms(&self) -> Vec<usize> {
        let all =
            (0..self.len()).filter(|at| !self.is_cut(*at) && self.network.host(*at).is_some());
        all.filter(|at| self.version_at(*at) != Some(self.version))
            .collect()
    }

    /// Waits until all VMs have the latest version in force; fails if that takes longer than `within`. Returns how long
    /// the first and the last VM took.
    pub(crate) async fn wait_until_in_force(&self, within: Duration) -> (Duration, Duration) {
        let started_at = Instant::now();
        let mut first = None;
        loop {
            let outdated = self.outdated_vms();
            if outdated.len() < self.len() && first.is_none() {
                first = Some(started_at.elapsed());
            }
            if outdated.is_empty() {
                return (first.unwrap_or_default(), started_at.elapsed());
            }
            assert!(
                started_at.elapsed() < within,
                "version {} is not in force after {within:?} at {outdated:?}",
                self.version
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns how many links ended because the feeder was taken for silent.
    pub(crate) fn silent_feeder_count(&self) -> u64 {
        let hosts = (0..self.len()).filter_map(|at| self.network.host(at));
        hosts
            .map(|host| silent_count(&host.context.metrics_text()))
            .sum()
    }

    /// Returns how many links ended, for whatever reason.
    pub(crate) fn lost_feeder_count(&self) -> u64 {
        let hosts = (0..self.len()).filter_map(|at| self.network.host(at));
        hosts
            .map(|host| lost_count(&host.context.metrics_text()))
            .sum()
    }

    /// Fails if two VMs know different servers.
    pub(crate) fn assert_same_servers(&self) {
        let hosts = (0..self.len()).filter_map(|at| self.network.host(at));
        let digests = hosts.map(|host| host.context.with_servers(|servers| servers.digest()));
        let digests: std::collections::HashSet<u64> = digests.collect();
        assert_eq!(digests.len(), 1, "VMs know different servers");
    }

    /// Returns the bytes that each VM has sent.
    pub(crate) fn sent_bytes(&self) -> Vec<usize> {
        let hosts = (0..self.len()).map(|at| self.network.host(at));
        hosts
            .map(|host| host.map_or(0, |host| host.nic.sent_bytes.get()))
            .collect()
    }

    pub(crate) fn set_link_cut(&self, at: usize, is_cut: bool) {
        if let Some(host) = self.network.host(at) {
            host.nic.is_cut.set(is_cut);
        }
    }

    /// Returns the VMs that feed others.
    pub(crate) fn feeders(&self) -> Vec<usize> {
        let has_followers = |at: &usize| {
            let host = self.network.host(*at);
            host.is_some_and(|host| !host.context.followers.is_empty())
        };
        (0..self.len()).filter(has_followers).collect()
    }
}

fn silent_count(counters: &str) -> u64 {
    let is_silence = |line: &&str| line.contains("readers_lost_total{reason=\"silent\"}");
    let line = counters.lines().find(is_silence);
    let count = line.and_then(|line| line.rsplit(' ').next());
    count.and_then(|count| count.parse().ok()).unwrap_or(0)
}

fn lost_count(counters: &str) -> u64 {
    let lines = counters.lines();
    let lost = lines.filter(|line| line.contains("readers_lost_total{"));
    let counts = lost.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    counts.sum()
}

pub(crate) fn settings(entry: &VmEntry, all_start: bool) -> EntrySettings {
    let unused_address: SocketAddr = ([127, 0, 0, 1], 0).into();
    EntrySettings {
        vm: entry.name.clone(),
        zone: entry.zone.clone(),
        region: Vec::new(),
        caller_address: unused_address,
        readiness_address: unused_address,
        peer_address: Some(entry.address),
        spare_peer_ports: Vec::new(),
        control_address: None,
        seeds: Vec::new(),
        store_address: unused_address,
        cpu_milli: entry.cpu_milli,
        memory_bytes: 160_000_000,
        max_descriptors: 4_100,
        is_first_start: all_start,
        metrics_address: None,
        bounds: Bounds {
            quotas: QuotaBounds::default(),
            stop_within: Duration::from_secs(6),
            repeats: RepeatBounds {
                ratio: 0.2,
                allowance: 184.0,
                window: Duration::from_secs(10),
            },
            heartbeat: Duration::from_millis(1_500),
            probes_per_server_s: 42.0,
        },
    }
}

/// Returns a backend server of the first zone.
pub(crate) fn server(name: &str) -> BackendServer {
    let address: SocketAddr = ([127, 0, 0, 1], 80).into();
    BackendServer {
        name: name.into(),
        service: "trip".into(),
        address,
        zone: "zone-0".into(),
        slots: 3,
        draining: false,
        cold_for: Duration::ZERO,
        started_at: None,
    }
}

/// Runs a scenario in virtual time.
pub(crate) fn simulate<F: Future<Output = ()>>(scenario: F) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.unwrap(), scenario);
}
