//! How requests end other than by an answer: refused, overdue, left by their callers.

use std::time::Instant;

use super::request::{Claim, Request};
use super::{Action, Dispatcher};
use crate::world::contract::Contract;
use crate::world::ids::RequestId;
use crate::world::refusal::{Refusal, RefusalReason};

impl Dispatcher {
    /// Ends a request with a refusal, at once.
    ///
    /// A claim is given back only where nothing can have been sent. A protected request that is
    /// in flight is kept until its attempt ends, so that its end can be recorded for the caller's
    /// next try.
    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.told {
            return;
        }
        let refusal = request.truthful(refusal);
        if let (Some(now), Some(request)) = (self.now, self.requests.remove(&id)) {
            self.explain(now, id, &request, refusal.into());
            self.requests.insert(id, request);
        }
        actions.push(Action::Refuse(id, refusal));
        self.leave(id, actions);
    }

    /// Forgets a request that its caller does not wait for any more.
    ///
    /// A lookup's attempts are cancelled. A protected action runs on, so that its end can be
    /// recorded.
    pub(super) fn leave(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.contract() == Contract::AtMostOnce && !request.live.is_empty() {
            request.told = true;
            return self.timers.remove(request.deadline, id);
        }
        let Some(request) = self.forget(id) else {
            return;
        };
        if let Some(state) = self.services.get_mut(request.service()) {
            state.remove(id);
        }
        if request.claim == Claim::Held {
            actions.push(match request.may_have_run() {
                true => Action::Acknowledge(id, None),
                false => Action::Release(id),
            });
        }
        actions.extend(request.live.into_iter().map(Action::Cancel));
    }

    /// Takes a request out of every table of the dispatcher but the queue.
    pub(super) fn forget(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.timers.remove(request.deadline, id);
        let Some(state) = self.services.get_mut(request.service()) else {
            return Some(request);
        };
        if request.claim == Claim::Asked {
            state.claim_settled(&request.route.rule().name);
        }
        if let Some(key) = request
            .key
            .as_ref()
            .filter(|_| request.claim != Claim::NotNeeded)
        {
            state.key_ended(key);
        }
        Some(request)
    }

    pub(super) fn caller_left(&mut self, now: Instant, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let service = request.service().clone();
        self.leave(id, actions);
        self.pump(now, &service, actions);
    }

    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(id) = self.timers.pop_due(now) {
            self.refuse(id, Refusal::not_run(RefusalReason::DeadlinePassed), actions);
        }
        self.give_up_attempts(now, actions);
        self.look_at_attempts(now, actions);
        self.pump_all(now, actions);
    }
}
