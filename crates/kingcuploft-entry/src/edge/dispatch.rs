//! A request's way: route, choice, attempts, answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::entry::configuration::{Configuration, Route};
use kingcuploft::entry::placement::{Candidate, Need, Step, place};
use kingcuploft::entry::verdict::{AttemptEnd, Attempts, Verdict};
use kingcuploft::world::contract::Contract;
use kingcuploft::world::ids::ServiceName;
use tokio::sync::oneshot;

use super::answer::Answer;
use super::connection::Gone;
use super::request::Request;
use crate::context::Context;
use crate::http::client::Response;
use crate::upstream::exchange::{self, Ended};
use crate::upstream::{Upstream, probe};

/// How long readings are waited for before looking again whether they suffice.
const AWAIT_STEP: Duration = Duration::from_millis(2);

/// How many servers are asked at first: one in four is slow at any moment, and among six there is
/// nearly always one that is fast and free.
const MOST_ASKED_FIRST: usize = 6;

/// How many servers are asked in all where none of the first is good: all of a service of today, and
/// a bounded number of one with hundreds.
const MOST_ASKED: usize = 16;

/// When a refused caller is told to come back, where nothing better is known: several draws of the
/// servers' speeds later.
const COME_BACK: Duration = Duration::from_millis(250);

/// When a caller is told to come back to a VM that knows no configuration yet.
const COME_BACK_UNREADY: Duration = Duration::from_millis(500);

/// How long a request waits for a VM that has just started to learn its configuration: that takes
/// some tens of milliseconds, or as long as the store is away.
const HOLD_UNREADY: Duration = Duration::from_millis(150);

/// Serves one request and hands its answer over.
pub async fn serve(
    context: Rc<Context>,
    request: Request,
    gone: Rc<Gone>,
    answer: oneshot::Sender<Answer>,
) {
    context.metrics.requests.inc();
    if context.configuration().is_none() {
        let configured = context.configured.notified();
        let _ = tokio::time::timeout(HOLD_UNREADY, configured).await;
    }
    let answered = match Flight::begin(&context, &request) {
        Begun::Refused(answer) => answer,
        Begun::Flight(mut flight) => match flight.route.contract {
            Contract::RetryFreely => tokio::select! {
                answer = flight.run(&gone) => answer,
                () = gone.wait() => return flight.caller_left(),
            },
            // A protected request that was sent runs on: cancelling it would leave open whether it ran.
            Contract::AtMostOnce => flight.run(&gone).await,
        },
    };
    context
        .metrics
        .answered(answered.status, request.arrived.elapsed());
    let _ = answer.send(answered);
}

enum Begun<'a> {
    Refused(Answer),
    Flight(Flight<'a>),
}

/// One request under way.
struct Flight<'a> {
    context: &'a Rc<Context>,
    request: &'a Request,
    configuration: Arc<Configuration>,
    route: Arc<Route>,
    service: ServiceName,
    deadline: Instant,
    target: Instant,
    attempts: Attempts,
    tried: Vec<Rc<Upstream>>,
    last_failure: Option<Response>,
}

enum Chosen {
    Upstream(Rc<Upstream>),
    Refuse,
    CallerLeft,
}

