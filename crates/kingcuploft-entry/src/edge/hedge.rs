//! A second look at a lookup that takes long.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::attempts::AttemptEnd;
use kingcuploft::entry::hedging::{self, HedgeCheck};
use kingcuploft::entry::placement::{Candidate, ProbeScope, Step, place};

use super::active_request::ActiveRequest;
use super::selection::READING_POLL_INTERVAL;
use crate::clock;
use crate::upstream::exchange::AttemptOutcome;
use crate::upstream::{Upstream, probe};

/// How long a reading is waited for in a second look: a round trip to another zone, and some.
const HEDGE_READING_WAIT: Duration = Duration::from_millis(5);

/// The send that has not ended.
enum Pending {
    First,
    Second,
}

/// Any reading is younger.
const ANY_READING_AGE: Duration = Duration::from_secs(3600);

impl ActiveRequest<'_> {
    /// Sends a lookup, and looks at it again when it takes long: a server that has fallen silent, or is
    /// late while others are free, is not waited for alone. The first whole answer counts; the other
    /// send is cancelled.
    pub(super) async fn attempt_with_hedge(
        &self,
        upstream: &Rc<Upstream>,
    ) -> (AttemptOutcome, Option<Rc<Upstream>>) {
        let expected_ms = self.expected_ms(upstream);
        let mut first = std::pin::pin!(self.attempt(upstream));
        tokio::select! {
            biased;
            ended = &mut first => return (ended, None),
            () = tokio::time::sleep(hedging::hedge_delay(expected_ms)) => {}
        }
        let second = tokio::select! {
            biased;
            ended = &mut first => return (ended, None),
            second = self.hedge_upstream(upstream) => second,
        };
        let Some(other) = second else {
            return (first.await, None);
        };
        let mut second = std::pin::pin!(self.attempt(&other));
        let (ended, rest) = tokio::select! {
            biased;
            ended = &mut first => (ended, Pending::Second),
            ended = &mut second => (ended, Pending::First),
        };
        let ended = match (ended.end, rest) {
            (AttemptEnd::Succeeded, _) => ended,
            (_, Pending::First) => first.await,
            (_, Pending::Second) => second.await,
        };
        (ended, Some(other.clone()))
    }

    /// Returns the server for a second send of a lookup that takes long, if there should be one.
    async fn hedge_upstream(&self, upstream: &Rc<Upstream>) -> Option<Rc<Upstream>> {
        if self.is_suspect() {
            return None;
        }
        let service = self.configuration.services.get(&self.service)?;
        let asked_at = clock::now();
        probe::start(self.context, upstream, &service.health_path);
        tokio::time::sleep(HEDGE_READING_WAIT).await;
        let now = clock::now();
        let age = upstream.reading(now).map(|(age, _)| age);
        let need = self.need(now, now, ProbeScope::Far);
        let look = HedgeCheck {
            server_answers: age
                .is_some_and(|age| age <= now - asked_at + self.context.max_reading_age()),
            probe_budget_left: self.context.probe_budget_left(),
            deadline_left_ms: need.deadline_left_ms,
            work_ms: need.work_ms,
        };
        if !hedging::should_hedge(&look) || !self.attempts.may_send(1) {
            return None;
        }
        let others: Vec<_> = self.candidate_upstreams(now, ProbeScope::Far);
        let others: Vec<_> = others
            .into_iter()
            .filter(|u| !Rc::ptr_eq(u, upstream))
            .collect();
        self.probe_upstreams(&others, 1.0);
        tokio::time::sleep(HEDGE_READING_WAIT).await;
        let now = clock::now();
        let max_age = self.context.max_reading_age() + HEDGE_READING_WAIT + READING_POLL_INTERVAL;
        let seen = others
            .iter()
            .map(|u| u.candidate(now, max_age, self.is_excluded(u, now)));
        let candidates: Vec<Candidate> = seen.collect();
        let need = self.need(now, now, ProbeScope::Near);
        let Step::Send(at) = place(&need, &candidates, fastrand::f64) else {
            return None;
        };
        let after = match look.server_answers {
            true => "late",
            false => "silent",
        };
        let room = self.context.request_repeat(&self.wanted_repeat(after));
        others.get(at).filter(|_| room).cloned()
    }

    fn expected_ms(&self, upstream: &Upstream) -> f64 {
        let now = clock::now();
        let work_ms = self.context.work_ms(&self.route, &self.service);
        upstream
            .candidate(now, ANY_READING_AGE, false)
            .expected_ms(work_ms, self.context.last_slot_factor(&self.service))
    }
}
