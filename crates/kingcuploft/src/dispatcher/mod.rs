//! The dispatcher of one entry VM: a state machine that joins the decisions.
//!
//! Events come in with the time they happened, actions come out. The daemon's dispatch thread and
//! the scenario tests run the very same code.

mod adoption;
mod attempt_end;
mod attempts;
pub mod explain;
mod hedging;
mod load_updates;
mod peer_notes;
mod probing;
mod request;
mod request_end;
mod retry_queue;
mod service_state;
mod timers;

use std::time::Instant;

use crate::decisions::admission::{AdmissionDecision, QueuedRequest};
use crate::decisions::hedge::HedgeStep;
use crate::decisions::retry::RetryReason;
use crate::manifest::AcceptedManifest;
use crate::manifest::routing::Route;
use crate::utils::HashMap;
use crate::world::backend_server::CallReport;
use crate::world::ids::{
    AttemptId, BackendServerName, Caller, Generation, IdempotencyKey, RequestId, ServiceName,
    VmName,
};
use crate::world::refusal::{Refusal, RefusalReason};
use crate::world::vm::Vm;

use explain::{Decision, Explanation, ExplanationLog, LoadSnapshot, Query};
pub use peer_notes::PeerNotes;
pub use probing::{Probe, ProbeResult};
use request::{Attempt, Claim, Request};
use service_state::{Pick, ServiceState};
use timers::Timers;

/// A request as the caller edge hands it in, its route found and its body read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// The service and rule.
    pub route: Route,
    /// Who sent it.
    pub caller: Caller,
    /// Its idempotency key, if it has one.
    pub key: Option<IdempotencyKey>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer is due.
    pub deadline: Instant,
}

/// What the claim of a protected request came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The claim is held: the request may be sent once.
    Held,
    /// The request must not be sent; the claims' duty answers the caller with this or with a
    /// recorded answer.
    Refused(Refusal),
    /// An earlier answer is replayed by the claims' duty.
    Replayed,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Arrival),
    /// The claim of a request was settled.
    Claimed(RequestId, ClaimResult),
    /// An attempt ended.
    AttemptEnded(AttemptId, CallReport),
    /// The caller of a request went away.
    CallerDisconnected(RequestId),
    /// A manifest is in force from now on.
    ManifestAdopted(AcceptedManifest),
    /// A backend server drains, by the word of a peer, the VM list or an operator.
    ServerDraining(ServiceName, BackendServerName),
    /// These VMs are live, this one among them; it decides only costs.
    MembershipChanged(Vec<VmName>),
    /// A peer told its notes.
    NotesReceived(PeerNotes),
    /// A probe came back, or failed.
    Probed(ProbeResult),
    /// So many entry VMs are live, this one included.
    LiveVmCount(u32),
    /// Time passed.
    Tick,
}

/// What to do next.
#[derive(Clone, Debug)]
pub enum Action {
    /// Claim the request's idempotency key before anything is sent.
    Claim(RequestId),
    /// Give the claim back: nothing was sent.
    Release(RequestId),
    /// Record how the protected request ended; `None` where that is not known.
    Acknowledge(RequestId, Option<AttemptId>),
    /// Call a backend server.
    Call(Call),
    /// Cancel a call whose answer is not wanted any more.
    Cancel(AttemptId),
    /// Pass the answer of an attempt on to the caller.
    Answer(RequestId, AttemptId),
    /// Refuse the request.
    Refuse(RequestId, Refusal),
    /// Tell the peers that a backend server drains.
    ShareDraining(ServiceName, BackendServerName),
    /// Tell every live peer these notes.
    ShareNotes(PeerNotes),
    /// Probe a backend server.
    Probe(Probe),
    /// Count a retry.
    CountRetry(ServiceName, RetryReason),
    /// Count what became of a hedge.
    CountHedge(ServiceName, HedgeStep),
}

