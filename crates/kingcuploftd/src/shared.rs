//! The state that all threads of the daemon share: built once at start and passed by reference.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

use arc_swap::ArcSwap;
use crossbeam_channel::Sender;
use kingcuploft::decisions::membership::{Member, MemberState, Membership};
use kingcuploft::dispatcher::Call;
use kingcuploft::manifest::AcceptedManifest;
use kingcuploft::manifest::routing::Routes;
use kingcuploft::world::ids::RequestId;
use kingcuploft::world::vm::Vm;
use tokio::sync::watch;

use crate::backend_edge::CallRegistry;
use crate::decision_log::DecisionLog;
use crate::fleet_state::FleetState;
use crate::manifest_state::ManifestState;
use crate::message::Message;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// The state that all threads of the daemon share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// This VM.
    pub vm: Vm,
    /// The active manifest; generation 0 until one is known.
    pub accepted: ArcSwap<AcceptedManifest>,
    /// The routing table of the active manifest; empty until one is known.
    pub routes: ArcSwap<Routes>,
    /// The state of the manifest's adoption.
    pub manifest: ManifestState,
    /// The members and drains of the fleet.
    pub fleet: FleetState,
    /// The latest decisions, for operators.
    pub decisions: DecisionLog,
    /// The metrics.
    pub metrics: Metrics,
    /// The channel to the dispatch thread.
    pub dispatch: Sender<Message>,
    /// The calls in flight and the connections to backend servers.
    pub calls: CallRegistry,
    live_vms: AtomicUsize,
    stopping: AtomicBool,
    closing: watch::Sender<Option<Instant>>,
    ended: AtomicBool,
    last_request: AtomicU64,
}

impl Shared {
    /// Builds the shared state.
    pub fn new(settings: Settings, vm: Vm, dispatch: Sender<Message>) -> Arc<Self> {
        let live_vms = settings.limits.vms;
        let fleet = FleetState::new(membership(&settings, &vm));
        Arc::new(Self {
            settings,
            vm,
            accepted: ArcSwap::default(),
            routes: ArcSwap::default(),
            manifest: ManifestState::default(),
            fleet,
            decisions: DecisionLog::default(),
            metrics: Metrics::default(),
            dispatch,
            calls: CallRegistry::default(),
            live_vms: AtomicUsize::new(live_vms),
            stopping: AtomicBool::new(false),
            closing: watch::Sender::new(None),
            ended: AtomicBool::new(false),
            last_request: AtomicU64::new(0),
        })
    }

    /// Activates a manifest on this VM: first the routing of new requests, then the dispatch thread.
    pub fn activate_manifest(&self, accepted: AcceptedManifest) {
        self.routes.store(Arc::new(Routes::new(&accepted.manifest)));
        self.accepted.store(Arc::new(accepted.clone()));
        drop(self.dispatch.send(Message::ManifestAdopted(accepted)));
    }

    /// Returns whether this VM is one of those that watch the store for manifests.
    pub fn watches_store(&self) -> bool {
        self.fleet.membership().watches_store()
    }

    /// Returns whether the platform's balancer may send callers to this VM.
    pub fn ready(&self) -> bool {
        !self.stopping() && self.accepted.load().generation > 0
    }

    /// Returns whether a planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Stops accepting connections; requests in flight may continue until `until`.
    pub fn close(&self, until: Instant) {
        self.closing.send_replace(Some(until));
    }

    /// Returns a watch on whether connections are accepted: `None` while they are, else until when requests in flight
    /// may continue.
    pub fn closing(&self) -> watch::Receiver<Option<Instant>> {
        self.closing.subscribe()
    }

    /// Returns whether nothing is in flight any more and every thread should end.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Signals every thread to end.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    /// Returns the number of a new request.
    pub fn next_request(&self) -> RequestId {
        self.last_request.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns a request's id for callers and logs, unique in the fleet and over this VM's incarnations.
    pub fn request_name(&self, request: RequestId) -> String {
        let vm = &self.vm;
        format!("{}-{:x}-{request}", vm.name, vm.incarnation)
    }

    /// Sets the number of live entry VMs, this one included.
    pub fn set_live_vms(&self, live_vms: usize) {
        self.live_vms.store(live_vms.max(1), Ordering::Relaxed);
    }

    /// Returns this VM's share of the connections that a call's backend server accepts, at least 1.
    pub fn connection_share(&self, call: &Call) -> usize {
        let servers = &call.route.service.backend_servers;
        let server = servers.iter().find(|s| s.name == call.backend_server);
        let connections = server.map_or(1, |server| server.connections as usize);
        (connections / self.live_vms.load(Ordering::Relaxed)).max(1)
    }
}

/// Builds the membership of a VM that knows only itself.
fn membership(settings: &Settings, vm: &Vm) -> Membership {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let own = Member {
        name: vm.name.clone(),
        availability_zone: vm.availability_zone.clone(),
        address: settings.peer.address.unwrap_or(unspecified),
        incarnation: vm.incarnation,
        beat: 0,
        state: MemberState::Live,
    };
    Membership::new(own, settings.peer.membership.clone())
}
