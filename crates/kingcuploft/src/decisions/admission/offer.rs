//! The request that admission decides on, and its decisions.

use std::time::{Duration, Instant};

use crate::world::contract::Priority;
use crate::world::ids::{Caller, IdempotencyKey, RequestId, RuleName};
use crate::world::refusal::Refusal;

/// A request that waits for a backend server, or is to.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// The request's number.
    pub request: RequestId,
    /// The name of its rule.
    pub rule: RuleName,
    /// Its priority among waiting requests.
    pub priority: Priority,
    /// How many requests of its rule may wait.
    pub queue_limit: u32,
    /// The largest share of the queue that its caller may hold while others wait.
    pub caller_share: f64,
    /// The caller who sent it.
    pub caller: Caller,
    /// Its idempotency key, if it has one.
    pub key: Option<IdempotencyKey>,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer is due.
    pub deadline: Instant,
}

/// The decision on a new request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It is queued.
    Queued,
    /// It is queued, and this request, which waited, is evicted and refused.
    QueuedReplacing(RequestId, Refusal),
    /// It is refused without being queued.
    Refused(Refusal),
}

/// The result of taking a request off the queue.
#[derive(Debug)]
pub enum NextRequest {
    /// This request is served next.
    Serve(QueuedRequest),
    /// This request can not be answered in time any more and is refused; the caller asks again for the next one.
    Shed(RequestId, Refusal),
    /// No request waits.
    Empty,
}

/// The estimated wait of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitEstimate {
    /// How many requests are served before it.
    pub ahead: usize,
    /// How long it waits for a slot.
    pub wait: Duration,
    /// The service time that nine of ten requests of its rule stay under.
    pub service_time: Duration,
}
