//! The dispatcher of one entry VM: a state machine that joins the decisions.
//!
//! Events come in with the time they happened, actions come out. The daemon's dispatch thread and
//! the scenario tests run the very same code.

mod request;
mod service_state;

use std::sync::Arc;
use std::time::Instant;

use crate::decisions::admission::Waiting;
use crate::decisions::retry::RetryReason;
use crate::manifest::Accepted;
use crate::manifest::routing::Route;
use crate::utils::HashMap;
use crate::world::backend_server::CallReport;
use crate::world::contract::Contract;
use crate::world::ids::{
    AttemptId, BackendServerName, Caller, IdempotencyKey, RequestId, ServiceName,
};
use crate::world::refusal::{Refusal, RefusalReason};
use crate::world::vm::Vm;

use request::{Attempt, Request};
use service_state::{Pick, ServiceState};

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
pub enum ClaimEnd {
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
    Claimed(RequestId, ClaimEnd),
    /// An attempt ended.
    Ended(AttemptId, CallReport),
    /// The caller of a request went away.
    CallerLeft(RequestId),
    /// A manifest is in force from now on.
    Adopted(Accepted),
    /// A backend server drains, by the word of a peer, the VM list or an operator.
    Draining(ServiceName, BackendServerName),
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
    TellDraining(ServiceName, BackendServerName),
    /// Count a retry.
    Retried(ServiceName, RetryReason),
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
}

/// The state of one entry VM.
#[derive(Debug)]
pub struct Dispatcher {
    vm: Vm,
    rng: fastrand::Rng,
    services: HashMap<ServiceName, ServiceState>,
    requests: HashMap<RequestId, Request>,
    attempts: HashMap<AttemptId, Attempt>,
    last_attempt: AttemptId,
}

impl Dispatcher {
    /// Builds a dispatcher without a manifest.
    pub fn new(vm: Vm, seed: u64) -> Self {
        Self {
            vm,
            rng: fastrand::Rng::with_seed(seed),
            services: HashMap::default(),
            requests: HashMap::default(),
            attempts: HashMap::default(),
            last_attempt: 0,
        }
    }

