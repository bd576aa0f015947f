//! Ends requests without an answer: refusals, passed deadlines and disconnected callers.

use std::time::Instant;

use super::request::{ClaimState, Request};
use super::{Action, Dispatcher};
use crate::world::contract::Contract;
use crate::world::ids::RequestId;
use crate::world::refusal::{Refusal, RefusalReason};

impl Dispatcher {
    /// Refuses a request at once.
    ///
    /// Its claim is released only where nothing can have been sent. A protected request in flight is kept until its
    /// attempt ends, so that the caller's next retry gets the recorded end.
    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.is_caller_done {
            return;
        }
        let refusal = request.correct_outcome(refusal);
        if let (Some(now), Some(request)) = (self.last_event_at, self.requests.remove(&id)) {
            self.explain(now, id, &request, refusal.into());
            self.requests.insert(id, request);
        }
        actions.push(Action::Refuse(id, refusal));
        self.abandon(id, actions);
    }

    /// Drops a request whose caller no longer waits.
    ///
    /// The attempts of a lookup are cancelled. A protected action in flight runs on, so that its end can be recorded.
    pub(super) fn abandon(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.contract() == Contract::AtMostOnce && !request.in_flight.is_empty() {
            request.is_caller_done = true;
            return self.deadline_timers.remove(request.deadline, id);
        }
        let Some(request) = self.remove_request(id) else {
            return;
        };
        if let Some(state) = self.services.get_mut(request.service()) {
            state.remove(id);
        }
        if request.claim == ClaimState::Held {
            actions.push(match request.may_have_run() {
                true => Action::Acknowledge(id, None),
                false => Action::Release(id),
            });
        }
        actions.extend(request.in_flight.into_iter().map(Action::Cancel));
    }

    /// Removes a request from all tables of the dispatcher except the queue.
    pub(super) fn remove_request(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.deadline_timers.remove(request.deadline, id);
        let Some(state) = self.services.get_mut(request.service()) else {
            return Some(request);
        };
        if request.claim == ClaimState::Requested {
            state.claim_ended(&request.route.rule().name);
        }
        if let Some(key) = request
            .key
            .as_ref()
            .filter(|_| request.claim != ClaimState::NotNeeded)
        {
            state.key_ended(key);
        }
        Some(request)
    }

    pub(super) fn on_caller_disconnect(
        &mut self,
        now: Instant,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let service = request.service().clone();
        self.abandon(id, actions);
        self.send_waiting(now, &service, actions);
    }

    pub(super) fn on_tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(id) = self.deadline_timers.pop_due(now) {
            self.refuse(id, Refusal::not_run(RefusalReason::DeadlinePassed), actions);
        }
        self.expire_attempts(now, actions);
        self.check_due_hedges(now, actions);
        self.send_all_waiting(now, actions);
    }
}
