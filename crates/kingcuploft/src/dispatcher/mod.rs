//! The request dispatcher of one entry VM: a state machine that takes events and returns actions.
//!
//! It combines admission, selection, concurrency limits, retries, hedges, drains and outlier detection for each
//! service. Each event carries the time at which it happened. The daemon's dispatch thread and the scenario tests run
//! the same code.

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
use request::{Attempt, ClaimState, Request};
use service_state::{Pick, ServiceState};
use timers::Timers;

/// A request from the caller edge, with its route found and its body read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's number on this VM.
    pub request: RequestId,
    /// The service and rule that serve it.
    pub route: Route,
    /// The caller that sent it.
    pub caller: Caller,
    /// The idempotency key, if the request has one.
    pub key: Option<IdempotencyKey>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the answer is due.
    pub deadline: Instant,
}

/// The result of claiming the idempotency key of a protected request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The claim is held: the request may be sent once.
    Held,
    /// The request must not be sent: its caller gets this refusal.
    Refused(Refusal),
    /// The claims duty answers the caller with the recorded answer of an earlier request.
    Replayed,
}

/// An input to the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived.
    Arrived(Arrival),
    /// The claim of a request succeeded or failed.
    Claimed(RequestId, ClaimResult),
    /// An attempt ended.
    AttemptEnded(AttemptId, CallReport),
    /// The caller of a request disconnected.
    CallerDisconnected(RequestId),
    /// A newly accepted manifest replaces the one in force.
    ManifestAdopted(AcceptedManifest),
    /// A backend server drains, as reported by a peer, the VM list or an operator.
    ServerDraining(ServiceName, BackendServerName),
    /// The live VMs, this one included. They decide which VM probes which servers and how often notes go out, never which
    /// request is served.
    MembershipChanged(Vec<VmName>),
    /// A peer sent its load notes.
    NotesReceived(PeerNotes),
    /// A probe was answered or failed.
    Probed(ProbeResult),
    /// The number of live entry VMs, this one included.
    LiveVmCount(u32),
    /// Runs the timers that are due.
    Tick,
}

/// An output of the dispatcher, for the caller of [`Dispatcher::on_event`] to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Claim the request's idempotency key before anything is sent.
    Claim(RequestId),
    /// Release the claim: nothing was sent.
    Release(RequestId),
    /// Record the answer of a protected request's attempt; `None` where it is not known how the request ended.
    Acknowledge(RequestId, Option<AttemptId>),
    /// Call a backend server.
    Call(Call),
    /// Cancel a call whose answer is no longer needed.
    Cancel(AttemptId),
    /// Forward the answer of an attempt to the caller.
    Answer(RequestId, AttemptId),
    /// Refuse the request.
    Refuse(RequestId, Refusal),
    /// Notify the peers that a backend server drains.
    ShareDraining(ServiceName, BackendServerName),
    /// Send these load notes to every live peer.
    ShareNotes(PeerNotes),
    /// Probe a backend server.
    Probe(Probe),
    /// Count a retry in the metrics.
    CountRetry(ServiceName, RetryReason),
    /// Count a step of a hedge (sent, won or cancelled) in the metrics.
    CountHedge(ServiceName, HedgeStep),
}

/// A call to a backend server.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub request: RequestId,
    /// The number of this attempt.
    pub attempt: AttemptId,
    /// The service and rule, as they were when the request arrived.
    pub route: Route,
    /// The backend server's name.
    pub backend_server: BackendServerName,
    /// The backend server's address.
    pub address: std::net::SocketAddr,
    /// When the answer is due.
    pub deadline: Instant,
    /// Time between the request's arrival and this attempt.
    pub waited: std::time::Duration,
}

