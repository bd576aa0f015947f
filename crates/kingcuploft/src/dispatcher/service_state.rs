//! The decisions of one service on one VM, joined.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::explain::{LoadSnapshot, ms};
use super::hedging::HedgePick;
use super::request::{Attempt, Request};
use super::retry_queue::RetryQueue;
use crate::decisions::admission::{Admission, AdmissionDecision, NextRequest, QueuedRequest};
use crate::decisions::concurrency::ConcurrencyLimit;
use crate::decisions::drain::Drain;
use crate::decisions::hedge::{AttemptProgress, Hedge, HedgeDecision, HedgeStep};
use crate::decisions::measuring::ProbeScheduler;
use crate::decisions::notes::LoadNotes;
use crate::decisions::outlier::OutlierDetection;
use crate::decisions::retry::Retry;
use crate::decisions::selection::{Choice, Selection};
use crate::manifest::{BackendServer, Service};
use crate::utils::HashMap;
use crate::world::backend_server::CallEnd;
use crate::world::ids::{BackendServerName, IdempotencyKey, RequestId, RuleName};
use crate::world::refusal::{Refusal, RefusalReason};
use crate::world::vm::Vm;

/// How many retries that are due are looked at for one free slot.
const MAX_RETRIES_EXAMINED: usize = 8;

/// What to do next for the requests that wait.
pub(super) enum Pick {
    /// Nothing can be sent now.
    Idle,
    /// Refuse this request.
    Refuse(RequestId, Refusal),
    /// Send this request to the backend server with this index.
    Send(RequestId, usize),
}

/// One service on one VM.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) service: Arc<Service>,
    pub(super) by_name: HashMap<BackendServerName, usize>,
    pub(super) admission: Admission,
    pub(super) retries: RetryQueue,
    pub(super) concurrency: ConcurrencyLimit,
    pub(super) selection: Selection,
    pub(super) drain: Drain,
    pub(super) notes: LoadNotes,
    pub(super) outlier: OutlierDetection,
    pub(super) measuring: ProbeScheduler,
    pub(super) retry: Retry,
    pub(super) hedge: Hedge,
    /// When a request last waited because all was full.
    last_full: Option<Instant>,
}

