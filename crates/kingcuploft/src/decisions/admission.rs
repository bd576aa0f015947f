//! Whom to serve, who waits, who is refused.

use std::collections::VecDeque;
use std::time::Instant;

use crate::manifest::Service;
use crate::world::contract::Priority;
use crate::world::ids::{Caller, IdempotencyKey, RequestId, RuleName};
use crate::world::refusal::{Refusal, RefusalReason};

/// A request that waits for a backend server.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub request: RequestId,
    /// Its rule.
    pub rule: RuleName,
    /// Its order among waiting requests.
    pub priority: Priority,
    /// How many requests of its rule may wait.
    pub queue_limit: u32,
    /// The largest share of the queue that its caller may hold.
    pub caller_share: f64,
    /// Who sent it.
    pub caller: Caller,
    /// Its idempotency key, if it has one.
    pub key: Option<IdempotencyKey>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer is due.
    pub deadline: Instant,
}

/// What became of a request that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It waits.
    Queued,
    /// It waits, and this request, which waited, is refused in its stead.
    QueuedInsteadOf(RequestId, Refusal),
    /// It is refused at the door.
    Refused(Refusal),
}

/// Which waiting request is served next.
#[derive(Debug)]
pub enum Next {
    /// This one.
    Serve(Waiting),
    /// This one can not be answered in time any more and is refused.
    GivenUp(Waiting, Refusal),
    /// Nothing waits.
    Empty,
}

/// The waiting requests of one service on one VM.
#[derive(Debug)]
pub struct Admission {
    queue: VecDeque<Waiting>,
    limit: usize,
    claiming: usize,
}

impl Admission {
    /// Builds an empty queue for a service.
    pub fn new(service: &Service) -> Self {
        Self {
            queue: VecDeque::new(),
            limit: limit(service),
            claiming: 0,
        }
    }

    /// Goes on under a new manifest; what waits stays.
    pub fn adopt(&mut self, service: &Service) {
        self.limit = limit(service);
    }

    /// Sets how many requests have their claims asked for; they have their place in the queue.
    pub fn set_claiming(&mut self, claiming: usize) {
        self.claiming = claiming;
    }

    /// Notes that a claim is asked for.
    pub fn claim_asked(&mut self) {
        self.claiming += 1;
    }

    /// Notes that a claim was settled.
    pub fn claim_settled(&mut self) {
        self.claiming = self.claiming.saturating_sub(1);
    }

    /// Judges a request at the door without queueing it.
    pub fn check(&self, _now: Instant, _waiting: &Waiting) -> Offer {
        if self.queue.len() + self.claiming >= self.limit {
            return Offer::Refused(Refusal::not_run(RefusalReason::QueueFull));
        }
        Offer::Queued
    }

    /// Queues a request, or refuses it.
    pub fn offer(&mut self, now: Instant, waiting: Waiting) -> Offer {
        let offer = self.check(now, &waiting);
        if offer == Offer::Queued {
            self.queue.push_back(waiting);
        }
        offer
    }

    /// Takes the next request off the queue.
    pub fn next(&mut self, now: Instant) -> Next {
        match self.queue.pop_front() {
            None => Next::Empty,
            Some(waiting) if waiting.deadline <= now => {
                Next::GivenUp(waiting, Refusal::not_run(RefusalReason::DeadlinePassed))
            }
            Some(waiting) => Next::Serve(waiting),
        }
    }

    /// Takes a request off the queue whose caller left; tells whether it waited.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.request != request);
        self.queue.len() < before
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns every request that waits.
    pub fn into_requests(self) -> Vec<RequestId> {
        self.queue.into_iter().map(|w| w.request).collect()
    }
}

fn limit(service: &Service) -> usize {
    service.rules.iter().map(|r| r.queue_limit as usize).sum()
}
