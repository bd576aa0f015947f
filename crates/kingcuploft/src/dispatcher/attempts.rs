//! Starts attempts and handles their ends: answers, retries, cancelled hedges and missing reports.

use std::time::{Duration, Instant};

use super::explain::{Decision, SendReason};
use super::request::{Attempt, ClaimState};
use super::{Action, Call, Dispatcher};
use crate::decisions::hedge::HedgeStep;
use crate::decisions::retry::RetryDecision;
use crate::world::backend_server::{CallEnd, CallReport};
use crate::world::ids::{AttemptId, RequestId};

/// The time after the deadline at which the slot of an attempt without a report is counted as free.
///
/// Failure: a worker that hangs never reports, and without this limit its slot is lost until a restart. The time is
/// well above that in which a worker's own timeout, set to the deadline, is reported.
const ATTEMPT_GRACE: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Starts an attempt at the backend server with this index in the service in force.
    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        id: RequestId,
        server: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(state) = self.services.get_mut(request.service()) else {
            return;
        };
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let backend_server = state.record_sent(now, server);
        request.attempts += 1;
        request.in_flight.push(attempt);
        request.tried.push(backend_server.name.clone());
        let expires_at = request.deadline + ATTEMPT_GRACE;
        self.attempt_timers.insert(expires_at, attempt);
        self.attempts.insert(
            attempt,
            Attempt {
                request: id,
                service: request.service().clone(),
                rule: request.route.rule().name.clone(),
                backend_server: backend_server.name.clone(),
                address: backend_server.address,
                expires_at,
                sent_at: now,
                hedge_check_at: None,
                is_hedge: false,
            },
        );
        actions.push(Action::Call(Call {
            request: id,
            attempt,
            route: request.route.clone(),
            address: backend_server.address,
            backend_server: backend_server.name.clone(),
            deadline: request.deadline,
            waited: now.saturating_duration_since(request.arrived),
        }));
        self.schedule_hedge_check(now, attempt);
        self.explain_send(now, id, attempt);
    }

    fn explain_send(&mut self, now: Instant, id: RequestId, attempt: AttemptId) {
        let (Some(request), Some(sent)) = (self.requests.remove(&id), self.attempts.get(&attempt))
        else {
            return;
        };
        let why = match request.retry {
            _ if request.in_flight.len() > 1 => SendReason::Hedge,
            Some(reason) => reason.into(),
            None => SendReason::Turn,
        };
        let decided = Decision::Sent {
            attempt,
            backend_server: sent.backend_server.clone(),
            why,
        };
        self.explain(now, id, &request, decided);
        self.requests.insert(id, request);
    }

    /// Handles the end of an attempt; the late report of an expired attempt is ignored.
    pub(super) fn on_attempt_end(
        &mut self,
        now: Instant,
        id: AttemptId,
        report: &CallReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.attempt_timers.remove(attempt.expires_at, id);
        self.cancel_hedge_check(id, attempt.hedge_check_at);
        if let Some(state) = self.services.get_mut(&attempt.service)
            && state.record_attempt_end(now, &attempt, report)
        {
            let server = attempt.backend_server.clone();
            actions.push(Action::ShareDraining(attempt.service.clone(), server));
        }
        self.follow_up(now, id, &attempt, report, actions);
        self.send_waiting(now, &attempt.service, actions);
    }

    /// Counts attempts whose report is overdue as ended.
    pub(super) fn expire_attempts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(id) = self.attempt_timers.pop_due(now) {
            let report = CallReport {
                end: CallEnd::Cancelled,
                latency: ATTEMPT_GRACE,
                load: None,
                draining: false,
            };
            self.on_attempt_end(now, id, &report, actions);
        }
    }

    /// Answers, retries or refuses the request whose attempt has ended.
    fn follow_up(
        &mut self,
        now: Instant,
        id: AttemptId,
        attempt: &Attempt,
        report: &CallReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        request.attempt_ended(id, report.end);
        if request.is_caller_done {
            return self.record_late_end(attempt.request, id, report.end, actions);
        }
        // Another attempt at the request is still in flight and may bring a better answer, so no retry is spent.
        if !request.in_flight.is_empty() && !report.end.succeeded() {
            return;
        }
        let decision = match self.services.get_mut(&attempt.service) {
            Some(state) => state.decide_retry(now, &mut self.rng, request, report),
            None => RetryDecision::without_retry(report.end),
        };
        match decision {
            RetryDecision::Answer => self.answer(attempt.request, id, attempt, actions),
            RetryDecision::Retry { reason, after } => {
                actions.push(Action::CountRetry(attempt.service.clone(), reason));
                request.retry = Some(reason);
                let waiting = request.queue_entry(attempt.request);
                let tried = request.tried.clone();
                if let Some(state) = self.services.get_mut(&attempt.service) {
                    state.queue_retry(now + after, waiting, tried, report.end);
                }
            }
            RetryDecision::Refuse(refusal) => self.refuse(attempt.request, refusal, actions),
        }
    }

    /// Forwards the answer of an attempt and cancels the request's other attempts.
    fn answer(
        &mut self,
        id: RequestId,
        winner: AttemptId,
        won_attempt: &Attempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        actions.push(Action::Answer(id, winner));
        if request.claim == ClaimState::Held {
            actions.push(Action::Acknowledge(id, Some(winner)));
        }
        let service = &won_attempt.service;
        if won_attempt.is_hedge {
            actions.push(Action::CountHedge(service.clone(), HedgeStep::Won));
        }
        let lost = request
            .in_flight
            .iter()
            .filter_map(|id| self.attempts.get(id));
        let lost_hedges = lost.filter(|attempt| attempt.is_hedge);
        actions
            .extend(lost_hedges.map(|_| Action::CountHedge(service.clone(), HedgeStep::Cancelled)));
        actions.extend(request.in_flight.into_iter().map(Action::Cancel));
    }

    /// Records the end of a protected request whose caller has disconnected or was refused at the deadline.
    fn record_late_end(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        end: CallEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.remove_request(id) else {
            return;
        };
        if request.claim != ClaimState::Held {
            return;
        }
        let answered = matches!(end, CallEnd::Answered { .. });
        actions.push(match request.may_have_run() {
            true => Action::Acknowledge(id, answered.then_some(attempt)),
            false => Action::Release(id),
        });
    }
}
