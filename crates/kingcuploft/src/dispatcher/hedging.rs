//! Hedged requests: second attempts at lookups whose first attempt is slow.

use std::time::Instant;

use super::{Action, Dispatcher};
use crate::decisions::hedge::HedgeStep;
use crate::world::contract::Contract;
use crate::world::ids::AttemptId;

/// The decision on an attempt that was checked for a hedge.
pub(super) enum HedgePick {
    /// Send the request also to the backend server with this index.
    Send(usize, HedgeStep),
    /// Check the attempt again at this time.
    CheckAgain(Instant),
    /// Send no hedge.
    DoNotHedge,
}

impl Dispatcher {
    /// Schedules the hedge check of a lookup's first attempt.
    pub(super) fn schedule_hedge_check(&mut self, now: Instant, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(request) = self.requests.get(&attempt.request) else {
            return;
        };
        if request.contract() != Contract::RetryFreely || request.attempts > 1 {
            return;
        }
        let state = self.services.get_mut(&attempt.service);
        let after = state.and_then(|state| state.lookup_sent(&attempt.rule));
        if let Some(after) = after {
            attempt.hedge_check_at = Some(now + after);
            self.hedge_timers.insert(now + after, id);
        }
    }

    /// Cancels the hedge check of an attempt that has ended.
    pub(super) fn cancel_hedge_check(&mut self, id: AttemptId, hedge_check_at: Option<Instant>) {
        if let Some(at) = hedge_check_at {
            self.hedge_timers.remove(at, id);
        }
    }

    /// Checks the attempts whose hedge check is due.
    pub(super) fn check_due_hedges(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(id) = self.hedge_timers.pop_due(now) {
            self.check_hedge(now, id, actions);
        }
    }

    fn check_hedge(&mut self, now: Instant, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.hedge_check_at = None;
        let Some(request) = self.requests.get(&attempt.request) else {
            return;
        };
        let Some(state) = self.services.get_mut(&attempt.service) else {
            return;
        };
        if request.in_flight.len() != 1 {
            return;
        }
        match state.pick_hedge(now, &mut self.rng, request, attempt) {
            HedgePick::DoNotHedge => {}
            HedgePick::CheckAgain(at) => {
                attempt.hedge_check_at = Some(at);
                self.hedge_timers.insert(at, id);
            }
            HedgePick::Send(server, step) => {
                let (request, service) = (attempt.request, attempt.service.clone());
                actions.push(Action::CountHedge(service, step));
                self.start_attempt(now, request, server, actions);
                if let Some(hedge) = self.attempts.get_mut(&self.last_attempt) {
                    hedge.is_hedge = true;
                }
            }
        }
    }
}