/// A call to a backend server.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub request: RequestId,
    /// This attempt at it.
    pub attempt: AttemptId,
    /// The service, as it stood when the request arrived.
    pub route: Route,
    /// The backend server's name.
    pub backend_server: BackendServerName,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// When the answer is due.
    pub deadline: Instant,
    /// Time from the request's arrival until this attempt.
    pub waited: std::time::Duration,
}

/// The state of one entry VM.
#[derive(Debug)]
pub struct Dispatcher {
    vm: Vm,
    /// The generation of the manifest in force.
    generation: Generation,
    /// The live VMs, as far as is known.
    live: Vec<VmName>,
    rng: fastrand::Rng,
    services: HashMap<ServiceName, ServiceState>,
    requests: HashMap<RequestId, Request>,
    attempts: HashMap<AttemptId, Attempt>,
    /// When each request that is not answered is due.
    timers: Timers,
    /// When each attempt that does not report is given up.
    attempt_timers: Timers,
    /// When each lookup in flight is looked at, whether to hedge it.
    look_timers: Timers,
    /// How many entry VMs are live, once that is known.
    live_vms: Option<u32>,
    /// The time of the last event.
    now: Option<Instant>,
    last_attempt: AttemptId,
    explained: ExplanationLog,
}

impl Dispatcher {
    /// Builds a dispatcher without a manifest.
    pub fn new(vm: Vm, seed: u64) -> Self {
        Self {
            vm,
            generation: 0,
            live: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            services: HashMap::default(),
            requests: HashMap::default(),
            attempts: HashMap::default(),
            timers: Timers::default(),
            attempt_timers: Timers::default(),
            look_timers: Timers::default(),
            live_vms: None,
            now: None,
            last_attempt: 0,
            explained: ExplanationLog::default(),
        }
    }

    /// Takes one event in and appends what to do next.
    pub fn on_event(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.now = Some(now);
        match event {
            Event::Arrived(arrival) => self.arrived(now, arrival, actions),
            Event::Claimed(request, end) => self.claimed(now, request, end, actions),
            Event::AttemptEnded(attempt, report) => self.ended(now, attempt, &report, actions),
            Event::CallerDisconnected(request) => self.caller_left(now, request, actions),
            Event::ManifestAdopted(accepted) => self.adopted(now, &accepted, actions),
            Event::ServerDraining(service, server) => self.draining(&service, &server, actions),
            Event::MembershipChanged(live) => self.membership(now, live),
            Event::Probed(probed) => self.probed(now, &probed, actions),
            Event::NotesReceived(notes) => self.notes_heard(now, &notes),
            Event::LiveVmCount(live_vms) => {
                self.live_vms = Some(live_vms);
                let states = self.services.values_mut();
                states.for_each(|state| state.live_vms(live_vms));
                self.pump_all(now, actions);
            }
            Event::Tick => self.tick(now, actions),
        }
        self.tell_notes(now, actions);
        self.probe(now, actions);
    }

    /// Returns when the next [`Event::Tick`] is due at the latest.
    pub fn next_tick(&self) -> Option<Instant> {
        let now = self.now?;
        let retries = self.services.values();
        let retries = retries.filter_map(|state| state.next_due(now));
        let timers = [
            self.timers.next(),
            self.attempt_timers.next(),
            self.look_timers.next(),
        ];
        timers.into_iter().flatten().chain(retries).min()
    }

    /// Returns how many requests wait, are in flight, or run on to be recorded.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns how many calls have not ended.
    pub fn calls_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns how many calls to a backend server of a service are counted as in flight.
    pub fn calls_in_flight_to(&self, service: &ServiceName, server: &BackendServerName) -> u32 {
        let state = self.services.get(service);
        state.map_or(0, |state| state.calls_at(server))
    }

    /// Returns the last decisions that fit, newest first.
    pub fn find_explanations(&self, now: Instant, query: &Query) -> Vec<Explanation> {
        self.explained.find(now, query)
    }

    /// Returns the load of each service.
    pub fn loads(&self) -> impl Iterator<Item = (&ServiceName, LoadSnapshot)> {
        let services = self.services.iter();
        services.map(|(name, state)| (name, state.load()))
    }