impl<'a> Flight<'a> {
    fn begin(context: &'a Rc<Context>, request: &'a Request) -> Begun<'a> {
        let refuse = |status, reason: &'static str, after| {
            context.metrics.failure(reason);
            tracing::info!(event = "refused", request = request.id, status, reason);
            let words = &context.vocabulary;
            Begun::Refused(Answer::own(request, words, status, reason, after))
        };
        let Some(configuration) = context.configuration() else {
            return refuse(503, "no configuration yet", Some(COME_BACK_UNREADY));
        };
        let host = request.head.headers.get("host").unwrap_or_default();
        let Some(route) = configuration.route(host, &request.head.target).cloned() else {
            return refuse(404, "no such route", None);
        };
        let Some(destination) = context.deal(&route) else {
            return refuse(503, "the route has no destination", Some(COME_BACK));
        };
        let patience = request.patience(&context.vocabulary);
        let allowed = patience.map_or(route.timeout, |patience| patience.min(route.timeout));
        context.arrived(request.arrived, &destination.service);
        Begun::Flight(Self {
            deadline: request.arrived + allowed,
            target: request.arrived + route.target,
            attempts: Attempts::new(route.contract, route.most_attempts),
            context,
            request,
            configuration,
            route,
            service: destination.service,
            tried: Vec::new(),
            last_failure: None,
        })
    }

    async fn run(&mut self, gone: &Gone) -> Answer {
        loop {
            let upstream = match self.choose(gone).await {
                Chosen::Upstream(upstream) => upstream,
                Chosen::Refuse => return self.give_up("no server can answer in time"),
                Chosen::CallerLeft => return self.give_up("the caller left"),
            };
            let ended = self.attempt(&upstream).await;
            match self.attempts.ended(ended.end) {
                Verdict::Answer => return self.pass_on(ended),
                Verdict::TryAgain if self.may_try_again(gone) => {
                    self.context.metrics.repeat(ended.end.label());
                    self.last_failure = ended.response.filter(|_| ended.end == AttemptEnd::Failed);
                    self.tried.push(upstream);
                }
                Verdict::TryAgain | Verdict::GiveUp if ended.end == AttemptEnd::Failed => {
                    return self.pass_on(ended);
                }
                Verdict::TryAgain | Verdict::GiveUp => return self.give_up(ended.detail),
            }
        }
    }

    fn may_try_again(&self, gone: &Gone) -> bool {
        let now = Instant::now();
        let left = now < self.deadline && !gone.is_set();
        left && self.context.take_repeat(now, &self.service)
    }

    async fn attempt(&mut self, upstream: &Rc<Upstream>) -> Ended {
        self.attempts.sending();
        let now = Instant::now();
        let reading = upstream.reading(now);
        let slowness = reading.map_or(1.0, |(_, reading)| reading.slowness);
        let left = self.deadline.saturating_duration_since(now);
        let ended = exchange::attempt(self.context, upstream, self.request, left).await;
        self.context.metrics.attempt(ended.end.label());
        tracing::info!(
            event = "attempt",
            request = self.request.id,
            route = %self.route.name,
            server = %upstream.server.name,
            near = upstream.near,
            age_ms = reading.map(|(age, _)| age.as_millis() as u64),
            running = reading.map(|(_, r)| r.running),
            waiting = reading.map(|(_, r)| r.waiting),
            slowness,
            waited_ms = (now - self.request.arrived).as_millis() as u64,
            took_ms = ended.took.as_millis() as u64,
            left_ms = left.as_millis() as u64,
            end = ended.end.label(),
            detail = ended.detail,
        );
        if ended.end == AttemptEnd::Succeeded {
            let (route, service) = (&self.route, &self.service);
            self.context.measured(route, service, ended.took, slowness);
        }
        ended
    }

    /// Finds the server for the next attempt.
    async fn choose(&mut self, gone: &Gone) -> Chosen {
        let mut look_begun = Instant::now();
        let mut far_asked = false;
        loop {
            if gone.is_set() {
                return Chosen::CallerLeft;
            }
            let now = Instant::now();
            let upstreams = self.usable(now, far_asked);
            self.ask(&upstreams);
            let life = self.context.reading_life().max(now - look_begun) + AWAIT_STEP;
            let candidates: Vec<Candidate> = upstreams
                .iter()
                .map(|u| u.candidate(now, life, self.was_tried(u)))
                .collect();
            let need = self.need(now, look_begun, far_asked);
            match place(&need, &candidates, fastrand::f64) {
                Step::Send(at) => return Chosen::Upstream(upstreams[at].clone()),
                Step::Refuse => return Chosen::Refuse,
                Step::AskFar => far_asked = true,
                Step::Await => {
                    let told = self.context.readings.notified();
                    let _ = tokio::time::timeout(AWAIT_STEP, told).await;
                }
                Step::LookAgain(after) => {
                    tokio::time::sleep(after).await;
                    look_begun = Instant::now();
                }
            }
        }
    }

    fn was_tried(&self, upstream: &Rc<Upstream>) -> bool {
        self.tried.iter().any(|tried| Rc::ptr_eq(tried, upstream))
    }

    /// Returns the servers to choose among: the first of those that answer probes, or of all if none
    /// does.
    fn usable(&self, now: Instant, far: bool) -> Vec<Rc<Upstream>> {
        let mut all = self.context.upstreams(&self.service);
        let untried = all.iter().filter(|u| !self.was_tried(u));
        let audible: Vec<_> = untried.filter(|u| !u.is_mute(now)).cloned().collect();
        if !audible.is_empty() {
            all = audible;
        }
        let near = all.iter().filter(|u| u.near).count();
        all.truncate(match far {
            true => MOST_ASKED,
            false => near.clamp(1, MOST_ASKED_FIRST),
        });
        all
    }

    fn ask(&self, upstreams: &[Rc<Upstream>]) {
        let Some(service) = self.configuration.services.get(&self.service) else {
            return;
        };
        let health_path = &service.health_path;
        let asked = upstreams.iter();
        asked.for_each(|upstream| probe::ask(self.context, upstream, health_path));
    }

    fn need(&self, now: Instant, look_begun: Instant, far_asked: bool) -> Need {
        let millis = |d: Duration| d.as_secs_f64() * 1000.0;
        let left = |until: Instant| match until >= now {
            true => millis(until - now),
            false => -millis(now - until),
        };
        Need {
            work_ms: self.context.work_ms(&self.route, &self.service),
            target_left_ms: left(self.target),
            deadline_left_ms: left(self.deadline),
            looked_ms: millis(now - look_begun),
            far_asked,
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
        let timed_out = Instant::now() >= self.deadline;
        let status = self.attempts.refusal_status(timed_out);
        let after = (status == 503).then_some(COME_BACK);
        tracing::info!(
            event = "gave_up",
            request = self.request.id,
            route = %self.route.name,
            status,
            reason,
            attempts = self.attempts.sent(),
            held_ms = self.request.arrived.elapsed().as_millis() as u64,
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
            held_ms = self.request.arrived.elapsed().as_millis() as u64,
        );
    }
}
