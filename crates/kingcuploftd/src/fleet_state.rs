//! Keeps what this VM knows of the fleet: the members, the drains, and what is to be told.

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

/// How many messages may wait for the peer duty.
const MAX_QUEUED_UPDATES: usize = 1024;

/// How many drains are kept; a fleet of 10,000 backend servers replaces fewer at a time.
const MAX_DRAINS: usize = 4096;

/// How long a drain is kept that the manifest in force does not know: a newer one may.
const UNKNOWN_DRAIN_LIFETIME: Duration = Duration::from_secs(60);

/// A backend server that drains, at the place it drains.
#[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct DrainNotice {
    /// The service.
    pub service: ServiceName,
    /// The backend server.
    pub backend_server: BackendServerName,
    /// Where it listens: one that comes back elsewhere under its name does not drain.
    pub address: SocketAddr,
}

/// What other duties want told to the peers.
#[derive(Clone, Debug)]
pub enum PeerUpdate {
    /// A backend server drains.
    Draining(DrainNotice),
    /// Backend servers turned full or free.
    Notes(PeerNotes),
}

/// What this VM knows of the fleet.
#[derive(Debug)]
pub struct FleetState {
    membership: Mutex<Membership>,
    drains: Mutex<HashMap<DrainNotice, Instant>>,
    outbox: mpsc::Sender<PeerUpdate>,
    inbox: Mutex<Option<mpsc::Receiver<PeerUpdate>>>,
}

impl FleetState {
    /// Builds the view of a VM that knows only itself.
    pub fn new(membership: Membership) -> Self {
        let (outbox, inbox) = mpsc::channel(MAX_QUEUED_UPDATES);
        Self {
            membership: Mutex::new(membership),
            drains: Mutex::default(),
            outbox,
            inbox: Mutex::new(Some(inbox)),
        }
    }

    /// Returns the members for a look or a change.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        let lock = self.membership.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the end at which news arrive; the peer duty does this once.
    pub fn take_inbox(&self) -> Option<mpsc::Receiver<PeerUpdate>> {
        let mut inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
        inbox.take()
    }

    /// Hands news to the peer duty; where its ring is full they are counted and left out.
    pub fn send_to_peers(&self, shared: &Shared, update: PeerUpdate) {
        if self.outbox.try_send(update).is_err() {
            shared.metrics.fleet.peer_over_budget.inc();
        }
    }

    /// Takes a drain from any source but the dispatch duty: that is told, and the peers, if it is
    /// news.
    pub fn record_drain(&self, shared: &Shared, notice: DrainNotice) {
        if self.record_own_drain(shared, notice.clone()) {
            notify_dispatch(shared, &shared.accepted.load().manifest, &notice);
        }
    }

    /// Takes a drain that the dispatch duty saw itself; tells whether it is news.
    ///
    /// The dispatch duty must not be sent what it is the reader of: its ring may be full.
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

    /// Returns the drains that are known.
    pub fn drains(&self) -> Vec<DrainNotice> {
        let drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        let mut drains: Vec<DrainNotice> = drains.keys().cloned().collect();
        drains
            .sort_by(|a, b| (&a.service, &a.backend_server).cmp(&(&b.service, &b.backend_server)));
        drains
    }

    /// Tells the dispatch duty of the drains that a manifest that has come in force knows, and
    /// forgets those of backend servers that are no more.
    pub fn match_drains(&self, shared: &Shared, manifest: &Manifest) {
        let mut drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        drains.retain(|notice, since| {
            notify_dispatch(shared, manifest, notice) || since.elapsed() < UNKNOWN_DRAIN_LIFETIME
        });
    }

    /// Sets the metrics of the fleet and how many VMs share the backend servers.
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

    /// Returns how many VMs share the backend servers.
    ///
    /// A VM that hears nobody has lost its links rather than its fleet: it goes by the number in
    /// its settings. To take the whole of every backend server would be the costlier mistake.
    pub fn sharing_vm_count(&self, shared: &Shared) -> usize {
        match self.membership().serving_vms() {
            1 => shared.settings.limits.vms,
            sharing => sharing,
        }
    }

    /// Returns every member that is known, this VM included.
    pub fn members(&self) -> Vec<Member> {
        self.membership().members()
    }
}

/// Tells the dispatch duty of a drain if the manifest has the backend server at that place.
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

/// Returns the place of a backend server in a manifest.
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