impl ServiceState {
    /// Builds the state under a new manifest, taking over what still holds of the old one.
    ///
    /// A backend server is the same one where its name and address are. `attempts` are the calls
    /// of the service in flight: those at a backend server that the old manifest did not have
    /// (it was taken out and put back) are counted again, so that their ends find their count.
    pub(super) fn new<'a>(
        service: Arc<Service>,
        vm: &Vm,
        live_vms: Option<u32>,
        old: Option<Self>,
        now: Instant,
        attempts: impl Iterator<Item = &'a Attempt>,
    ) -> Self {
        let mut selection = Selection::new(&service, &vm.availability_zone);
        let mut drain = Drain::new(&service);
        let mut measuring = ProbeScheduler::new(&service);
        let mut outlier = OutlierDetection::new(
            &service.policy.outlier,
            service.policy.drain.keep_share,
            service.backend_servers.len(),
        );
        let old_of = old_indices(&service, old.as_ref());
        let (admission, retries, mut concurrency, retry, hedge) = match old {
            None => (
                Admission::new(&service),
                RetryQueue::default(),
                ConcurrencyLimit::new(&service, live_vms),
                Retry::new(&service.policy.retry),
                Hedge::new(&service.policy.hedge),
            ),
            Some(mut old) => {
                selection.carry_over(&old.selection, &old_of);
                drain.carry_over(&old.drain, &old_of);
                measuring.carry_over(&old.measuring, &old_of);
                outlier.carry_over(&old.outlier, &old_of);
                old.admission.update_service(&service);
                old.concurrency.update_service(&service);
                old.retry.update_settings(&service.policy.retry);
                let kept = |name: &_| service.backend_servers.iter().any(|s| s.name == *name);
                old.hedge.update_settings(&service.policy.hedge, kept);
                (
                    old.admission,
                    old.retries,
                    old.concurrency,
                    old.retry,
                    old.hedge,
                )
            }
        };
        let attempts: Vec<&Attempt> = attempts.collect();
        concurrency.set_in_flight(attempts.len());
        let names = service.backend_servers.iter().map(|s| s.name.clone());
        let mut state = Self {
            by_name: names.enumerate().map(|(i, name)| (name, i)).collect(),
            admission,
            retries,
            concurrency,
            selection,
            drain,
            notes: LoadNotes::new(
                &service.policy.notes,
                service.backend_servers.iter().map(|s| s.slots),
            ),
            outlier,
            measuring,
            retry,
            hedge,
            last_full: None,
            service,
        };
        for attempt in attempts {
            if let Some(server) = state.server_of(attempt)
                && old_of[server].is_none()
            {
                state.selection.record_sent(now, server);
            }
        }
        state
    }

    /// Returns the index of the backend server that an attempt went to, if it is still there.
    pub(super) fn server_of(&self, attempt: &Attempt) -> Option<usize> {
        let &server = self.by_name.get(&attempt.backend_server)?;
        let same = self.service.backend_servers[server].address == attempt.address;
        same.then_some(server)
    }

    pub(super) fn calls_at(&self, server: &BackendServerName) -> u32 {
        let server = self.by_name.get(server);
        server.map_or(0, |&server| self.selection.in_flight(server))
    }

    /// Returns the load as this VM sees it.
    pub(super) fn load(&self) -> LoadSnapshot {
        LoadSnapshot {
            waiting: self.admission.len(),
            in_flight: self.concurrency.in_flight(),
            limit: self.concurrency.limit(),
            retry_budget: self.retry.budget(),
            ..LoadSnapshot::default()
        }
    }

    /// Returns the load as one request finds it.
    pub(super) fn load_for(&self, now: Instant, waiting: &QueuedRequest) -> LoadSnapshot {
        let outlook = self.admission.estimate_wait(now, waiting);
        LoadSnapshot {
            expected_wait_ms: ms(outlook.wait),
            service_time_ms: ms(outlook.service_time),
            ..self.load()
        }
    }

    /// Judges a protected request at the door, before its claim is asked for.
    pub(super) fn check(&mut self, now: Instant, waiting: &QueuedRequest) -> Option<Refusal> {
        match self.admission.check(now, waiting) {
            AdmissionDecision::Refused(refusal) => Some(refusal),
            AdmissionDecision::Queued | AdmissionDecision::QueuedReplacing(..) => {
                let key = waiting.key.as_ref();
                self.admission.claim_started(&waiting.rule, key);
                None
            }
        }
    }

    pub(super) fn live_vms(&mut self, live_vms: u32) {
        self.concurrency.set_live_vms(live_vms);
    }

    pub(super) fn claim_settled(&mut self, rule: &RuleName) {
        self.admission.claim_ended(rule);
    }

    pub(super) fn key_ended(&mut self, key: &IdempotencyKey) {
        self.admission.key_ended(key);
    }

    pub(super) fn offer(&mut self, now: Instant, waiting: QueuedRequest) -> AdmissionDecision {
        self.admission.offer(now, waiting)
    }

    /// Takes the next request and the backend server it goes to; retries go first, as they have
    /// waited longest.
    pub(super) fn pick(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Pick {
        if let Some(pick) = self.pick_retry(now, rng) {
            return pick;
        }
        if self.admission.is_empty() {
            return Pick::Idle;
        }
        let choice = self.choose(now, rng, &[]);
        if choice == Choice::Full {
            self.last_full = Some(now);
            let given_up = self.admission.shed_one(now);
            return given_up.map_or(Pick::Idle, |(id, refusal)| Pick::Refuse(id, refusal));
        }
        let waiting = match self.admission.next(now) {
            NextRequest::Empty => return Pick::Idle,
            NextRequest::Shed(id, refusal) => return Pick::Refuse(id, refusal),
            NextRequest::Serve(waiting) => waiting,
        };
        match choice {
            Choice::Send(server) => Pick::Send(waiting.request, server),
            Choice::Full | Choice::NoneAvailable => {
                let refusal = Refusal::not_run(RefusalReason::NoBackendServer);
                Pick::Refuse(waiting.request, refusal)
            }
        }
    }

    /// Looks for a retry that is due and whose next backend server has room.
    fn pick_retry(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Option<Pick> {
        for at in 0..self.retries.due(now).min(MAX_RETRIES_EXAMINED) {
            let waits = self.retries.get(at);
            let (tried, last_end) = (self.indices(&waits.tried), waits.last_end);
            match (self.choose(now, rng, &tried), last_end) {
                (Choice::Full, _) => {}
                (Choice::Send(server), _) => {
                    let waits = self.retries.take(at);
                    return Some(Pick::Send(waits.request, server));
                }
                (Choice::NoneAvailable, CallEnd::Refused) => return Some(self.refused_by_all(at)),
                (Choice::NoneAvailable, _) => match self.choose(now, rng, &[]) {
                    Choice::Full => {}
                    Choice::Send(server) => {
                        let waits = self.retries.take(at);
                        return Some(Pick::Send(waits.request, server));
                    }
                    Choice::NoneAvailable => {
                        let waits = self.retries.take(at);
                        let refusal = Refusal::not_run(RefusalReason::NoBackendServer);
                        return Some(Pick::Refuse(waits.request, refusal));
                    }
                },
            }
        }
        None
    }

    fn indices(&self, names: &[BackendServerName]) -> Vec<usize> {
        let indices = names.iter().filter_map(|name| self.by_name.get(name));
        indices.copied().collect()
    }

    /// Chooses a backend server that was not tried, while this VM may have more calls in flight.
    fn choose(&mut self, now: Instant, rng: &mut fastrand::Rng, tried: &[usize]) -> Choice {
        let (drain, outlier) = (&self.drain, &self.outlier);
        let takes_work =
            |i| drain.takes_work(i) && outlier.takes_work(now, i) && !tried.contains(&i);
        match self.selection.choose(now, rng, takes_work) {
            Choice::Send(_) if !self.concurrency.has_capacity() => Choice::Full,
            choice => choice,
        }
    }

    /// Notes that a lookup was sent, and returns after which time to look at it.
    pub(super) fn lookup_sent(&mut self, rule: &RuleName) -> Option<Duration> {
        self.hedge.lookup_sent(&self.admission.service_time(rule))
    }

    /// Judges a lookup's first attempt that takes long.
    pub(super) fn pick_hedge(
        &mut self,
        now: Instant,
        rng: &mut fastrand::Rng,
        request: &Request,
        attempt: &Attempt,
    ) -> HedgePick {
        let look = AttemptProgress {
            elapsed: now - attempt.sent_at.min(now),
            remaining: request.deadline.saturating_duration_since(now),
            service_time: self.admission.service_time(&attempt.rule),
            since_last_wait: self.last_full.map(|at| now - at.min(now)),
        };
        let reason = match self.hedge.decide(&attempt.backend_server, &look) {
            HedgeDecision::DoNotHedge => return HedgePick::DoNotHedge,
            HedgeDecision::CheckAgain(after) => return HedgePick::CheckAgain(now + after),
            HedgeDecision::Hedge(reason) => reason,
        };
        let tried = self.indices(&request.tried);
        match self.choose(now, rng, &tried) {
            Choice::Send(server) if !self.in_slow_spell(server) => {
                self.hedge.spend_token();
                HedgePick::Send(server, HedgeStep::Sent(reason))
            }
            _ => HedgePick::DoNotHedge,
        }
    }

    fn in_slow_spell(&self, server: usize) -> bool {
        let server = &self.service.backend_servers[server];
        self.hedge.in_slow_spell(&server.name)
    }

    /// Ends a request that every backend server which takes work has refused.
    fn refused_by_all(&mut self, at: usize) -> Pick {
        let waits = self.retries.take(at);
        let refusal = Refusal::not_run(RefusalReason::BackendServerRefused);
        Pick::Refuse(
            waits.request,
            refusal.retry_after(self.retry.retry_after_all_refused()),
        )
    }

    pub(super) fn sent(&mut self, now: Instant, server: usize) -> &BackendServer {
        self.selection.record_sent(now, server);
        self.concurrency.record_sent();
        &self.service.backend_servers[server]
    }

    pub(super) fn draining(&mut self, server: &BackendServerName) -> bool {
        let server = self.by_name.get(server);
        server.is_some_and(|&server| self.drain.report_draining(server))
    }

    /// Takes a request that no longer waits off the queues.
    pub(super) fn remove(&mut self, request: RequestId) {
        if !self.admission.remove(request) {
            self.retries.remove(request);
        }
    }

    /// Returns when something is next due: a retry, giving a request up, notes, or another look
    /// for room.
    pub(super) fn next_due(&self, now: Instant) -> Option<Instant> {
        let waits = !self.admission.is_empty() || self.retries.due(now) > 0;
        let look_again = self.selection.recheck_at().filter(|_| waits);
        let due = [
            self.retries.next_due(now),
            self.admission.next_shed_at(),
            self.notes.due(),
            self.measuring.due(),
            look_again,
        ];
        due.into_iter().flatten().min()
    }

    /// Returns every request that waits.
    pub(super) fn into_waiting(self) -> Vec<RequestId> {
        let mut waiting = self.admission.into_requests();
        waiting.extend(self.retries.into_requests());
        waiting
    }
}

/// Returns, for each backend server of the new manifest, its index in the old one.
fn old_indices(service: &Service, old: Option<&ServiceState>) -> Vec<Option<usize>> {
    let old_index = |server: &BackendServer| {
        let old = old?;
        let &index = old.by_name.get(&server.name)?;
        let same = old.service.backend_servers[index].address == server.address;
        same.then_some(index)
    };
    service.backend_servers.iter().map(old_index).collect()
}
