//! The backend servers that requests may be sent to, as upstreams of this VM.

use std::rc::Rc;
use std::time::Instant;

use kingcuploft::entry::backend_servers::Change;
use kingcuploft::entry::connections;
use kingcuploft::entry::server_order::{Distance, ServerOrder, Shortlist, Suitability};
use kingcuploft::entry::vm_count::VmCount;
use kingcuploft::utils::{HashMap, HashSet};
use kingcuploft::world::ids::{BackendServerName, ServiceName};

use crate::clock;
use crate::context::Context;
use crate::pauses;
use crate::upstream::Upstream;

/// The upstreams of the servers that requests may be sent to.
#[derive(Debug, Default)]
pub(crate) struct UsableServers {
    by_service: HashMap<ServiceName, ServerOrder<Rc<Upstream>>>,
    by_name: HashMap<BackendServerName, Rc<Upstream>>,
}

/// The number of changes from which on the orders are rebuilt rather than changed one by one: each change moves half of an
/// order.
const MANY_CHANGES: usize = 32;

impl UsableServers {
    /// Removes the upstreams of these servers, and adds these upstreams.
    fn apply(&mut self, dropped: &HashSet<&BackendServerName>, added: Vec<Rc<Upstream>>) {
        match dropped.len() + added.len() >= MANY_CHANGES {
            true => self.rebuild(dropped, added),
            false => {
                dropped.iter().for_each(|name| self.remove(name));
                added.into_iter().for_each(|upstream| self.insert(upstream));
            }
        }
    }

    fn rebuild(&mut self, dropped: &HashSet<&BackendServerName>, added: Vec<Rc<Upstream>>) {
        let mut is_any_gone = false;
        for name in dropped {
            is_any_gone |= self.by_name.remove(*name).is_some();
        }
        if is_any_gone {
            for of_service in self.by_service.values_mut() {
                of_service.retain(|upstream| !dropped.contains(&upstream.server.name));
            }
        }
        let mut by_service: HashMap<ServiceName, Vec<_>> = HashMap::default();
        for upstream in added {
            let server = &upstream.server;
            self.by_name.insert(server.name.clone(), upstream.clone());
            let of_service = by_service.entry(server.service.clone()).or_default();
            of_service.push((distance(&upstream), upstream.rank, upstream));
        }
        for (service, added) in by_service {
            self.by_service.entry(service).or_default().extend(added);
        }
    }

    fn insert(&mut self, upstream: Rc<Upstream>) {
        let server = &upstream.server;
        let of_service = self.by_service.entry(server.service.clone()).or_default();
        of_service.insert(distance(&upstream), upstream.rank, upstream.clone());
        self.by_name.insert(server.name.clone(), upstream);
    }

    fn remove(&mut self, name: &BackendServerName) {
        let Some(upstream) = self.by_name.remove(name) else {
            return;
        };
        if let Some(of_service) = self.by_service.get_mut(&upstream.server.service) {
            let is_meant = |other: &Rc<Upstream>| Rc::ptr_eq(other, &upstream);
            of_service.remove(distance(&upstream), upstream.rank, is_meant);
        }
    }
}

fn distance(upstream: &Upstream) -> Distance {
    match upstream.near {
        true => Distance::Near,
        false => Distance::Far,
    }
}

impl Context {
    /// Applies changes of the backend servers: creates the upstreams of servers that joined and drops those of servers
    /// that left, with their connections and load reports.
    pub fn apply_server_changes(&self, now: Instant, changes: &[Change]) {
        let mut dropped = HashSet::default();
        let mut added = HashSet::default();
        for change in changes {
            match change {
                Change::Joined(name) => {
                    dropped.insert(name);
                    added.insert(name);
                }
                Change::Left(name) => {
                    dropped.insert(name);
                    added.remove(name);
                }
                Change::Updated(_) | Change::Lapsed(_) => {}
            }
        }
        if dropped.is_empty() {
            return;
        }
        self.reach.forget_servers(dropped.iter().copied());
        let servers = self.servers.borrow();
        let added = added.into_iter().filter_map(|name| {
            let server = servers.get_shared(name)?;
            let near = server.zone == self.settings.zone;
            let upstream = Upstream::new(server, &self.settings.vm, near, now);
            upstream
                .inspect_err(|why| self.record_unreadable(name, why))
                .ok()
                .map(Rc::new)
        });
        let added = added.collect();
        self.upstreams.borrow_mut().apply(&dropped, added);
    }

