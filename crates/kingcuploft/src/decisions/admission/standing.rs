//! Where a waiting request stands, and the load of its rule.

use std::time::Instant;

use crate::decisions::fair_queue::QueuePosition;
use crate::decisions::service_time::ServiceTime;

/// The load of one rule.
#[derive(Debug, Default)]
pub(super) struct RuleLoad {
    pub(super) waiting: usize,
    pub(super) claiming: usize,
    pub(super) service_time: ServiceTime,
}

/// Where a waiting request stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEntry {
    pub(super) priority: usize,
    pub(super) position: QueuePosition,
    pub(super) cost_us: u64,
    /// When it can not be answered in time any more.
    pub(super) latest_start: Instant,
}
