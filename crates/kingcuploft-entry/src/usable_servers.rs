//! The backend servers that requests may be sent to, as upstreams of this VM.

use std::rc::Rc;
use std::time::Instant;

use kingcuploft::entry::backend_servers::Change;
use kingcuploft::entry::connections;
use kingcuploft::utils::HashSet;
use kingcuploft::world::ids::ServiceName;

use crate::clock;
use crate::context::{Context, VMS_WHILE_UNCOUNTED};
use crate::pauses;
use crate::upstream::Upstream;

impl Context {
    /// Applies changes of the backend servers: creates the upstreams of servers that joined and drops those of servers
    /// that left, with their connections and load reports.
    pub fn apply_server_changes(&self, now: Instant, changes: &[Change]) {
        let mut dropped_names = HashSet::default();
        let mut added_names = HashSet::default();
        for change in changes {
            match change {
                Change::Joined(name) => {
                    dropped_names.insert(name);
                    added_names.insert(name);
                }
                Change::Left(name) => {
                    dropped_names.insert(name);
                    added_names.remove(name);
                }
                Change::Updated(_) | Change::Lapsed(_) => {}
            }
        }
        if dropped_names.is_empty() {
            return;
        }
        let mut upstreams = self.upstreams.borrow_mut();
        for of_service in upstreams.values_mut() {
            of_service.retain(|upstream| !dropped_names.contains(&upstream.server.name));
        }
        if added_names.is_empty() {
            return;
        }
        let servers = self.servers.borrow();
        for server in added_names.into_iter().filter_map(|name| servers.get(name)) {
            let near = server.zone == self.settings.zone;
            let upstream = Upstream::new(server.clone(), &self.settings.vm, near, now);
            let of_service = upstreams.entry(server.service.clone()).or_default();
            of_service.push(Rc::new(upstream));
        }
        for of_service in upstreams.values_mut() {
            of_service.sort_by_key(|upstream| (!upstream.near, upstream.rank));
        }
    }

    /// Returns the servers of a service that may get work, those of the own zone first.
    ///
    /// Each VM has its own order of the servers within a zone. It probes the first few, so that its connections stay in
    /// use, and the VMs together probe all.
    pub fn upstreams(&self, service: &ServiceName) -> Vec<Rc<Upstream>> {
        let upstreams = self.upstreams.borrow();
        let evacuations = self.evacuations.borrow();
        let of_service = upstreams.get(service).into_iter().flatten();
        let open = of_service.filter(|upstream| !evacuations.is_evacuated(&upstream.server.zone));
        open.cloned().collect()
    }

    /// Returns how many servers a service has, in evacuated zones too.
    pub fn upstream_count(&self, service: &ServiceName) -> usize {
        self.upstreams.borrow().get(service).map_or(0, Vec::len)
    }

    /// Returns the servers of all services and zones.
    pub fn all_upstreams(&self) -> Vec<Rc<Upstream>> {
        self.upstreams
            .borrow()
            .values()
            .flatten()
            .cloned()
            .collect()
    }

    /// Returns whether a service has servers, and all are in evacuated zones.
    pub fn is_evacuated(&self, service: &ServiceName) -> bool {
        let upstreams = self.upstreams.borrow();
        let evacuations = self.evacuations.borrow();
        let of_service = upstreams.get(service).filter(|all| !all.is_empty());
        of_service.is_some_and(|all| all.iter().all(|u| evacuations.is_evacuated(&u.server.zone)))
    }

    /// Returns whether a request may still be sent to the server that was selected for it.
    pub fn takes_work(&self, upstream: &Upstream) -> bool {
        let server = &upstream.server;
        let is_evacuated = self.evacuations.borrow().is_evacuated(&server.zone);
        let is_paused = pauses::is_paused(self, clock::now(), &server.name);
        !is_evacuated && !is_paused && self.servers.borrow().takes_work(&server.name)
    }

    /// Returns how many connections this VM may have to one server of a service; unlimited until the VMs are counted.
    pub fn connection_share(&self, service: &ServiceName) -> usize {
        let configuration = self.configuration();
        let services = configuration.as_ref().map(|c| &c.services);
        let service = services.and_then(|services| services.get(service));
        match (service, self.vm_count.get()) {
            (Some(service), vms) if vms != VMS_WHILE_UNCOUNTED => {
                connections::per_vm_limit(service.most_connections, vms)
            }
            _ => usize::MAX,
        }
    }

    /// Returns the server of this name, if it may get work.
    pub fn upstream(&self, name: &str) -> Option<Rc<Upstream>> {
        let upstreams = self.upstreams.borrow();
        let mut all = upstreams.values().flatten();
        all.find(|upstream| *upstream.server.name == *name).cloned()
    }
}