    /// Keeps a decision for who asks why.
    fn explain(&mut self, now: Instant, id: RequestId, request: &Request, decided: Decision) {
        let state = self.services.get(request.service());
        let load = state.map(|state| state.load_for(now, &request.waiting(id)));
        let explanation = Explanation {
            ago_ms: 0,
            request: id,
            service: request.service().clone(),
            rule: request.route.rule().name.clone(),
            caller: request.caller.clone(),
            waited_ms: explain::ms(now.saturating_duration_since(request.arrived)),
            load: load.unwrap_or_default(),
            decided,
        };
        self.explained.keep(now, explanation);
    }

    fn arrived(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>) {
        let id = arrival.request;
        let request = Request::new(arrival);
        let waiting = request.waiting(id);
        let Some(state) = self.services.get_mut(request.service()) else {
            let refusal = Refusal::not_run(RefusalReason::NoSuchService);
            return actions.push(Action::Refuse(id, refusal));
        };
        let claims = request.claim == Claim::Asked;
        if claims && let Some(refusal) = state.check(now, &waiting) {
            self.explain(now, id, &request, refusal.into());
            return actions.push(Action::Refuse(id, refusal));
        }
        let service = request.service().clone();
        self.timers.insert(request.deadline, id);
        self.requests.insert(id, request);
        if claims {
            return actions.push(Action::Claim(id));
        }
        self.enqueue(now, waiting, actions);
        self.pump(now, &service, actions);
    }

    /// Takes the end of a claim in. One that comes after its request has ended (its caller left,
    /// or its deadline passed) is given back, as nothing was sent.
    fn claimed(
        &mut self,
        now: Instant,
        id: RequestId,
        end: ClaimResult,
        actions: &mut Vec<Action>,
    ) {
        let asked = self.requests.get_mut(&id);
        let Some(request) = asked.filter(|request| request.claim == Claim::Asked) else {
            if end == ClaimResult::Held {
                actions.push(Action::Release(id));
            }
            return;
        };
        let waiting = request.waiting(id);
        let service = request.service().clone();
        match end {
            ClaimResult::Held => {
                request.claim = Claim::Held;
                if let Some(state) = self.services.get_mut(&service) {
                    state.claim_settled(&waiting.rule);
                }
                self.enqueue(now, waiting, actions);
            }
            ClaimResult::Refused(refusal) => self.refuse(id, refusal, actions),
            ClaimResult::Replayed => drop(self.forget(id)),
        }
        self.pump(now, &service, actions);
    }

    /// Queues a request whose claim, if it needs one, is held.
    fn enqueue(&mut self, now: Instant, waiting: QueuedRequest, actions: &mut Vec<Action>) {
        let id = waiting.request;
        let service = self.requests[&id].service();
        let offer = match self.services.get_mut(service) {
            Some(state) => state.offer(now, waiting),
            None => AdmissionDecision::Refused(Refusal::not_run(RefusalReason::NoSuchService)),
        };
        match offer {
            AdmissionDecision::Queued => {}
            AdmissionDecision::QueuedReplacing(other, refusal) => {
                self.refuse(other, refusal, actions)
            }
            AdmissionDecision::Refused(refusal) => self.refuse(id, refusal, actions),
        }
    }

    /// Sends waiting requests while there is room.
    fn pump(&mut self, now: Instant, service: &ServiceName, actions: &mut Vec<Action>) {
        while let Some(state) = self.services.get_mut(service) {
            match state.pick(now, &mut self.rng) {
                Pick::Idle => return,
                Pick::Refuse(id, refusal) => self.refuse(id, refusal, actions),
                Pick::Send(id, server) => self.call(now, id, server, actions),
            }
        }
    }

    fn draining(
        &mut self,
        service: &ServiceName,
        server: &BackendServerName,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        if state.draining(server) {
            actions.push(Action::ShareDraining(service.clone(), server.clone()));
        }
    }

    fn pump_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            self.pump(now, &name, actions);
        }
    }
}