/// The requests, attempts and services of one entry VM.
#[derive(Debug)]
pub struct Dispatcher {
    vm: Vm,
    /// The generation of the manifest in force.
    generation: Generation,
    /// The live VMs, as far as they are known.
    live_vm_names: Vec<VmName>,
    rng: fastrand::Rng,
    services: HashMap<ServiceName, ServiceState>,
    requests: HashMap<RequestId, Request>,
    attempts: HashMap<AttemptId, Attempt>,
    /// The deadline of each unanswered request.
    deadline_timers: Timers,
    /// When each attempt in flight is counted as ended if it has not reported.
    attempt_timers: Timers,
    /// When each lookup in flight is next checked for a hedge.
    hedge_timers: Timers,
    /// The number of live entry VMs, once it is known.
    live_vm_count: Option<u32>,
    /// The time of the last event.
    last_event_at: Option<Instant>,
    last_attempt: AttemptId,
    explanations: ExplanationLog,
}

impl Dispatcher {
    /// Builds a dispatcher without a manifest.
    pub fn new(vm: Vm, seed: u64) -> Self {
        Self {
            vm,
            generation: 0,
            live_vm_names: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            services: HashMap::default(),
            requests: HashMap::default(),
            attempts: HashMap::default(),
            deadline_timers: Timers::default(),
            attempt_timers: Timers::default(),
            hedge_timers: Timers::default(),
            live_vm_count: None,
            last_event_at: None,
            last_attempt: 0,
            explanations: ExplanationLog::default(),
        }
    }

    /// Handles one event and appends the actions that follow from it.
    pub fn on_event(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.last_event_at = Some(now);
        match event {
            Event::Arrived(arrival) => self.on_arrival(now, arrival, actions),
            Event::Claimed(request, end) => self.on_claim_result(now, request, end, actions),
            Event::AttemptEnded(attempt, report) => {
                self.on_attempt_end(now, attempt, &report, actions)
            }
            Event::CallerDisconnected(request) => self.on_caller_disconnect(now, request, actions),
            Event::ManifestAdopted(accepted) => self.adopt(now, &accepted, actions),
            Event::ServerDraining(service, server) => {
                self.on_server_draining(&service, &server, actions)
            }
            Event::MembershipChanged(live) => self.on_membership_change(now, live),
            Event::Probed(probed) => self.on_probe_result(now, &probed, actions),
            Event::NotesReceived(notes) => self.on_peer_notes(now, &notes),
            Event::LiveVmCount(live_vm_count) => {
                self.live_vm_count = Some(live_vm_count);
                let states = self.services.values_mut();
                states.for_each(|state| state.set_live_vm_count(live_vm_count));
                self.send_all_waiting(now, actions);
            }
            Event::Tick => self.on_tick(now, actions),
        }
        self.share_due_notes(now, actions);
        self.start_due_probes(now, actions);
    }

    /// Returns when the next [`Event::Tick`] is due at the latest.
    pub fn next_tick(&self) -> Option<Instant> {
        let now = self.last_event_at?;
        let retries = self.services.values();
        let retries = retries.filter_map(|state| state.next_due(now));
        let timers = [
            self.deadline_timers.next(),
            self.attempt_timers.next(),
            self.hedge_timers.next(),
        ];
        timers.into_iter().flatten().chain(retries).min()
    }

    /// Returns how many requests claim, wait or are in flight, or run on past their refusal so that their end is
    /// recorded.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of calls in flight.
    pub fn calls_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the number of calls in flight to a backend server of a service.
    pub fn calls_in_flight_to(&self, service: &ServiceName, server: &BackendServerName) -> u32 {
        let state = self.services.get(service);
        state.map_or(0, |state| state.calls_in_flight_to(server))
    }

    /// Returns the recorded decisions that match a query, newest first.
    pub fn find_explanations(&self, now: Instant, query: &Query) -> Vec<Explanation> {
        self.explanations.find(now, query)
    }

    /// Returns the current load of each service.
    pub fn loads(&self) -> impl Iterator<Item = (&ServiceName, LoadSnapshot)> {
        let services = self.services.iter();
        services.map(|(name, state)| (name, state.load()))
    }

