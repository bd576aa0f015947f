//! Serves a request from routing to its answer: selects servers, makes attempts, retries, or refuses.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::attempts::{AttemptEnd, NextAction};
use kingcuploft::entry::placement::ProbeScope;
use kingcuploft::entry::shutdown::ShutdownPhase;
use kingcuploft::entry::turned_away;
use kingcuploft::world::contract::Contract;
use tokio::sync::oneshot;

use super::active_request::{ActiveRequest, Routed};
use super::answer::{Answer, UNKNOWN_OUTCOME_STATUS};
use super::caller_disconnect::CallerDisconnect;
use super::refusal::Refusal;
use super::relay::AfterRelay;
use super::request::Request;
use super::selection::Selection;
use crate::budgets::WantedRepeat;
use crate::clock;
use crate::context::Context;
use crate::relay::wire::RelayedAnswer;
use crate::upstream::Upstream;
use crate::upstream::exchange::AttemptOutcome;

/// How long a request for an unknown route waits for a configuration, at a VM that has just started or knows that a
/// newer version exists. It arrives within some tens of milliseconds, or not before the store answers again.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(150);

/// Serves one request and delivers its answer through `answer`.
pub async fn serve(
    context: Rc<Context>,
    request: Request,
    disconnect: Rc<CallerDisconnect>,
    answer: oneshot::Sender<Answer>,
) {
    context.metrics.requests.inc();
    let mut unanswered = UnansweredRequest::begin(&context, &request, answer);
    if !ActiveRequest::can_begin(&context, &request) {
        let adopting = context.active_configuration.adopted_notify.notified();
        let _ = tokio::time::timeout(CONFIGURATION_WAIT, adopting).await;
    }
    let (route, mut answered, told) = match ActiveRequest::begin(&context, &request) {
        Routed::Refused(answer) => (None, answer, RelayedAnswer::default()),
        Routed::Active(mut active) => {
            let answered = match active.is_cancelled_with_caller() {
                true => tokio::select! {
                    biased;
                    answer = active.run(&disconnect) => answer,
                    () = disconnect.wait() => {
                        unanswered.abandon();
                        return active.log_caller_left();
                    }
                },
                false => active.run(&disconnect).await,
            };
            let route = active.route.name.clone();
            (Some(route), answered, active.relayed_answer())
        }
    };
    if request.relayed.is_some() {
        context.metrics.relayed_requests.inc();
        answered.add_relayed_answer(&told);
    }
    let (route, took) = (route.as_deref(), clock::since(request.arrived));
    context.metrics.observe_answer(route, answered.status, took);
    unanswered.answer(answered);
}

/// The reason of a failure that the program is to blame for.
const TASK_FAILED: &str = "internal error";

/// A request that has no answer yet. One that is dropped before its end is logged: the process exits under it, or the task
/// that serves it has panicked. Then it is answered all the same, as the requests behind it on its connection wait for that.
struct UnansweredRequest<'a> {
    context: &'a Context,
    request: &'a Request,
    /// Takes the answer, while one is due.
    answer: Option<oneshot::Sender<Answer>>,
}

impl<'a> UnansweredRequest<'a> {
    fn begin(context: &'a Context, request: &'a Request, answer: oneshot::Sender<Answer>) -> Self {
        let unanswered = &context.unanswered_requests;
        unanswered.set(unanswered.get() + 1);
        Self {
            context,
            request,
            answer: Some(answer),
        }
    }

    /// Delivers the answer.
    fn answer(&mut self, answered: Answer) {
        if let Some(answer) = self.answer.take() {
            let _ = answer.send(answered);
        }
    }

    /// Records that nobody waits for an answer any more.
    fn abandon(&mut self) {
        self.answer = None;
    }

    fn failure(&self) -> Answer {
        self.context.metrics.count_failure(TASK_FAILED);
        let names = &self.context.wire_names;
        Answer::generated(
            self.request,
            names,
            UNKNOWN_OUTCOME_STATUS,
            TASK_FAILED,
            None,
        )
    }
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        let unanswered = &self.context.unanswered_requests;
        unanswered.set(unanswered.get() - 1);
        let Some(answer) = self.answer.take() else {
            return;
        };
        let request = &self.request.id;
        let held_ms = clock::since(self.request.arrived).as_millis() as u64;
        match self.context.shutdown.phase() {
            ShutdownPhase::Ended => {
                let status = answer.is_closed().then_some(UNKNOWN_OUTCOME_STATUS);
                tracing::warn!(event = "cut_by_exit", request, held_ms, status);
            }
            _ => {
                tracing::error!(event = "request_task_failed", request, held_ms);
                let _ = answer.send(self.failure());
            }
        }
    }
}

