//! Hedged requests: when a running lookup is also sent to a second server.
//!
//! Load pattern: a server stops responding or turns slow while it works. The lookup waits until its deadline, though
//! other servers would answer within the time that is left. A hedged request costs a slot and a repeat from the budget,
//! so it is sent only to a server that is good now, and never under overload: there, what one caller gains another one
//! loses.

use std::time::Duration;

/// Multiple of the expected time after which a hedge is considered: nine lookups in ten have ended by then.
const DELAY_FACTOR: f64 = 2.0;

/// Minimum hedge delay: below it, a probe costs more than the wait.
const MIN_DELAY: Duration = Duration::from_millis(30);

/// Fraction of the probe budget that must be left to hedge against a server that is alive but late: less means that
/// requests don't find a good server at once, which is overload.
const MIN_PROBE_BUDGET_LEFT: f64 = 0.5;

/// The state of a lookup when a hedge is considered.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCheck {
    /// Whether the server just answered a probe.
    pub server_answers: bool,
    /// The fraction of the probe budget that is left, from 0 to 1.
    pub probe_budget_left: f64,
    /// The time left until the deadline, in milliseconds.
    pub deadline_left_ms: f64,
    /// The service time on a server of usual speed, in milliseconds.
    pub work_ms: f64,
}

/// Returns how long after its start a hedge is considered for a lookup that is expected to take `expected_ms`.
pub fn hedge_delay(expected_ms: f64) -> Duration {
    Duration::from_secs_f64(expected_ms.max(0.0) * DELAY_FACTOR / 1000.0).max(MIN_DELAY)
}

/// Returns whether the lookup should be sent to a second server.
pub fn should_hedge(check: &HedgeCheck) -> bool {
    let in_time = check.deadline_left_ms > check.work_ms;
    in_time && (!check.server_answers || check.probe_budget_left >= MIN_PROBE_BUDGET_LEFT)
}