    /// Records a decision and its inputs for operators.
    fn explain(&mut self, now: Instant, id: RequestId, request: &Request, decided: Decision) {
        let state = self.services.get(request.service());
        let load = state.map(|state| state.load_for(now, &request.queue_entry(id)));
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
        self.explanations.record(now, explanation);
    }

    fn on_arrival(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>) {
        let id = arrival.request;
        let request = Request::new(arrival);
        let waiting = request.queue_entry(id);
        let Some(state) = self.services.get_mut(request.service()) else {
            let refusal = Refusal::not_run(RefusalReason::NoSuchService);
            return actions.push(Action::Refuse(id, refusal));
        };
        let needs_claim = request.claim == ClaimState::Requested;
        if needs_claim && let Some(refusal) = state.check_before_claim(now, &waiting) {
            self.explain(now, id, &request, refusal.into());
            return actions.push(Action::Refuse(id, refusal));
        }
        let service = request.service().clone();
        self.deadline_timers.insert(request.deadline, id);
        self.requests.insert(id, request);
        if needs_claim {
            return actions.push(Action::Claim(id));
        }
        self.enqueue(now, waiting, actions);
        self.send_waiting(now, &service, actions);
    }

    /// Handles the result of a claim. A claim that succeeds after its request has ended (the caller disconnected, or
    /// the deadline passed) is released, because nothing was sent.
    fn on_claim_result(
        &mut self,
        now: Instant,
        id: RequestId,
        end: ClaimResult,
        actions: &mut Vec<Action>,
    ) {
        let request = self.requests.get_mut(&id);
        let Some(request) = request.filter(|request| request.claim == ClaimState::Requested) else {
            if end == ClaimResult::Held {
                actions.push(Action::Release(id));
            }
            return;
        };
        let waiting = request.queue_entry(id);
        let service = request.service().clone();
        match end {
            ClaimResult::Held => {
                request.claim = ClaimState::Held;
                if let Some(state) = self.services.get_mut(&service) {
                    state.claim_ended(&waiting.rule);
                }
                self.enqueue(now, waiting, actions);
            }
            ClaimResult::Refused(refusal) => self.refuse(id, refusal, actions),
            ClaimResult::Replayed => drop(self.remove_request(id)),
        }
        self.send_waiting(now, &service, actions);
    }

    /// Queues a request whose claim is held or not needed.
    fn enqueue(&mut self, now: Instant, waiting: QueuedRequest, actions: &mut Vec<Action>) {
        let id = waiting.request;
        let service = self.requests[&id].service();
        let decision = match self.services.get_mut(service) {
            Some(state) => state.offer(now, waiting),
            None => AdmissionDecision::Refused(Refusal::not_run(RefusalReason::NoSuchService)),
        };
        match decision {
            AdmissionDecision::Queued => {}
            AdmissionDecision::QueuedReplacing(other, refusal) => {
                self.refuse(other, refusal, actions)
            }
            AdmissionDecision::Refused(refusal) => self.refuse(id, refusal, actions),
        }
    }

    /// Sends the waiting requests of a service until it has no free capacity.
    fn send_waiting(&mut self, now: Instant, service: &ServiceName, actions: &mut Vec<Action>) {
        while let Some(state) = self.services.get_mut(service) {
            match state.pick(now, &mut self.rng) {
                Pick::Idle => return,
                Pick::Refuse(id, refusal) => self.refuse(id, refusal, actions),
                Pick::Send(id, server) => self.start_attempt(now, id, server, actions),
            }
        }
    }

    fn on_server_draining(
        &mut self,
        service: &ServiceName,
        server: &BackendServerName,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.services.get_mut(service) else {
            return;
        };
        if state.report_draining(server) {
            actions.push(Action::ShareDraining(service.clone(), server.clone()));
        }
    }

    fn send_all_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            self.send_waiting(now, &name, actions);
        }
    }
}
