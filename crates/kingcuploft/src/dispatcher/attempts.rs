//! Attempts: begun, ended, cancelled, given up.

use std::time::{Duration, Instant};

use super::explain::{Decision, SendReason};
use super::request::{Attempt, Claim};
use super::{Action, Call, Dispatcher};
use crate::decisions::hedge::HedgeStep;
use crate::decisions::retry::RetryDecision;
use crate::world::backend_server::{CallEnd, CallReport};
use crate::world::ids::{AttemptId, RequestId};

/// How long after the deadline an attempt may still report before its slot is counted as free.
///
/// A worker that hangs never reports; without the grace its slot would be lost until a restart.
/// It is well above the time in which a worker's own timeout, set to the deadline, reports.
const ATTEMPT_GRACE: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Begins an attempt at a backend server of the service in force.
    pub(super) fn call(
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
        let backend_server = state.sent(now, server);
        request.attempts += 1;
        request.live.push(attempt);
        request.tried.push(backend_server.name.clone());
        let give_up_at = request.deadline + ATTEMPT_GRACE;
        self.attempt_timers.insert(give_up_at, attempt);
        self.attempts.insert(
            attempt,
            Attempt {
                request: id,
                service: request.service().clone(),
                rule: request.route.rule().name.clone(),
                backend_server: backend_server.name.clone(),
                address: backend_server.address,
                give_up_at,
                sent_at: now,
                look_at: None,
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
        self.plan_look(now, attempt);
        self.explain_call(now, id, attempt);
    }

    fn explain_call(&mut self, now: Instant, id: RequestId, attempt: AttemptId) {
        let (Some(request), Some(sent)) = (self.requests.remove(&id), self.attempts.get(&attempt))
        else {
            return;
        };
        let why = match request.retry {
            _ if request.live.len() > 1 => SendReason::Hedge,
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

    /// Takes the end of an attempt in; an attempt that was given up is not known any more.
    pub(super) fn ended(
        &mut self,
        now: Instant,
        id: AttemptId,
        report: &CallReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.attempt_timers.remove(attempt.give_up_at, id);
        self.forget_look(id, attempt.look_at);
        if let Some(state) = self.services.get_mut(&attempt.service)
            && state.ended(now, &attempt, report)
        {
            let server = attempt.backend_server.clone();
            actions.push(Action::ShareDraining(attempt.service.clone(), server));
        }
        self.settle(now, id, &attempt, report, actions);
        self.pump(now, &attempt.service, actions);
    }

    /// Counts attempts as ended that never reported.
    pub(super) fn give_up_attempts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(id) = self.attempt_timers.pop_due(now) {
            let report = CallReport {
                end: CallEnd::Cancelled,
                latency: ATTEMPT_GRACE,
                load: None,
                draining: false,
            };
            self.ended(now, id, &report, actions);
        }
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
        let Some(request) = self.requests.get_mut(&attempt.request) else {
            return;
        };
        request.attempt_ended(id, report.end);
        if request.told {
            return self.record_untold(attempt.request, id, report.end, actions);
        }
        // Another attempt at the request is still in flight and may bring a better answer; the
        // retry budget is not touched for it.
        if !request.live.is_empty() && !report.end.succeeded() {
            return;
        }
        let verdict = match self.services.get_mut(&attempt.service) {
            Some(state) => state.after(now, &mut self.rng, request, report),
            None => RetryDecision::without_retry(report.end),
        };
        match verdict {
            RetryDecision::Answer => self.answer(attempt.request, id, attempt, actions),
            RetryDecision::Retry { reason, after } => {
                actions.push(Action::CountRetry(attempt.service.clone(), reason));
                request.retry = Some(reason);
                let waiting = request.waiting(attempt.request);
                let tried = request.tried.clone();
                if let Some(state) = self.services.get_mut(&attempt.service) {
                    state.retry_at(now + after, waiting, tried, report.end);
                }
            }
            RetryDecision::Refuse(refusal) => self.refuse(attempt.request, refusal, actions),
        }
    }

    /// Passes an answer on; the other attempts at the request have lost.
    fn answer(
        &mut self,
        id: RequestId,
        winner: AttemptId,
        won: &Attempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.forget(id) else {
            return;
        };
        actions.push(Action::Answer(id, winner));
        if request.claim == Claim::Held {
            actions.push(Action::Acknowledge(id, Some(winner)));
        }
        let service = &won.service;
        if won.is_hedge {
            actions.push(Action::CountHedge(service.clone(), HedgeStep::Won));
        }
        let lost = request.live.iter().filter_map(|id| self.attempts.get(id));
        let lost = lost.filter(|attempt| attempt.is_hedge);
        actions.extend(lost.map(|_| Action::CountHedge(service.clone(), HedgeStep::Cancelled)));
        actions.extend(request.live.into_iter().map(Action::Cancel));
    }

    /// Records how a protected request ended whose caller left or was told at its deadline.
    fn record_untold(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        end: CallEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.forget(id) else {
            return;
        };
        if request.claim != Claim::Held {
            return;
        }
        let answered = matches!(end, CallEnd::Answered { .. });
        actions.push(match request.may_have_run() {
            true => Action::Acknowledge(id, answered.then_some(attempt)),
            false => Action::Release(id),
        });
    }
}
