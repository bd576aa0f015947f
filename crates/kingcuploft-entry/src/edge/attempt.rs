//! One attempt at a request, told in a log line when it ends, also where it is cancelled.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::attempts::AttemptOutcome;
use kingcuploft::entry::placement::{Candidate, LoadReading};

use super::flight::Flight;
use super::suspect::Run;
use crate::clock;
use crate::limits;
use crate::upstream::Upstream;
use crate::upstream::exchange::{self, Ended};

/// How old a reading may be to tell what a server did when a request was sent there: older than any that
/// servers are chosen by.
const READING_TELLS: Duration = Duration::from_millis(60);

impl Flight<'_> {
    /// Sends the request to a server and waits for the end of it.
    pub(super) async fn attempt(&self, upstream: &Rc<Upstream>) -> Ended {
        let sent = Sent::now(self, upstream);
        let left = sent.left;
        let has_turn = |at: &Rc<Upstream>| Rc::ptr_eq(at, upstream);
        if !self.turn_at.as_ref().is_some_and(has_turn) {
            limits::sent(self.context, upstream, sent.at);
        }
        let run = Run::begin(self, upstream);
        let ended = exchange::attempt(self.context, upstream, self.request, left).await;
        sent.ended(&ended);
        self.learn(upstream, ended.end, run.known).await;
        ended
    }
}

/// An attempt under way, with what was known of the server when it was sent.
///
/// Failure: a caller leaves, or another server answers first, and the attempt is cancelled. Without a line
/// of its own nobody could tell later at which server a request stood until its caller left. Dropping this
/// writes it.
struct Sent<'a> {
    flight: &'a Flight<'a>,
    upstream: Rc<Upstream>,
    at: Instant,
    left: Duration,
    reading: Option<(Duration, LoadReading)>,
    seen: Candidate,
    open: bool,
}

impl<'a> Sent<'a> {
    fn now(flight: &'a Flight<'a>, upstream: &Rc<Upstream>) -> Self {
        let at = clock::now();
        Self {
            flight,
            at,
            left: flight.deadline.saturating_duration_since(at),
            reading: upstream.reading(at),
            seen: upstream.candidate(at, READING_TELLS, false),
            upstream: upstream.clone(),
            open: true,
        }
    }

    fn slowness(&self) -> f64 {
        self.reading.map_or(1.0, |(_, reading)| reading.slowness)
    }

    fn ended(mut self, ended: &Ended) {
        self.open = false;
        let (flight, context) = (self.flight, self.flight.context);
        context.metrics.attempt(ended.end.label());
        let succeeded = ended.end == AttemptOutcome::Succeeded;
        if succeeded && self.seen.reading.is_some() {
            let (slowness, slot) = (self.slowness(), self.seen.slot());
            context.measured(&flight.route, &flight.service, ended.took, slowness, slot);
        }
        if !succeeded || context.writes_ordinary_line(self.at) {
            self.tell(ended.end.label(), ended.detail, ended.took);
        }
    }

    fn tell(&self, end: &'static str, detail: &'static str, took: Duration) {
        let request = self.flight.request;
        tracing::info!(
            event = "attempt",
            request = request.id,
            route = %self.flight.route.name,
            server = %self.upstream.server.name,
            near = self.upstream.near,
            age_ms = self.reading.map(|(age, _)| age.as_millis() as u64),
            running = self.reading.map(|(_, r)| r.running),
            waiting = self.reading.map(|(_, r)| r.waiting),
            slowness = self.slowness(),
            waited_ms = (self.at - request.arrived).as_millis() as u64,
            took_ms = took.as_millis() as u64,
            left_ms = self.left.as_millis() as u64,
            end,
            detail,
        );
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        if self.open {
            let why = "the caller left, or another server answered first";
            self.flight.context.metrics.attempt("cancelled");
            self.tell("cancelled", why, clock::since(self.at));
        }
    }
}
