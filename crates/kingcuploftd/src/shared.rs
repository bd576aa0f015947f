//! The daemon's one context: built once, passed by reference to every duty.

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

/// What every duty may read.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// This VM.
    pub vm: Vm,
    /// The manifest in force; generation 0 until one is known.
    pub accepted: ArcSwap<AcceptedManifest>,
    /// The hosts of the manifest in force; empty until one is known.
    pub routes: ArcSwap<Routes>,
    /// What is known of the manifest, in force or not.
    pub manifest: ManifestState,
    /// What is known of the fleet.
    pub fleet: FleetState,
    /// The last decisions, for operators.
    pub decisions: DecisionLog,
    /// The counters.
    pub metrics: Metrics,
    /// The ring to the dispatch duty.
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
    /// Builds the context.
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

    /// Puts a manifest in force on this VM, for callers first and then for the dispatch duty.
    pub fn activate_manifest(&self, accepted: AcceptedManifest) {
        self.routes.store(Arc::new(Routes::new(&accepted.manifest)));
        self.accepted.store(Arc::new(accepted.clone()));
        drop(self.dispatch.send(Message::ManifestAdopted(accepted)));
    }

    /// Tells whether this VM is one of those that watch the store for manifests.
    pub fn watches_store(&self) -> bool {
        self.fleet.membership().watches_store()
    }

    /// Tells whether the platform's balancer may send callers here.
    pub fn ready(&self) -> bool {
        !self.stopping() && self.accepted.load().generation > 0
    }

    /// Tells whether a planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Closes the door to callers: what is in flight may go on until `until`.
    pub fn close(&self, until: Instant) {
        self.closing.send_replace(Some(until));
    }

    /// Returns a watch on the door: `None` while it is open, else until when requests may go on.
    pub fn closing(&self) -> watch::Receiver<Option<Instant>> {
        self.closing.subscribe()
    }

    /// Tells whether nothing is in flight any more and every duty should end.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::Acquire)
    }

    /// Tells every duty to end.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
    }

    /// Returns the number of a new request.
    pub fn next_request(&self) -> RequestId {
        self.last_request.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns a request's name, unique in the fleet and over this VM's lives.
    pub fn request_name(&self, request: RequestId) -> String {
        let vm = &self.vm;
        format!("{}-{:x}-{request}", vm.name, vm.incarnation)
    }

    /// Tells how many entry VMs are live, this one included.
    pub fn set_live_vms(&self, live_vms: usize) {
        self.live_vms.store(live_vms.max(1), Ordering::Relaxed);
    }

    /// Returns this VM's share of the connections that a call's backend server accepts.
    pub fn connection_share(&self, call: &Call) -> usize {
        let servers = &call.route.service.backend_servers;
        let server = servers.iter().find(|s| s.name == call.backend_server);
        let connections = server.map_or(1, |server| server.connections as usize);
        (connections / self.live_vms.load(Ordering::Relaxed)).max(1)
    }
}

/// Builds the view of a VM that knows only itself.
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
