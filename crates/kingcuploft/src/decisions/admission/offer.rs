//! A request as the door sees it, and what becomes of it there.

use std::time::{Duration, Instant};

use crate::world::contract::Priority;
use crate::world::ids::{Caller, IdempotencyKey, RequestId, RuleName};
use crate::world::refusal::Refusal;

/// A request that waits for a backend server.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The request.
    pub request: RequestId,
    /// Its rule.
    pub rule: RuleName,
    /// Its order among waiting requests.
    pub priority: Priority,
    /// How many requests of its rule may wait.
    pub queue_limit: u32,
    /// The largest share of the queue that its caller may hold while others wait.
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
pub enum AdmissionDecision {
    /// It waits.
    Queued,
    /// It waits, and this request, which waited, is refused in its stead.
    QueuedReplacing(RequestId, Refusal),
    /// It is refused at the door.
    Refused(Refusal),
}

/// Which waiting request is served next.
#[derive(Debug)]
pub enum NextRequest {
    /// This one.
    Serve(QueuedRequest),
    /// None yet: this one can not be answered in time any more and is refused.
    Shed(RequestId, Refusal),
    /// Nothing waits.
    Empty,
}

/// What a request can expect, as things stand.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitEstimate {
    /// How many requests are served before it.
    pub ahead: usize,
    /// How long it waits.
    pub wait: Duration,
    /// The service time that nine of ten requests of its rule stay under.
    pub service_time: Duration,
}
