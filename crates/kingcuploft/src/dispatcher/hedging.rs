//! Second attempts at lookups whose first one is slow.

use std::time::Instant;

use super::{Action, Dispatcher};
use crate::decisions::hedge::HedgeStep;
use crate::world::contract::Contract;
use crate::world::ids::AttemptId;

/// What to do with an attempt that was looked at.
pub(super) enum HedgePick {
    /// Send the request to the backend server with this index too.
    Send(usize, HedgeStep),
    /// Look again then.
    CheckAgain(Instant),
    /// Leave it alone.
    DoNotHedge,
}

impl Dispatcher {
    /// Plans the look at the first attempt of a lookup.
    pub(super) fn plan_look(&mut self, now: Instant, id: AttemptId) {
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
            attempt.look_at = Some(now + after);
            self.look_timers.insert(now + after, id);
        }
    }

    /// Forgets the look at an attempt that has ended.
    pub(super) fn forget_look(&mut self, id: AttemptId, look_at: Option<Instant>) {
        if let Some(at) = look_at {
            self.look_timers.remove(at, id);
        }
    }

    /// Looks at the attempts that are due for it.
    pub(super) fn look_at_attempts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(id) = self.look_timers.pop_due(now) {
            self.look(now, id, actions);
        }
    }

    fn look(&mut self, now: Instant, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.look_at = None;
        let Some(request) = self.requests.get(&attempt.request) else {
            return;
        };
        let Some(state) = self.services.get_mut(&attempt.service) else {
            return;
        };
        if request.live.len() != 1 {
            return;
        }
        match state.pick_hedge(now, &mut self.rng, request, attempt) {
            HedgePick::DoNotHedge => {}
            HedgePick::CheckAgain(at) => {
                attempt.look_at = Some(at);
                self.look_timers.insert(at, id);
            }
            HedgePick::Send(server, step) => {
                let (request, service) = (attempt.request, attempt.service.clone());
                actions.push(Action::CountHedge(service, step));
                self.call(now, request, server, actions);
                if let Some(hedge) = self.attempts.get_mut(&self.last_attempt) {
                    hedge.is_hedge = true;
                }
            }
        }
    }
}
