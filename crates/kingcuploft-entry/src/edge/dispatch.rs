//! A request's way: choice, attempts, answer.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::attempts::{AttemptOutcome, NextAction};
use kingcuploft::world::contract::Contract;
use tokio::sync::oneshot;

use super::answer::Answer;
use super::choosing::Chosen;
use super::flight::{Begun, Flight};
use super::gone::Gone;
use super::request::Request;
use crate::budgets::WantedRepeat;
use crate::clock;
use crate::context::Context;
use crate::upstream::exchange::Ended;

/// How long a request waits for a configuration that has it in it, at a VM that has just started or knows that a newer
/// one exists: that takes some tens of milliseconds, or as long as the store is away.
const HOLD_UNREADY: Duration = Duration::from_millis(150);

/// Serves one request and hands its answer over.
pub async fn serve(
    context: Rc<Context>,
    request: Request,
    gone: Rc<Gone>,
    answer: oneshot::Sender<Answer>,
) {
    context.metrics.requests.inc();
    if !Flight::may_begin(&context, &request) {
        let adopting = context.in_force.adopting.notified();
        let _ = tokio::time::timeout(HOLD_UNREADY, adopting).await;
    }
    let (route, answered) = match Flight::begin(&context, &request) {
        Begun::Refused(answer) => (None, answer),
        Begun::Flight(mut flight) => {
            let answered = match flight.route.contract {
                Contract::RetryFreely => tokio::select! {
                    biased;
                    answer = flight.run(&gone) => answer,
                    () = gone.wait() => return flight.caller_left(),
                },
                // A protected request that was sent runs on: cancelling it would leave open whether
                // it ran.
                Contract::AtMostOnce => flight.run(&gone).await,
            };
            (Some(flight.route.name.clone()), answered)
        }
    };
    let (route, took) = (route.as_deref(), clock::since(request.arrived));
    context.metrics.answered(route, answered.status, took);
    let _ = answer.send(answered);
}

impl Flight<'_> {
    async fn run(&mut self, gone: &Gone) -> Answer {
        loop {
            let upstream = match self.choose(gone).await {
                Chosen::Upstream(upstream) => upstream,
                Chosen::Refuse(come_back) => {
                    self.come_back = come_back;
                    return self.give_up("no server can answer in time");
                }
                Chosen::Quarantined(come_back) => {
                    self.come_back = come_back;
                    return self.give_up("servers end under it");
                }
                Chosen::Evacuated(come_back) => {
                    self.come_back = come_back;
                    return self.give_up("all servers are in evacuated zones");
                }
                Chosen::CallerLeft => return self.give_up("the caller left"),
            };
            self.attempts.record_sent();
            let ended = match self.route.contract {
                Contract::RetryFreely => {
                    let (ended, other) = self.attempt_with_second_look(&upstream).await;
                    if let Some(other) = other {
                        // The send that lost may have run; it counts among those that the route
                        // allows.
                        self.attempts.record_sent();
                        self.attempts.record_outcome(AttemptOutcome::TimedOut);
                        self.tried.push(other);
                    }
                    ended
                }
                Contract::AtMostOnce => self.attempt(&upstream).await,
            };
            self.is_trial = false;
            self.turn_at = None;
            match self.attempts.record_outcome(ended.end) {
                NextAction::PassOn => return self.pass_on(ended),
                NextAction::Retry if self.may_try_again(gone, ended.end) => {
                    self.last_failure = ended
                        .response
                        .filter(|_| ended.end == AttemptOutcome::Failed);
                    self.tried.push(upstream);
                }
                NextAction::Retry | NextAction::GiveUp if ended.end == AttemptOutcome::Failed => {
                    return self.pass_on(ended);
                }
                NextAction::Retry | NextAction::GiveUp => return self.give_up(ended.detail),
            }
        }
    }

    fn may_try_again(&self, gone: &Gone, end: AttemptOutcome) -> bool {
        let now = clock::now();
        if now >= self.deadline || gone.is_set() {
            return false;
        }
        self.context.repeats(&self.wanted_repeat(end.label()))
    }

    pub(super) fn wanted_repeat(&self, after: &'static str) -> WantedRepeat<'_> {
        WantedRepeat {
            request: self.request.id.as_deref(),
            service: &self.service,
            after,
            attempts: self.attempts.sent(),
        }
    }

    fn pass_on(&mut self, ended: Ended) -> Answer {
        match ended.response {
            Some(response) => Answer::of_server(self.request, response),
            None => self.give_up(ended.detail),
        }
    }

    fn give_up(&mut self, reason: &'static str) -> Answer {
        self.context.metrics.failure(reason);
        if let Some(response) = self.last_failure.take() {
            return Answer::of_server(self.request, response);
        }
        let timed_out = clock::now() >= self.deadline;
        let status = self.attempts.failure_status(timed_out);
        let after = (status == 503).then_some(self.come_back);
        tracing::info!(
            event = "gave_up",
            request = self.request.id,
            route = %self.route.name,
            status,
            reason,
            attempts = self.attempts.sent(),
            held_ms = clock::since(self.request.arrived).as_millis() as u64,
            come_back_ms = after.map(|after| after.as_millis() as u64),
        );
        Answer::own(
            self.request,
            &self.context.vocabulary,
            status,
            reason,
            after,
        )
    }

    fn caller_left(&self) {
        tracing::info!(
            event = "caller_left",
            request = self.request.id,
            attempts = self.attempts.sent(),
            held_ms = clock::since(self.request.arrived).as_millis() as u64,
        );
    }
}
