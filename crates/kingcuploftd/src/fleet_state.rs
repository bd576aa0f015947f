//! This VM's view of the fleet: the members, the drains, and the queue of updates for the peers.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kingcuploft::decisions::membership::{Member, MemberState, Membership};
use kingcuploft::dispatcher::PeerNotes;
use kingcuploft::manifest::Manifest;
use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::{BackendServerName, ServiceName};
use tokio::sync::mpsc;

use crate::message::Message;
use crate::shared::Shared;

/// The most updates that wait for the peer thread.
const MAX_QUEUED_UPDATES: usize = 1024;

/// The most drains that are kept; a fleet of 10,000 backend servers replaces fewer at a time.
const MAX_DRAINS: usize = 4096;

/// How long a drain is kept whose backend server the active manifest does not contain: a newer manifest may.
const UNKNOWN_DRAIN_LIFETIME: Duration = Duration::from_secs(60);

/// A draining backend server, identified by service, name and address.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct DrainNotice {
    /// The service.
    pub service: ServiceName,
    /// The backend server.
    pub backend_server: BackendServerName,
    /// Its address: a backend server that returns under its name at another address is not draining.
    pub address: SocketAddr,
}

/// An update that another thread sends to the peers.
#[derive(Clone, Debug)]
pub enum PeerUpdate {
    /// A backend server is draining.
    Draining(DrainNotice),
    /// Load notes: backend servers became full or free.
    Notes(PeerNotes),
}

/// This VM's view of the fleet.
#[derive(Debug)]
pub struct FleetState {
    membership: Mutex<Membership>,
    drains: Mutex<HashMap<DrainNotice, Instant>>,
    outbox: mpsc::Sender<PeerUpdate>,
    inbox: Mutex<Option<mpsc::Receiver<PeerUpdate>>>,
}

impl FleetState {
    /// Builds the view from a membership, without drains.
    pub fn new(membership: Membership) -> Self {
        let (outbox, inbox) = mpsc::channel(MAX_QUEUED_UPDATES);
        Self {
            membership: Mutex::new(membership),
            drains: Mutex::default(),
            outbox,
            inbox: Mutex::new(Some(inbox)),
        }
    }

    /// Locks and returns the membership.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        let lock = self.membership.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the receiving end of the update queue; the peer thread does this once.
    pub fn take_inbox(&self) -> Option<mpsc::Receiver<PeerUpdate>> {
        let mut inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
        inbox.take()
    }

    /// Sends an update to the peer thread; if its channel is full, the update is counted and dropped.
    pub fn send_to_peers(&self, shared: &Shared, update: PeerUpdate) {
        if self.outbox.try_send(update).is_err() {
            shared.metrics.fleet.peer_over_budget.inc();
        }
    }

    /// Records a drain from any source but the dispatch thread; a new one is sent to the dispatch thread and the peers.
    pub fn record_drain(&self, shared: &Shared, notice: DrainNotice) {
        if self.record_own_drain(shared, notice.clone()) {
            notify_dispatch(shared, &shared.accepted.load().manifest, &notice);
        }
    }

    /// Records a drain that the dispatch thread detected, and sends it to the peers; returns whether it is new.
    ///
    /// It is not sent to the dispatch thread: that thread would block on its own channel if the channel were full.
    pub fn record_own_drain(&self, shared: &Shared, notice: DrainNotice) -> bool {
        let mut drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        if drains.contains_key(&notice) {
            return false;
        }
        if drains.len() >= MAX_DRAINS {
            shared.metrics.fleet.peer_over_budget.inc();
            return false;
        }
        drains.insert(notice.clone(), Instant::now());
        drop(drains);
        let DrainNotice {
            service,
            backend_server,
            address,
        } = &notice;
        tracing::info!("drain: {backend_server} of {service} at {address} is leaving.");
        self.send_to_peers(shared, PeerUpdate::Draining(notice));
        true
    }

    /// Returns the known drains, sorted by service and backend server.
    pub fn drains(&self) -> Vec<DrainNotice> {
        let drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        let mut drains: Vec<DrainNotice> = drains.keys().cloned().collect();
        drains
            .sort_by(|a, b| (&a.service, &a.backend_server).cmp(&(&b.service, &b.backend_server)));
        drains
    }

    /// Sends the dispatch thread the drains whose backend servers a newly activated manifest contains, and removes
    /// those of backend servers that it has not contained for a while.
    pub fn match_drains(&self, shared: &Shared, manifest: &Manifest) {
        let mut drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        drains.retain(|notice, since| {
            notify_dispatch(shared, manifest, notice) || since.elapsed() < UNKNOWN_DRAIN_LIFETIME
        });
    }

    /// Updates the member metrics and the number of VMs that share the backend servers.
    pub fn update_metrics(&self, shared: &Shared) {
        let membership = self.membership();
        let members = membership.members();
        let metrics = &shared.metrics.fleet;
        for state in MemberState::ALL {
            let count = members.iter().filter(|m| m.state == state).count();
            metrics.set_members(state.label(), count);
        }
        drop(membership);
        shared.set_live_vms(self.sharing_vm_count(shared));
    }

    /// Returns the number of VMs that share the backend servers.
    ///
    /// Failure: a VM without any live peer has probably lost its links and not its fleet. It then uses the number in
    /// its settings, because taking every backend server's whole capacity for itself would overload the servers.
    pub fn sharing_vm_count(&self, shared: &Shared) -> usize {
        match self.membership().serving_vms() {
            1 => shared.settings.limits.vms,
            sharing => sharing,
        }
    }

    /// Returns all known members, this VM included.
    pub fn members(&self) -> Vec<Member> {
        self.membership().members()
    }
}

/// Sends a drain to the dispatch thread if the manifest contains the backend server at that address; returns whether it
/// does.
fn notify_dispatch(shared: &Shared, manifest: &Manifest, notice: &DrainNotice) -> bool {
    let service = manifest.services.iter().find(|s| s.name == notice.service);
    let mut servers = service.iter().flat_map(|s| &s.backend_servers);
    let known = servers
        .any(|server| server.name == notice.backend_server && server.address == notice.address);
    if known {
        let (service, server) = (notice.service.clone(), notice.backend_server.clone());
        drop(
            shared
                .dispatch
                .send(Message::ServerDraining(service, server)),
        );
    }
    known
}

/// Returns the drain notice of a backend server, with its address in the manifest; `None` if it is not there.
pub fn drain_notice(
    manifest: &Manifest,
    service: &ServiceName,
    server: &BackendServerName,
) -> Option<DrainNotice> {
    let found = manifest.services.iter().find(|s| s.name == *service)?;
    let server = found.backend_servers.iter().find(|s| s.name == *server)?;
    Some(DrainNotice {
        service: service.clone(),
        backend_server: server.name.clone(),
        address: server.address,
    })
}
