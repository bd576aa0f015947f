//! A second look at a lookup that takes long.

use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::attempts::AttemptOutcome;
use kingcuploft::entry::hedging::{self, HedgeCheck};
use kingcuploft::entry::placement::{Candidate, ProbeScope, Step, place};

use super::choosing::AWAIT_STEP;
use super::flight::Flight;
use crate::clock;
use crate::upstream::exchange::Ended;
use crate::upstream::{Upstream, probe};

/// How long a reading is waited for in a second look: a round trip to another zone, and some.
const SECOND_LOOK_PATIENCE: Duration = Duration::from_millis(5);

/// The send that has not ended.
enum Rest {
    First,
    Second,
}

/// Any reading is younger.
const LONG_AGO: Duration = Duration::from_secs(3600);

impl Flight<'_> {
    /// Sends a lookup, and looks at it again when it takes long: a server that has fallen silent, or is
    /// late while others are free, is not waited for alone. The first whole answer counts; the other
    /// send is cancelled.
    pub(super) async fn attempt_with_second_look(
        &self,
        upstream: &Rc<Upstream>,
    ) -> (Ended, Option<Rc<Upstream>>) {
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
            second = self.second(upstream) => second,
        };
        let Some(other) = second else {
            return (first.await, None);
        };
        let mut second = std::pin::pin!(self.attempt(&other));
        let (ended, rest) = tokio::select! {
            biased;
            ended = &mut first => (ended, Rest::Second),
            ended = &mut second => (ended, Rest::First),
        };
        let ended = match (ended.end, rest) {
            (AttemptOutcome::Succeeded, _) => ended,
            (_, Rest::First) => first.await,
            (_, Rest::Second) => second.await,
        };
        (ended, Some(other.clone()))
    }

    /// Returns the server for a second send of a lookup that takes long, if there should be one.
    async fn second(&self, upstream: &Rc<Upstream>) -> Option<Rc<Upstream>> {
        if self.is_suspect() {
            return None;
        }
        let service = self.configuration.services.get(&self.service)?;
        let asked_at = clock::now();
        probe::ask(self.context, upstream, &service.health_path);
        tokio::time::sleep(SECOND_LOOK_PATIENCE).await;
        let now = clock::now();
        let age = upstream.reading(now).map(|(age, _)| age);
        let need = self.need(now, now, ProbeScope::Far);
        let look = HedgeCheck {
            server_answers: age
                .is_some_and(|age| age <= now - asked_at + self.context.reading_life()),
            probe_budget_left: self.context.probes_left(),
            deadline_left_ms: need.deadline_left_ms,
            work_ms: need.work_ms,
        };
        if !hedging::should_hedge(&look) || !self.attempts.may_send(1) {
            return None;
        }
        let others: Vec<_> = self.usable(now, ProbeScope::Far);
        let others: Vec<_> = others
            .into_iter()
            .filter(|u| !Rc::ptr_eq(u, upstream))
            .collect();
        self.ask(&others, 1.0);
        tokio::time::sleep(SECOND_LOOK_PATIENCE).await;
        let now = clock::now();
        let life = self.context.reading_life() + SECOND_LOOK_PATIENCE + AWAIT_STEP;
        let seen = others
            .iter()
            .map(|u| u.candidate(now, life, self.is_out(u, now)));
        let candidates: Vec<Candidate> = seen.collect();
        let need = self.need(now, now, ProbeScope::Near);
        let Step::Send(at) = place(&need, &candidates, fastrand::f64) else {
            return None;
        };
        let after = match look.server_answers {
            true => "late",
            false => "silent",
        };
        let room = self.context.repeats(&self.wanted_repeat(after));
        others.get(at).filter(|_| room).cloned()
    }

    fn expected_ms(&self, upstream: &Upstream) -> f64 {
        let now = clock::now();
        let work_ms = self.context.work_ms(&self.route, &self.service);
        upstream
            .candidate(now, LONG_AGO, false)
            .expected_ms(work_ms, self.context.last_slot(&self.service))
    }
}