impl ActiveRequest<'_> {
    async fn run(&mut self, disconnect: &CallerDisconnect) -> Answer {
        if let Err(refusal) = self.take_quota().await {
            return self.refuse(refusal);
        }
        let answer = self.run_attempts(disconnect).await;
        self.settle_quota();
        answer
    }

    async fn run_attempts(&mut self, disconnect: &CallerDisconnect) -> Answer {
        loop {
            let upstream = match self.select_upstream(disconnect).await {
                Selection::Upstream(upstream) => upstream,
                Selection::Relay(address) => match self.relay(address, disconnect).await {
                    AfterRelay::Answer(answer) => return answer,
                    AfterRelay::SelectAgain => continue,
                },
                Selection::Refuse(refusal) => return self.refuse(refusal),
            };
            self.attempts.record_sent();
            let outcome = match self.route.contract {
                Contract::RetryFreely => {
                    let (outcome, hedge_target) = self.attempt_with_hedge(&upstream).await;
                    if let Some(hedge_target) = hedge_target {
                        // The cancelled send may have run; it counts towards the attempts that the route allows.
                        self.attempts.record_sent();
                        self.attempts.record_outcome(AttemptEnd::TimedOut);
                        self.tried_upstreams.push(hedge_target);
                    }
                    outcome
                }
                Contract::AtMostOnce => self.attempt(&upstream).await,
            };
            self.is_trial = false;
            self.turn_at = None;
            match self.attempts.record_outcome(outcome.end) {
                NextAction::PassOn => return self.pass_on(outcome),
                NextAction::Retry if self.may_try_again(disconnect, outcome.end) => {
                    self.answered_by = outcome.server;
                    self.last_failure = outcome
                        .response
                        .filter(|_| outcome.end == AttemptEnd::Failed);
                    self.tried_upstreams.push(upstream);
                }
                NextAction::Retry | NextAction::GiveUp if outcome.end == AttemptEnd::Failed => {
                    return self.pass_on(outcome);
                }
                NextAction::Retry | NextAction::GiveUp => {
                    if outcome.end == AttemptEnd::NotRun {
                        self.retry_after = self.retry_after_turned_away(&upstream);
                    }
                    return self.give_up(outcome.detail);
                }
            }
        }
    }

    pub(super) fn may_try_again(&self, disconnect: &CallerDisconnect, end: AttemptEnd) -> bool {
        let now = clock::now();
        if now >= self.deadline || disconnect.is_set() {
            return false;
        }
        !self.attempts.next_is_repeat()
            || self
                .context
                .request_repeat(&self.wanted_repeat(end.label()))
    }

    /// Returns when the caller of a request may retry that this server has turned away.
    fn retry_after_turned_away(&self, upstream: &Upstream) -> Duration {
        let now = clock::now();
        let need = self.need(now, now, ProbeScope::Near);
        let report = upstream.load_report(now).map(|(_, report)| report);
        turned_away::retry_delay(report.as_ref(), need.target_left_ms, need.work_ms)
    }

    pub(super) fn wanted_repeat(&self, after: &'static str) -> WantedRepeat<'_> {
        WantedRepeat {
            request: self.request.id.as_deref(),
            service: &self.service,
            after,
            attempts: self.attempts.sent(),
        }
    }

    fn pass_on(&mut self, outcome: AttemptOutcome) -> Answer {
        self.answered_by = outcome.server;
        match outcome.response {
            Some(response) => Answer::from_server(self.request, response),
            None => self.give_up(outcome.detail),
        }
    }

    /// Answers a request that no server gets.
    fn refuse(&mut self, refusal: Refusal) -> Answer {
        self.retry_after = refusal.retry_after;
        let own_status = refusal.reason.status();
        let own_status = own_status.filter(|_| !self.attempts.may_have_run());
        self.end_with(refusal.reason.label(), own_status)
    }

    pub(super) fn give_up(&mut self, reason: &'static str) -> Answer {
        self.end_with(reason, None)
    }

    fn end_with(&mut self, reason: &'static str, own_status: Option<u16>) -> Answer {
        self.context.metrics.count_failure(reason);
        if let Some(response) = self.last_failure.take() {
            return Answer::from_server(self.request, response);
        }
        let timed_out = clock::now() >= self.deadline;
        let status = own_status.unwrap_or_else(|| self.attempts.failure_status(timed_out));
        let retry_after = match own_status {
            Some(_) => self.retry_after,
            None => self.retry_after.max(self.all_paused_for()),
        };
        let after = matches!(status, 429 | 503).then_some(retry_after);
        tracing::info!(
            event = "gave_up",
            request = self.request.id,
            route = %self.route.name,
            workspace = self.workspace.as_ref().map(|known| &*known.name),
            priority = self.priority(),
            status,
            reason,
            attempts = self.attempts.sent(),
            held_ms = clock::since(self.request.arrived).as_millis() as u64,
            come_back_ms = after.map(|after| after.as_millis() as u64),
        );
        Answer::generated(
            self.request,
            &self.context.wire_names,
            status,
            reason,
            after,
        )
    }

    fn log_caller_left(&self) {
        tracing::info!(
            event = "caller_left",
            request = self.request.id,
            attempts = self.attempts.sent(),
            held_ms = clock::since(self.request.arrived).as_millis() as u64,
        );
    }
}
