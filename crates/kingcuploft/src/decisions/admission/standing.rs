//! Where a waiting request stands, and the load of its rule.

use std::time::Instant;

use crate::decisions::fair_queue::Place;
use crate::decisions::pace::ServiceTime;

/// The load of one rule.
#[derive(Debug, Default)]
pub(super) struct RuleLoad {
    pub(super) waiting: usize,
    pub(super) claiming: usize,
    pub(super) service_time: ServiceTime,
}

/// Where a waiting request stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct Standing {
    pub(super) priority: usize,
    pub(super) place: Place,
    pub(super) cost_us: u64,
    /// When it can not be answered in time any more.
    pub(super) hopeless_at: Instant,
}
