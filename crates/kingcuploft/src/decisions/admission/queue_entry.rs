//! A waiting request's place in the queue, and the load of its rule.

use std::time::Instant;

use crate::decisions::fair_queue::QueuePosition;
use crate::decisions::service_time::ServiceTime;

/// The requests of one rule that wait or are being claimed, and their service time.
#[derive(Debug, Default)]
pub(super) struct RuleLoad {
    pub(super) waiting: usize,
    pub(super) claiming: usize,
    pub(super) service_time: ServiceTime,
}

/// A waiting request's place in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEntry {
    pub(super) priority: usize,
    pub(super) position: QueuePosition,
    pub(super) cost_us: u64,
    /// The time after which it can not be answered by its deadline any more.
    pub(super) latest_start: Instant,
}
