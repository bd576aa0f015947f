//! VMs of several zones, each with its own link, and what they are given to do.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::configuration::Route;
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

/// How often it is looked which VM knows what.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// How long VMs are given to find each other.
const SETTLE: Duration = Duration::from_secs(10);

/// The links of VMs: what the first two of a zone carry, and the others.
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
    /// The version that each VM was last seen with.
    seen: RefCell<HashMap<usize, u64>>,
    entries: Vec<(VmEntry, u32)>,
    /// Which VMs the store turns away.
    turned_away: Vec<Rc<Cell<bool>>>,
    configuration_bytes: Rc<Cell<usize>>,
}

impl Fleet {
    /// Starts VMs of these zones with these links and so many routes, and lets them find each other.
    pub(crate) async fn start(zones: &[usize], links: Links, count: usize, seed: u64) -> Self {
        fastrand::seed(seed);
        let mut rng = Rng::with_seed(seed);
        let mut entries = Vec::new();
        for (zone, vms) in zones.iter().enumerate() {
            for at in 0..*vms {
                let (cpu_milli, mbit) = match at < 2 {
                    true => (500, links.large_mbit),
                    false => (100, links.small_mbit),
                };
                let entry = VmEntry {
                    name: format!("zone-{zone}-{at}").into(),
                    zone: format!("zone-{zone}").into(),
                    address: address(entries.len()),
                    cpu_milli,
                };
                entries.push((entry, mbit));
            }
        }
        let mut fleet = Self {
            store: TestStore::default(),
            network: Network::default(),
            routes: routes(&mut rng, count),
            rng,
            version: 0,
            seen: RefCell::default(),
            turned_away: entries.iter().map(|_| Rc::default()).collect(),
            entries,
            configuration_bytes: Rc::default(),
        };
        fleet.configure();
        for at in 0..fleet.entries.len() {
            fleet.network.0.borrow_mut().push(None);
            fleet.power_on(at, true);
        }
        tokio::time::sleep(SETTLE).await;
        fleet
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Starts a VM that knows nothing.
    pub(crate) fn power_on(&self, at: usize, all_start: bool) {
        let (entry, mbit) = &self.entries[at];
        let nic = Rc::new(Nic::of(*mbit));
        let context = Rc::new(Context::new(settings(entry, all_start), HEADER_NAMES));
        let pulse = Rc::new(StoreAccess::default());
        let store = Rc::new(LinkedStore {
            store: TestStore(self.store.0.clone(), self.turned_away[at].clone()),
            nic: nic.clone(),
            configuration_bytes: self.configuration_bytes.clone(),
            receives_until: Cell::new(Instant::now()),
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
        let (vm, vm_pulse, address) = (context.clone(), pulse.clone(), entry.address);
        let tasks = LocalSet::new();
        let running = tokio::task::spawn_local(async move {
            let joined = async {
                run::join_peers(&vm, &store, &vm_pulse, address, dialer);
                std::future::pending::<()>().await;
            };
            tasks.run_until(joined).await;
        });
        let host = Host {
            context,
            pulse,
            nic,
            tasks: vec![running.abort_handle()].into(),
        };
        self.network.0.borrow_mut()[at] = Some(Rc::new(host));
    }

    /// Takes a VM's power away.
    pub(crate) fn power_off(&self, at: usize) {
        self.seen.borrow_mut().remove(&at);
        let host = self.network.0.borrow_mut()[at].take();
        for task in host.iter().flat_map(|host| host.tasks.take()) {
            task.abort();
        }
    }

    /// Has the store turn these VMs away, and no others.
    pub(crate) fn turn_away(&self, whom: impl Fn(&VmEntry) -> bool) {
        for ((vm, _), turned_away) in self.entries.iter().zip(&self.turned_away) {
            turned_away.set(whom(vm));
        }
    }

    /// Returns the VMs that the records of the zones in the store name, but for the last of each.
    pub(crate) fn named_but_last(&self) -> Vec<VmName> {
        let zones = self.store.0.zones.borrow();
        let named = zones.iter().flat_map(|record| {
            let but_last = record.vms.len().saturating_sub(1);
            record.vms.iter().take(but_last)
        });
        named.map(|vm| vm.name.clone()).collect()
    }

    /// Puts so many routes more in force.
    pub(crate) fn add_routes(&mut self, count: usize) {
        let more = routes(&mut self.rng, count);
        self.routes.extend(more);
        self.configure();
    }

    /// Changes one value of one route.
    pub(crate) fn change_one(&mut self) {
        let at = self.rng.usize(0..self.routes.len());
        self.routes[at].timeout += Duration::from_millis(1);
        self.configure();
    }

    /// Removes routes.
    pub(crate) fn remove_routes(&mut self, count: usize) {
        self.routes.truncate(self.routes.len() - count);
        self.configure();
    }

    /// Returns the version of the latest configuration.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Writes the latest configuration again.
    pub(crate) fn configure_again(&self) {
        let configuration = configuration(self.version, &self.routes);
        self.store.0.write_configuration(configuration);
    }

    fn configure(&mut self) {
        self.version += 1;
        let configuration = configuration(self.version, &self.routes);
        self.configuration_bytes.set(230 * self.routes.len());
        self.store.0.write_configuration(configuration);
    }

    /// Returns the version that a VM has in force.
    pub(crate) fn version_at(&self, at: usize) -> Option<u64> {
        let host = self.network.host(at)?;
        let version = host.context.active_configuration.version()?;
        let before = self.seen.borrow_mut().insert(at, version);
        assert!(before <= Some(version), "VM {at} goes back to {version}");
        Some(version)
    }

    fn is_cut(&self, at: usize) -> bool {
        let host = self.network.host(at);
        host.is_some_and(|host| host.nic.is_cut.get())
    }

    /// Returns the VMs that have power and their link, and an older version in force.
    pub(crate) fn behind(&self) -> Vec<usize> {
        let all =
            (0..self.len()).filter(|at| !self.is_cut(*at) && self.network.host(*at).is_some());
        all.filter(|at| self.version_at(*at) != Some(self.version))
            .collect()
    }

    /// Waits until all VMs have the latest version in force, so long at most; returns how long the first and the last
    /// took.
    pub(crate) async fn in_force(&self, within: Duration) -> (Duration, Duration) {
        let begun = Instant::now();
        let mut first = None;
        loop {
            let behind = self.behind();
            if behind.len() < self.len() && first.is_none() {
                first = Some(begun.elapsed());
            }
            if behind.is_empty() {
                return (first.unwrap_or_default(), begun.elapsed());
            }
            assert!(
                begun.elapsed() < within,
                "version {} is not in force after {within:?} at {behind:?}",
                self.version
            );
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Returns how many links ended because the feeder was taken for silent.
    pub(crate) fn silent_feeders(&self) -> u64 {
        let hosts = (0..self.len()).filter_map(|at| self.network.host(at));
        hosts.map(|host| silent(&host.context.metrics_text())).sum()
    }

    /// Returns the bytes that each VM has sent.
    pub(crate) fn sent_bytes(&self) -> Vec<usize> {
        let hosts = (0..self.len()).map(|at| self.network.host(at));
        hosts
            .map(|host| host.map_or(0, |host| host.nic.sent_bytes.get()))
            .collect()
    }

    pub(crate) fn cut(&self, at: usize, is_cut: bool) {
        if let Some(host) = self.network.host(at) {
            host.nic.is_cut.set(is_cut);
        }
    }

    /// Returns the VMs that feed others.
    pub(crate) fn feeders(&self) -> Vec<usize> {
        let feeds = |at: &usize| {
            let host = self.network.host(*at);
            host.is_some_and(|host| !host.context.followers.is_empty())
        };
        (0..self.len()).filter(feeds).collect()
    }
}

fn silent(counters: &str) -> u64 {
    let of_silence = |line: &&str| line.contains("readers_lost_total{reason=\"silent\"}");
    let line = counters.lines().find(of_silence);
    let count = line.and_then(|line| line.rsplit(' ').next());
    count.and_then(|count| count.parse().ok()).unwrap_or(0)
}

pub(crate) fn settings(entry: &VmEntry, all_start: bool) -> EntrySettings {
    let nowhere: SocketAddr = ([127, 0, 0, 1], 0).into();
    EntrySettings {
        vm: entry.name.clone(),
        zone: entry.zone.clone(),
        region: Vec::new(),
        callers: nowhere,
        readiness: nowhere,
        peers: Some(entry.address),
        control: None,
        seeds: Vec::new(),
        store: nowhere,
        cpu_milli: entry.cpu_milli,
        memory_bytes: 160_000_000,
        all_start,
        metrics: None,
        bounds: Bounds {
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
pub(crate) fn play<F: Future<Output = ()>>(scenario: F) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.unwrap(), scenario);
}
