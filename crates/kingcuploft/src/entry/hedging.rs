//! When a lookup that runs is looked at again, and whether it is sent to a second server meanwhile.
//!
//! Load pattern: a server falls silent or turns slow while it works. The lookup waits until its
//! deadline, though other servers would answer within the time that is left. A second send costs a slot
//! and a repeat from the budget, so it is sent only to a server that is good now, and never under
//! overload: there, what one caller gains the next one loses.

use std::time::Duration;

/// A lookup is looked at when it has run this multiple of the expected time: nine in ten have ended.
const LOOK_AFTER: f64 = 2.0;

/// The shortest time until the look: below it, a probe would cost more than the wait.
const SHORTEST: Duration = Duration::from_millis(30);

/// The part of the probe budget that must be there for a server that is alive but late: less means
/// that requests find no good server at once, which is overload.
const CALM: f64 = 0.5;

/// What the look found.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCheck {
    /// Whether the server answered a probe just now.
    pub server_answers: bool,
    /// Which part of the probe budget is there to be used.
    pub probe_budget_left: f64,
    /// The time left until the deadline, in milliseconds.
    pub deadline_left_ms: f64,
    /// The work on a server of usual speed, in milliseconds.
    pub work_ms: f64,
}

/// Returns when a lookup is looked at that is expected to take so long.
pub fn hedge_delay(expected_ms: f64) -> Duration {
    Duration::from_secs_f64(expected_ms.max(0.0) * LOOK_AFTER / 1000.0).max(SHORTEST)
}

/// Returns whether the lookup should be sent to a second server.
pub fn should_hedge(look: &HedgeCheck) -> bool {
    let in_time = look.deadline_left_ms > look.work_ms;
    in_time && (!look.server_answers || look.probe_budget_left >= CALM)
}
