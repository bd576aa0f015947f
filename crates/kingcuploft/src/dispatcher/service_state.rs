//! The state of one service on one VM: its queue, retries, limits, drains and choice of backend servers.

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

/// The most due retries that are examined for one free slot.
const MAX_RETRIES_EXAMINED: usize = 8;

/// The next step for the waiting requests of a service.
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
    /// When a request last waited because all backend servers were full.
    last_full_at: Option<Instant>,
}

impl ServiceState {
    /// Builds the state under a new manifest and carries over what is still valid of the old state.
    ///
    /// A backend server is the same if its name and address are. `attempts` are the service's calls in flight: those to
    /// a backend server that the old manifest lacked (it was removed and then restored) are counted again, so that
    /// their ends do not reduce a count that does not include them.
    pub(super) fn new<'a>(
        service: Arc<Service>,
        vm: &Vm,
        live_vm_count: Option<u32>,
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
        let old_index_of = old_indices(&service, old.as_ref());
        let (admission, retries, mut concurrency, retry, hedge) = match old {
            None => (
                Admission::new(&service),
                RetryQueue::default(),
                ConcurrencyLimit::new(&service, live_vm_count),
                Retry::new(&service.policy.retry),
                Hedge::new(&service.policy.hedge),
            ),
            Some(mut old) => {
                selection.carry_over(&old.selection, &old_index_of);
                drain.carry_over(&old.drain, &old_index_of);
                measuring.carry_over(&old.measuring, &old_index_of);
                outlier.carry_over(&old.outlier, &old_index_of);
                old.admission.update_service(&service);
                old.concurrency.update_service(&service);
                old.retry.update_settings(&service.policy.retry);
                let is_kept = |name: &_| service.backend_servers.iter().any(|s| s.name == *name);
                old.hedge.update_settings(&service.policy.hedge, is_kept);
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
            last_full_at: None,
            service,
        };
        for attempt in attempts {
            if let Some(server) = state.server_of(attempt)
                && old_index_of[server].is_none()
            {
                state.selection.record_sent(now, server);
            }
        }
        state
    }

    /// Returns the index of an attempt's backend server, if the manifest still has it.
    pub(super) fn server_of(&self, attempt: &Attempt) -> Option<usize> {
        let &server = self.by_name.get(&attempt.backend_server)?;
        let same_address = self.service.backend_servers[server].address == attempt.address;
        same_address.then_some(server)
    }

    pub(super) fn calls_in_flight_to(&self, server: &BackendServerName) -> u32 {
        let server = self.by_name.get(server);
        server.map_or(0, |&server| self.selection.in_flight(server))
    }

    /// Returns the load of the service on this VM.
    pub(super) fn load(&self) -> LoadSnapshot {
        LoadSnapshot {
            waiting: self.admission.len(),
            in_flight: self.concurrency.in_flight(),
            limit: self.concurrency.limit(),
            retry_budget: self.retry.budget(),
            ..LoadSnapshot::default()
        }
    }

    /// Returns the load with the expected wait and service time of one request.
    pub(super) fn load_for(&self, now: Instant, waiting: &QueuedRequest) -> LoadSnapshot {
        let estimate = self.admission.estimate_wait(now, waiting);
        LoadSnapshot {
            expected_wait_ms: ms(estimate.wait),
            service_time_ms: ms(estimate.service_time),
            ..self.load()
        }
    }

    /// Refuses a protected request that could not be queued, before its key is claimed; counts the claim otherwise.
    pub(super) fn check_before_claim(
        &mut self,
        now: Instant,
        waiting: &QueuedRequest,
    ) -> Option<Refusal> {
        match self.admission.check(now, waiting) {
            AdmissionDecision::Refused(refusal) => Some(refusal),
            AdmissionDecision::Queued | AdmissionDecision::QueuedReplacing(..) => {
                let key = waiting.key.as_ref();
                self.admission.claim_started(&waiting.rule, key);
                None
            }
        }
    }

    pub(super) fn set_live_vm_count(&mut self, live_vm_count: u32) {
        self.concurrency.set_live_vms(live_vm_count);
    }

    pub(super) fn claim_ended(&mut self, rule: &RuleName) {
        self.admission.claim_ended(rule);
    }

    pub(super) fn key_ended(&mut self, key: &IdempotencyKey) {
        self.admission.key_ended(key);
    }

    pub(super) fn offer(&mut self, now: Instant, waiting: QueuedRequest) -> AdmissionDecision {
        self.admission.offer(now, waiting)
    }