    /// Takes one event in and appends what to do next.
    pub fn on_event(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => self.arrived(now, arrival, actions),
            Event::Claimed(request, end) => self.claimed(now, request, end, actions),
            Event::Ended(attempt, report) => self.ended(now, attempt, &report, actions),
            Event::CallerLeft(request) => self.caller_left(now, request, actions),
            Event::Adopted(accepted) => self.adopted(now, &accepted, actions),
            Event::Draining(service, server) => self.draining(&service, &server, actions),
            Event::Tick => self.tick(now, actions),
        }
    }

    /// Returns when the next [`Event::Tick`] is due at the latest.
    pub fn next_tick(&self) -> Option<Instant> {
        let services = self.services.values();
        services.filter_map(ServiceState::next_deadline).min()
    }

    /// Returns how many requests wait or are in flight.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    fn arrived(&mut self, now: Instant, arrival: Arrival, actions: &mut Vec<Action>) {
        let id = arrival.request;
        let Some(state) = self.services.get_mut(&arrival.route.service.name) else {
            let refusal = Refusal::not_run(RefusalReason::NoSuchService);
            return actions.push(Action::Refuse(id, refusal));
        };
        let protected = arrival.route.rule().contract == Contract::AtMostOnce;
        let claims = protected && arrival.key.is_some();
        let request = Request::new(arrival);
        let waiting = request.waiting(id);
        if claims {
            if let Some(refusal) = state.check(now, &waiting) {
                return actions.push(Action::Refuse(id, refusal));
            }
            self.requests.insert(id, request);
            return actions.push(Action::Claim(id));
        }
        let service = request.route.service.name.clone();
        self.requests.insert(id, request);
        self.enqueue(now, waiting, actions);
        self.pump(now, &service, actions);
    }

    fn claimed(&mut self, now: Instant, id: RequestId, end: ClaimEnd, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            if end == ClaimEnd::Held {
                actions.push(Action::Release(id));
            }
            return;
        };
        if end != ClaimEnd::Held {
            self.requests.remove(&id);
            return;
        }
        request.claim_held = true;
        let waiting = request.waiting(id);
        let service = request.route.service.name.clone();
        self.enqueue(now, waiting, actions);
        self.pump(now, &service, actions);
    }

    /// Queues a request whose claim, if it needs one, is held.
    fn enqueue(&mut self, now: Instant, waiting: Waiting, actions: &mut Vec<Action>) {
        let id = waiting.request;
        let service = &self.requests[&id].route.service.name;
        let refusal = match self.services.get_mut(service) {
            Some(state) => state.offer(now, waiting),
            None => Some(Refusal::not_run(RefusalReason::NoSuchService)),
        };
        if let Some(refusal) = refusal {
            self.refuse(id, refusal, actions);
        }
    }

    /// Ends a request with a refusal; a claim is released only where nothing was sent.
    fn refuse(&mut self, id: RequestId, refusal: Refusal, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if request.claim_held {
            actions.push(match refusal.outcome {
                crate::world::refusal::Outcome::NotRun => Action::Release(id),
                _ => Action::Acknowledge(id, None),
            });
        }
        actions.push(Action::Refuse(id, refusal));
    }

    /// Sends waiting requests while there is room.
    fn pump(&mut self, now: Instant, service: &ServiceName, actions: &mut Vec<Action>) {
        while let Some(state) = self.services.get_mut(service) {
            match state.pick(now, &mut self.rng) {
                Pick::Idle => return,
                Pick::Refuse(id, refusal) => self.refuse(id, refusal, actions),
                Pick::Send(waiting, server) => self.call(now, waiting.request, server, actions),
            }
        }
    }

    fn call(&mut self, now: Instant, id: RequestId, server: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(state) = self.services.get_mut(&request.route.service.name) else {
            return;
        };
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let backend_server = state.sent(now, server);
        request.attempts += 1;
        request.in_flight = Some(attempt);
        self.attempts.insert(
            attempt,
            Attempt {
                request: id,
                service: request.route.service.name.clone(),
                backend_server: backend_server.name.clone(),
            },
        );
        actions.push(Action::Call(Call {
            request: id,
            attempt,
            route: request.route.clone(),
            address: backend_server.address,
            backend_server: backend_server.name.clone(),
            deadline: request.deadline,
        }));
    }

    fn ended(
        &mut self,
        now: Instant,
        id: AttemptId,
        report: &CallReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        if let Some(state) = self.services.get_mut(&attempt.service)
            && state.ended(now, &attempt.backend_server, report)
        {
            let server = attempt.backend_server.clone();
            actions.push(Action::TellDraining(attempt.service.clone(), server));
        }
        self.settle(now, id, &attempt, report, actions);
        self.pump(now, &attempt.service, actions);
    }

    /// Decides what the end of an attempt means for its request.
    fn settle(
        &mut self,
        now: Instant,
        id: AttemptId,
        attempt: &Attempt,
        report: &CallReport,
        actions: &mut Vec<Action>,
    ) {
        use crate::decisions::retry::Verdict;

        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        request.in_flight = None;
        let verdict = match self.services.get_mut(&attempt.service) {
            Some(state) => state.after(now, request, report),
            None => request.verdict_without_retry(report),
        };
        match verdict {
            Verdict::Answer => {
                let claim_held = request.claim_held;
                self.requests.remove(&attempt.request);
                actions.push(Action::Answer(attempt.request, id));
                if claim_held {
                    actions.push(Action::Acknowledge(attempt.request, Some(id)));
                }
            }
            Verdict::Retry(reason) => {
                let waiting = request.waiting(attempt.request);
                actions.push(Action::Retried(attempt.service.clone(), reason));
                self.enqueue(now, waiting, actions);
            }
            Verdict::Refuse(refusal) => self.refuse(attempt.request, refusal, actions),
        }
    }

    /// Forgets a request nobody waits for: a lookup is cancelled, a protected action runs on, so
    /// that its end can be recorded for the caller's next try.
    fn caller_left(&mut self, now: Instant, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let service = request.route.service.name.clone();
        let protected = request.route.rule().contract == Contract::AtMostOnce;
        match request.in_flight {
            Some(_) if protected => return,
            Some(attempt) => {
                self.requests.remove(&id);
                actions.push(Action::Cancel(attempt));
            }
            None => {
                if let Some(state) = self.services.get_mut(&service) {
                    state.remove(id);
                }
                let held = self.requests.remove(&id).is_some_and(|r| r.claim_held);
                if held {
                    actions.push(Action::Release(id));
                }
            }
        }
        self.pump(now, &service, actions);
    }

    fn adopted(&mut self, now: Instant, accepted: &Accepted, actions: &mut Vec<Action>) {
        let mut old = std::mem::take(&mut self.services);
        for service in &accepted.manifest.services {
            let state = ServiceState::new(Arc::clone(service), &self.vm, old.remove(&service.name));
            self.services.insert(service.name.clone(), state);
        }
        for gone in old.into_values() {
            for id in gone.waiting() {
                let refusal = Refusal::not_run(RefusalReason::NoSuchService);
                self.refuse(id, refusal, actions);
            }
        }
        self.pump_all(now, actions);
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
            actions.push(Action::TellDraining(service.clone(), server.clone()));
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut expired = Vec::new();
        for state in self.services.values_mut() {
            expired.extend(std::iter::from_fn(|| state.expired(now)));
        }
        for (id, refusal) in expired {
            self.refuse(id, refusal, actions);
        }
        self.pump_all(now, actions);
    }

    fn pump_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            self.pump(now, &name, actions);
        }
    }
}
