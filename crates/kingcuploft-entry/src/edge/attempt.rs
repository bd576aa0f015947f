//! One attempt at a request, logged when it ends, also when it is cancelled.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::attempts::AttemptEnd;
use kingcuploft::entry::placement::{Candidate, LoadReport};
use kingcuploft::entry::shutdown::ShutdownPhase;

use super::active_request::ActiveRequest;
use super::suspect::SuspectRun;
use crate::clock;
use crate::http::client::LastArrival;
use crate::limits;
use crate::upstream::Upstream;
use crate::upstream::exchange::{self, AttemptOutcome};
use crate::upstream::server_signals::ServerSignals;

/// How old a load report may be to appear in the log line of an attempt: older than any by which a server is selected.
const MAX_LOGGED_LOAD_REPORT_AGE: Duration = Duration::from_millis(60);

impl ActiveRequest<'_> {
    /// Sends the request to a server and waits until the attempt ends.
    pub(super) async fn attempt(&self, upstream: &Rc<Upstream>) -> AttemptOutcome {
        self.attempt_tracked(upstream, &LastArrival::default())
            .await
    }

    /// Sends the request to a server as [`Self::attempt`] does, and records when bytes of the answer arrive.
    pub(super) async fn attempt_tracked(
        &self,
        upstream: &Rc<Upstream>,
        last_arrival: &LastArrival,
    ) -> AttemptOutcome {
        let record = AttemptRecord::start(self, upstream);
        let remaining = record.remaining;
        let has_turn = |other: &Rc<Upstream>| Rc::ptr_eq(other, upstream);
        if !self.turn_at.as_ref().is_some_and(has_turn) {
            limits::count_sent(self.context, upstream, record.sent_at);
        }
        let run = SuspectRun::begin(self, upstream);
        let outcome = exchange::attempt(
            self.context,
            upstream,
            self.request,
            last_arrival,
            remaining,
        )
        .await;
        record.finish(&outcome);
        self.record_run_end(upstream, outcome.end, run.known_crashes)
            .await;
        outcome
    }
}

/// An attempt in flight, with what was known of the server when the request was sent.
///
/// Failure: the caller disconnects, or another server answers first, and the attempt is cancelled. Without a log line
/// for cancelled attempts nobody could tell later at which server a request was when its caller left. Dropping this
/// value writes that line.
struct AttemptRecord<'a> {
    active: &'a ActiveRequest<'a>,
    upstream: Rc<Upstream>,
    sent_at: Instant,
    remaining: Duration,
    load_report: Option<(Duration, LoadReport)>,
    candidate: Candidate,
    is_pending: bool,
}

/// What the log line of an attempt says of its end.
struct LoggedEnd {
    end: &'static str,
    detail: &'static str,
    no_connection: Option<&'static str>,
    took: Duration,
    signals: ServerSignals,
}

impl<'a> AttemptRecord<'a> {
    fn start(active: &'a ActiveRequest<'a>, upstream: &Rc<Upstream>) -> Self {
        let sent_at = clock::now();
        Self {
            active,
            sent_at,
            remaining: active.deadline.saturating_duration_since(sent_at),
            load_report: upstream.load_report(sent_at),
            candidate: upstream.candidate(sent_at, MAX_LOGGED_LOAD_REPORT_AGE, false),
            upstream: upstream.clone(),
            is_pending: true,
        }
    }

    fn slowness(&self) -> f64 {
        self.load_report
            .map_or(1.0, |(_, load_report)| load_report.slowness)
    }

    fn finish(mut self, outcome: &AttemptOutcome) {
        self.is_pending = false;
        let (active, context) = (self.active, self.active.context);
        context.metrics.count_attempt(outcome.end.label());
        let succeeded = outcome.end == AttemptEnd::Succeeded;
        if succeeded && self.candidate.load_report.is_some() {
            let (slowness, slot) = (self.slowness(), self.candidate.slot());
            context.record_service_time(
                &active.route,
                &active.service,
                outcome.took,
                slowness,
                slot,
            );
        }
        if !succeeded || context.writes_ordinary_line(self.sent_at) {
            let response = outcome.response.as_ref();
            let signals = response.map(|r| ServerSignals::of_answer(&context.wire_names, r));
            let signals = signals.unwrap_or_default();
            self.log(LoggedEnd {
                end: outcome.end.label(),
                detail: outcome.detail,
                no_connection: outcome.no_connection,
                took: outcome.took,
                signals,
            });
        }
    }

    fn log(&self, logged: LoggedEnd) {
        let signals = logged.signals;
        let request = self.active.request;
        tracing::info!(
            event = "attempt",
            request = request.id,
            route = %self.active.route.name,
            server = %self.upstream.server.name,
            near = self.upstream.near,
            age_ms = self.load_report.map(|(age, _)| age.as_millis() as u64),
            running = self.load_report.map(|(_, r)| r.running),
            waiting = self.load_report.map(|(_, r)| r.waiting),
            slowness = self.slowness(),
            waited_ms = self.sent_at.saturating_duration_since(request.arrived).as_millis() as u64,
            took_ms = logged.took.as_millis() as u64,
            left_ms = self.remaining.as_millis() as u64,
            end = logged.end,
            detail = logged.detail,
            no_connection = logged.no_connection,
            leaving = signals.is_leaving.then_some(true),
            pause_ms = signals.pause.map(|pause| pause.as_millis() as u64),
        );
    }
}

impl Drop for AttemptRecord<'_> {
    fn drop(&mut self) {
        if self.is_pending {
            let context = self.active.context;
            let why = match context.shutdown.phase() {
                ShutdownPhase::Ended => "the process exits",
                _ => "the caller left, or another server answered first",
            };
            context.metrics.count_attempt("cancelled");
            self.log(LoggedEnd {
                end: "cancelled",
                detail: why,
                no_connection: None,
                took: clock::since(self.sent_at),
                signals: ServerSignals::default(),
            });
        }
    }
}