    /// Takes the next request and chooses its backend server. Retries go first, because they have waited longest.
    pub(super) fn pick(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Pick {
        if let Some(pick) = self.pick_retry(now, rng) {
            return pick;
        }
        if self.admission.is_empty() {
            return Pick::Idle;
        }
        let choice = self.choose(now, rng, &[]);
        if choice == Choice::Full {
            self.last_full_at = Some(now);
            let shed = self.admission.shed_one(now);
            return shed.map_or(Pick::Idle, |(id, refusal)| Pick::Refuse(id, refusal));
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

    /// Returns the first due retry that a backend server has capacity for, or that must be refused.
    fn pick_retry(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Option<Pick> {
        for at in 0..self.retries.due(now).min(MAX_RETRIES_EXAMINED) {
            let retry = self.retries.get(at);
            let (tried, last_end) = (self.indices(&retry.tried), retry.last_end);
            match (self.choose(now, rng, &tried), last_end) {
                (Choice::Full, _) => {}
                (Choice::Send(server), _) => {
                    let retry = self.retries.take(at);
                    return Some(Pick::Send(retry.request, server));
                }
                (Choice::NoneAvailable, CallEnd::Refused) => return Some(self.refused_by_all(at)),
                (Choice::NoneAvailable, _) => match self.choose(now, rng, &[]) {
                    Choice::Full => {}
                    Choice::Send(server) => {
                        let retry = self.retries.take(at);
                        return Some(Pick::Send(retry.request, server));
                    }
                    Choice::NoneAvailable => {
                        let retry = self.retries.take(at);
                        let refusal = Refusal::not_run(RefusalReason::NoBackendServer);
                        return Some(Pick::Refuse(retry.request, refusal));
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

    /// Chooses a backend server that was not tried, within this VM's concurrency limit.
    fn choose(&mut self, now: Instant, rng: &mut fastrand::Rng, tried: &[usize]) -> Choice {
        let (drain, outlier) = (&self.drain, &self.outlier);
        let takes_work =
            |i| drain.takes_work(i) && outlier.takes_work(now, i) && !tried.contains(&i);
        match self.selection.choose(now, rng, takes_work) {
            Choice::Send(_) if !self.concurrency.has_capacity() => Choice::Full,
            choice => choice,
        }
    }

    /// Records that a lookup was sent and returns the time after which it is checked for a hedge.
    pub(super) fn lookup_sent(&mut self, rule: &RuleName) -> Option<Duration> {
        self.hedge.lookup_sent(&self.admission.service_time(rule))
    }

    /// Decides whether to hedge a lookup whose first attempt is slow, and chooses the second backend server.
    pub(super) fn pick_hedge(
        &mut self,
        now: Instant,
        rng: &mut fastrand::Rng,
        request: &Request,
        attempt: &Attempt,
    ) -> HedgePick {
        let progress = AttemptProgress {
            elapsed: now - attempt.sent_at.min(now),
            remaining: request.deadline.saturating_duration_since(now),
            service_time: self.admission.service_time(&attempt.rule),
            since_last_wait: self.last_full_at.map(|at| now - at.min(now)),
        };
        let reason = match self.hedge.decide(&attempt.backend_server, &progress) {
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

    /// Refuses a request that every available backend server has refused.
    fn refused_by_all(&mut self, at: usize) -> Pick {
        let retry = self.retries.take(at);
        let refusal = Refusal::not_run(RefusalReason::BackendServerRefused);
        Pick::Refuse(
            retry.request,
            refusal.retry_after(self.retry.retry_after_all_refused()),
        )
    }

    pub(super) fn record_sent(&mut self, now: Instant, server: usize) -> &BackendServer {
        self.selection.record_sent(now, server);
        self.concurrency.record_sent();
        &self.service.backend_servers[server]
    }

    pub(super) fn report_draining(&mut self, server: &BackendServerName) -> bool {
        let server = self.by_name.get(server);
        server.is_some_and(|&server| self.drain.report_draining(server))
    }

    /// Removes a request that no longer waits from the queues.
    pub(super) fn remove(&mut self, request: RequestId) {
        if !self.admission.remove(request) {
            self.retries.remove(request);
        }
    }

    /// Returns when the next retry, shed request, note, probe or recheck of full backend servers is due.
    pub(super) fn next_due(&self, now: Instant) -> Option<Instant> {
        let waits = !self.admission.is_empty() || self.retries.due(now) > 0;
        let recheck_at = self.selection.recheck_at().filter(|_| waits);
        let due = [
            self.retries.next_due(now),
            self.admission.next_shed_at(),
            self.notes.due(),
            self.measuring.due(),
            recheck_at,
        ];
        due.into_iter().flatten().min()
    }

    /// Returns all waiting requests.
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
        let same_address = old.service.backend_servers[index].address == server.address;
        same_address.then_some(index)
    };
    service.backend_servers.iter().map(old_index).collect()
}
