//! Hedged requests: a second send of an idempotent lookup whose first send takes too long.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::attempts::AttemptEnd;
use kingcuploft::entry::hedging::{self, HedgeCheck};
use kingcuploft::entry::placement::{Candidate, ProbeScope, Step, place};
use kingcuploft::entry::probe_fanout::MAX_PROBED_FIRST;

use super::active_request::ActiveRequest;
use super::selection::LOAD_REPORT_POLL_INTERVAL;
use crate::clock;
use crate::http::client::LastArrival;
use crate::upstream::Upstream;
use crate::upstream::exchange::AttemptOutcome;
use crate::upstream::probe::{self, PROBE_TIMEOUT};

/// How long the load reports that a hedge needs are waited for: a round trip to another zone, with a margin.
const HEDGE_LOAD_REPORT_WAIT: Duration = Duration::from_millis(5);

/// The send that has not ended.
enum Pending {
    First,
    Second,
}

/// An age that no load report reaches: the last one is used, however old it is.
const ANY_LOAD_REPORT_AGE: Duration = Duration::from_secs(3600);

impl ActiveRequest<'_> {
    /// Sends a lookup, and sends it to a second server when it takes too long. So the caller does not depend on a
    /// server that has stopped answering, or that is late while others are free. The first complete answer counts; the
    /// other send is cancelled.
    pub(super) async fn attempt_with_hedge(
        &self,
        upstream: &Rc<Upstream>,
    ) -> (AttemptOutcome, Option<Rc<Upstream>>) {
        let expected_ms = self.expected_ms(upstream);
        let first_arrival = LastArrival::default();
        let mut first = std::pin::pin!(self.attempt_tracked(upstream, &first_arrival));
        tokio::select! {
            biased;
            outcome = &mut first => return (outcome, None),
            () = tokio::time::sleep(hedging::hedge_delay(expected_ms)) => {}
        }
        let second = tokio::select! {
            biased;
            outcome = &mut first => return (outcome, None),
            second = self.hedge_upstream(upstream) => second,
        };
        let Some(hedge_target) = second else {
            return (first.await, None);
        };
        let mut second = std::pin::pin!(self.attempt(&hedge_target));
        let (outcome, pending) = tokio::select! {
            biased;
            outcome = &mut first => (outcome, Pending::Second),
            outcome = &mut second => (outcome, Pending::First),
        };
        let outcome = match (outcome.end, pending) {
            (AttemptEnd::Succeeded, Pending::First) => {
                if first_arrival.get().is_some() {
                    // Its answer has begun, and a send that began later has ended before it.
                    upstream.record_outcome(clock::now(), true);
                }
                outcome
            }
            (AttemptEnd::Succeeded, Pending::Second) => outcome,
            (_, Pending::First) => first.await,
            (_, Pending::Second) => second.await,
        };
        (outcome, Some(hedge_target.clone()))
    }

    /// Returns the server for the hedge of a lookup that takes too long, or `None` if there should be no hedge.
    async fn hedge_upstream(&self, upstream: &Rc<Upstream>) -> Option<Rc<Upstream>> {
        if self.is_suspect() {
            return None;
        }
        let service = self.configuration.services.get(&self.service)?;
        let health_path = service.health_path.as_ref()?;
        let asked_at = clock::now();
        probe::start(self.context, upstream, health_path);
        tokio::time::sleep(HEDGE_LOAD_REPORT_WAIT).await;
        let now = clock::now();
        let longest = self.context.max_load_report_age();
        let age = upstream.load_report(now).map(|(age, _)| age);
        let need = self.need(now, now, ProbeScope::Far);
        let check = HedgeCheck {
            server_answers: age.is_some_and(|age| {
                age <= longest.saturating_add(now.saturating_duration_since(asked_at))
            }),
            probe_budget_left: self.context.probe_budget_left(),
            deadline_left_ms: need.deadline_left_ms,
            work_ms: need.work_ms,
        };
        if !hedging::should_hedge(&check) || !self.attempts.may_send(1) {
            return None;
        }
        let other_upstreams: Vec<_> =
            self.candidate_upstreams(now, ProbeScope::Far, MAX_PROBED_FIRST);
        let other_upstreams: Vec<_> = other_upstreams
            .into_iter()
            .filter(|u| !Rc::ptr_eq(u, upstream))
            .collect();
        self.probe_upstreams(&other_upstreams, 1.0);
        let at = self.place_hedge(&other_upstreams).await?;
        let after = match check.server_answers {
            true => "late",
            false => "silent",
        };
        let has_budget = self.context.request_repeat(&self.wanted_repeat(after));
        other_upstreams.get(at).filter(|_| has_budget).cloned()
    }

    /// Returns the index of a server that is good by its load report, which was just asked for.
    ///
    /// Failure: this VM or the other servers are some milliseconds late, as their processor is busy. If the reports were
    /// looked at only once, the lookup would wait for a silent server until its deadline. So they are waited for as long
    /// as a probe may take.
    async fn place_hedge(&self, other_upstreams: &[Rc<Upstream>]) -> Option<usize> {
        let asked_at = clock::now();
        let mut wait = HEDGE_LOAD_REPORT_WAIT;
        loop {
            tokio::time::sleep(wait).await;
            let now = clock::now();
            let waited = now.saturating_duration_since(asked_at);
            let max_age = self.context.max_load_report_age().saturating_add(waited);
            let max_age = max_age.saturating_add(LOAD_REPORT_POLL_INTERVAL);
            let candidates = other_upstreams
                .iter()
                .map(|u| u.candidate(now, max_age, self.is_excluded(u, now)));
            let candidates: Vec<Candidate> = candidates.collect();
            let need = self.need(now, now, ProbeScope::Near);
            if let Step::Send(at) = place(&need, &candidates, fastrand::f64) {
                return Some(at);
            }
            if waited >= PROBE_TIMEOUT {
                return None;
            }
            wait = LOAD_REPORT_POLL_INTERVAL;
        }
    }

    fn expected_ms(&self, upstream: &Upstream) -> f64 {
        let now = clock::now();
        let work_ms = self.context.work_ms(&self.route, &self.service);
        upstream
            .candidate(now, ANY_LOAD_REPORT_AGE, false)
            .expected_ms(work_ms, self.context.last_slot_factor(&self.service))
    }
}
