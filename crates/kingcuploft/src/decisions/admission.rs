//! Whom to serve, who waits, who is refused.

use std::collections::VecDeque;
use std::time::Instant;

use crate::manifest::Service;
use crate::world::contract::Priority;
use crate::world::ids::{Caller, IdempotencyKey, RequestId};
use crate::world::refusal::{Refusal, RefusalReason};

/// A request that waits for a backend server.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub request: RequestId,
    /// The index of its rule within the service.
    pub rule: usize,
    /// Its order among waiting requests.
    pub priority: Priority,
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
    /// It is refused at the door.
    Refused(Refusal),
}

/// Which waiting request is served next.
#[derive(Debug)]
pub enum Next {
    /// This one.
    Serve(Waiting),
    /// This one can not be answered in time any more and is refused.
    Expired(Waiting),
    /// Nothing waits.
    Empty,
}

/// The waiting requests of one service on one VM.
#[derive(Debug)]
pub struct Admission {
    queue: VecDeque<Waiting>,
    limit: usize,
}

impl Admission {
    /// Builds an empty queue for a service.
    pub fn new(service: &Service) -> Self {
        Self {
            queue: VecDeque::new(),
            limit: service.rules.iter().map(|r| r.queue_limit as usize).sum(),
        }
    }

    /// Judges a request at the door without queueing it.
    pub fn check(&self, _now: Instant, _waiting: &Waiting) -> Offer {
        if self.queue.len() >= self.limit {
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
            Some(waiting) if waiting.deadline <= now => Next::Expired(waiting),
            Some(waiting) => Next::Serve(waiting),
        }
    }

    /// Takes a request whose deadline passed off the queue.
    pub fn expired(&mut self, now: Instant) -> Option<Waiting> {
        let at = self.queue.iter().position(|w| w.deadline <= now)?;
        self.queue.remove(at)
    }

    /// Takes a request off the queue whose caller left; tells whether it waited.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|w| w.request != request);
        self.queue.len() < before
    }

    /// Returns when the next waiting request expires.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.queue.iter().map(|w| w.deadline).min()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