    /// Calls `operation` with the servers of a service that may get work, those of the own zone first, and returns its
    /// result.
    ///
    /// Each VM has its own order of the servers within a zone. It probes the first few, so that its connections stay in
    /// use, and the VMs together probe all.
    pub fn with_upstreams<T>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut dyn Iterator<Item = &Rc<Upstream>>) -> T,
    ) -> T {
        let upstreams = self.upstreams.borrow();
        let evacuations = self.evacuations.borrow();
        let of_service = upstreams.by_service.get(service);
        let all = of_service.into_iter().flat_map(ServerOrder::iter);
        let mut open = all.filter(|upstream| !evacuations.is_evacuated(&upstream.server.zone));
        operation(&mut open)
    }

    /// As [`Self::with_upstreams`], without the servers that want nothing from this VM now.
    pub fn with_unpaused_upstreams<T>(
        &self,
        service: &ServiceName,
        now: Instant,
        operation: impl FnOnce(&mut dyn Iterator<Item = &Rc<Upstream>>) -> T,
    ) -> T {
        let is_unpaused = |u: &&Rc<Upstream>| !pauses::is_paused(self, now, &u.server.name);
        self.with_upstreams(service, |upstreams| {
            operation(&mut upstreams.filter(is_unpaused))
        })
    }

    /// Returns all servers of a service that may get work, in this VM's order.
    pub fn upstreams(&self, service: &ServiceName) -> Vec<Rc<Upstream>> {
        self.with_upstreams(service, |open| open.cloned().collect())
    }

    /// Returns the first servers of a service that suit a request best by `judge`, which is asked only about those
    /// outside of evacuated zones.
    pub fn shortlist(
        &self,
        service: &ServiceName,
        judge: impl Fn(&Upstream) -> Suitability,
    ) -> Shortlist<Rc<Upstream>> {
        let upstreams = self.upstreams.borrow();
        let evacuations = self.evacuations.borrow();
        let Some(of_service) = upstreams.by_service.get(service) else {
            return Shortlist::default();
        };
        of_service.shortlist(|upstream: &Rc<Upstream>| {
            match evacuations.is_evacuated(&upstream.server.zone) {
                true => Suitability::Unusable,
                false => judge(upstream),
            }
        })
    }

    /// Returns how many servers all services have, in evacuated zones too.
    pub fn total_upstream_count(&self) -> usize {
        self.upstreams.borrow().by_name.len()
    }

    /// Returns the servers of all services and zones.
    pub fn all_upstreams(&self) -> Vec<Rc<Upstream>> {
        let upstreams = self.upstreams.borrow();
        let all = upstreams.by_service.values().flat_map(ServerOrder::iter);
        all.cloned().collect()
    }

    /// Returns whether a service has servers, and all are in evacuated zones.
    pub fn is_evacuated(&self, service: &ServiceName) -> bool {
        let upstreams = self.upstreams.borrow();
        let evacuations = self.evacuations.borrow();
        let of_service = upstreams.by_service.get(service);
        let of_service = of_service.filter(|all| !all.is_empty());
        // From the end, where zones alternate: those of the own zone come first, and may be a thousand.
        of_service.is_some_and(|all| {
            let mut all = all.iter().rev();
            all.all(|u| evacuations.is_evacuated(&u.server.zone))
        })
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
            (Some(service), VmCount::Counted(vms)) => {
                connections::per_vm_limit(service.most_connections, vms)
            }
            (None, _) | (_, VmCount::Uncounted) => usize::MAX,
        }
    }

    /// Returns the server of this name, if it may get work.
    pub fn upstream(&self, name: &str) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().by_name.get(name).cloned()
    }
}
