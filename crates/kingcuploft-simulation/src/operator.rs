//! The operator and the platform: write configurations, server entries and evacuations to the store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::configuration::{
    ColdStart, Configuration, Destination, Limits, Route, Service,
};
use kingcuploft::entry::workspaces::{Workspace, Workspaces};
use kingcuploft::world::contract::Contract;
use kingcuploft::world::wire_text::RequestPath;

use crate::deployment::Deployment;
use crate::history::{AcceptedWrite, History};
use crate::server::Server;
use crate::store::TestStore;

/// How many connections a server accepts.
const CONNECTIONS_PER_SERVER: u32 = 260;

/// How many servers one request may be sent to.
const MAX_ATTEMPTS: u32 = 3;

/// Writes to the store and records what the store accepted.
#[derive(Debug)]
pub struct Operator {
    deployment: Rc<Deployment>,
    store: TestStore,
    history: Rc<History>,
    version: Cell<u64>,
    quota_share: Cell<f64>,
    key_generation: Cell<u64>,
}

impl Operator {
    /// Returns an operator that has written nothing yet.
    pub fn new(deployment: Rc<Deployment>, store: TestStore, history: Rc<History>) -> Self {
        Self {
            deployment,
            store,
            history,
            version: Cell::new(0),
            quota_share: Cell::new(1.0),
            key_generation: Cell::new(0),
        }
    }

    /// Lowers all quotas to a share of what they were at first.
    pub fn lower_quotas(&self, share: f64) {
        self.quota_share.set(self.quota_share.get().min(share));
        self.write_next_configuration();
        let share = self.quota_share.get();
        self.history
            .record_write(AcceptedWrite::QuotasLowered { share });
    }

    /// Takes the keys of all workspaces away and gives them others.
    pub fn take_keys(&self) {
        let generation = self.key_generation.get() + 1;
        self.key_generation.set(generation);
        self.write_next_configuration();
        self.history
            .record_write(AcceptedWrite::KeysTaken { generation });
    }

    /// Returns the generation of the keys in force.
    pub fn key_generation(&self) -> u64 {
        self.key_generation.get()
    }

    fn workspaces(&self) -> Option<Workspaces> {
        let all = self.deployment.workspaces.iter().map(|workspace| {
            let key = key(&workspace.name, self.key_generation.get());
            let per_s = workspace.per_s * self.quota_share.get();
            let burst = workspace.burst * self.quota_share.get();
            Workspace::new(&workspace.name, &[&key], None, per_s, burst).ok()
        });
        let all: Option<Vec<_>> = all.collect();
        let all = all.filter(|all| !all.is_empty())?;
        Workspaces::new(all).ok()
    }

    /// Writes the next configuration, which has one route more than the last; returns its version.
    pub fn write_next_configuration(&self) -> u64 {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.store
            .0
            .write_configuration(self.configuration(version));
        self.history
            .record_write(AcceptedWrite::Configuration { version });
        version
    }

    fn configuration(&self, version: u64) -> Configuration {
        let kinds = self.deployment.kinds.iter().map(|kind| {
            let target = Duration::from_millis(kind.target_ms);
            let timeout = Duration::from_millis(kind.deadline_ms);
            route(&kind.name, &kind.service, kind.contract, target, timeout)
        });
        let service = &self.deployment.services[0].name;
        let added = (1..=version).map(|added| {
            let second = Duration::from_secs(1);
            let name = version_route_name(added);
            let added = route(&name, service, Contract::RetryFreely, second, second);
            Route {
                is_public: true,
                ..added
            }
        });
        let services = self.deployment.services.iter().map(|service| {
            let cold_start = (service.cold_per_s > 0.0).then(|| ColdStart {
                lasts: Duration::from_millis(service.cold_ms),
                per_1000_s: (service.cold_per_s * 1000.0) as u64,
            });
            let service_settings = Service {
                health_path: RequestPath::parse("/health").ok(),
                most_connections: CONNECTIONS_PER_SERVER,
                cold_start,
            };
            (service.name.as_str().into(), service_settings)
        });
        let routes = kinds.chain(added).collect();
        let whole = Configuration::new(version, routes, services.collect(), Limits::default());
        whole.with_workspaces(self.workspaces())
    }

    /// Writes the entry of a server.
    pub fn write_server(&self, server: &Server) {
        self.store.0.write_backend_server(BackendServer {
            name: server.name.as_str().into(),
            service: server.service.name.as_str().into(),
            address: server.address,
            zone: format!("zone-{}", server.zone).into(),
            slots: server.service.slots,
            draining: server.is_draining.get(),
            cold_for: server.cold_for(),
            started_at: None,
        });
        if server.is_draining.get() {
            self.record_leaving(server);
        }
    }

    /// Removes the entry of a server that serves on.
    pub fn remove_server(&self, server: &Server) {
        server.is_removed.set(true);
        self.store.0.remove_backend_server(&server.name);
        self.record_leaving(server);
    }

    /// Records that the store has accepted that a server leaves, if it had not before.
    fn record_leaving(&self, server: &Server) {
        let leaving = AcceptedWrite::ServerLeaving {
            server: server.index,
        };
        let writes = self.history.accepted_writes.borrow();
        let is_known = writes.iter().any(|(_, write)| *write == leaving);
        drop(writes);
        if !is_known {
            self.history.record_write(leaving);
        }
    }

    /// Evacuates a zone, or ends its evacuation.
    pub fn set_evacuated(&self, zone: usize, is_evacuated: bool) {
        self.store
            .0
            .set_evacuated(&format!("zone-{zone}"), is_evacuated);
        self.history.record_write(match is_evacuated {
            true => AcceptedWrite::ZoneEvacuated { zone },
            false => AcceptedWrite::ZoneReinstated { zone },
        });
    }

    /// Writes the configuration and evacuations in force again, to a store that may lack them.
    pub fn rewrite(&self) {
        let configuration = self.configuration(self.version.get());
        self.store.0.write_configuration(configuration);
        for zone in 0..self.deployment.zones.len() {
            let mut writes = self
                .history
                .accepted_writes
                .borrow()
                .clone()
                .into_iter()
                .rev();
            let last_write = writes.find(|(_, write)| {
                *write == AcceptedWrite::ZoneEvacuated { zone }
                    || *write == AcceptedWrite::ZoneReinstated { zone }
            });
            let is_evacuated =
                last_write.is_some_and(|(_, write)| write == AcceptedWrite::ZoneEvacuated { zone });
            self.store
                .0
                .set_evacuated(&format!("zone-{zone}"), is_evacuated);
        }
    }

    /// Returns the version of the last configuration written.
    pub fn version(&self) -> u64 {
        self.version.get()
    }
}

/// Returns the key of a workspace in a generation.
pub fn key(workspace: &str, generation: u64) -> String {
    format!("key-{generation}-of-{workspace}")
}

/// Returns the name of the route that a version adds.
pub fn version_route_name(version: u64) -> String {
    format!("version-{version}")
}

fn route(
    name: &str,
    service: &str,
    contract: Contract,
    target: Duration,
    timeout: Duration,
) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: format!("/{name}/"),
        contract,
        target,
        timeout,
        most_attempts: MAX_ATTEMPTS,
        is_public: false,
        priority: 1,
        destinations: vec![Destination {
            service: service.into(),
            weight: 1,
        }],
    }
}
