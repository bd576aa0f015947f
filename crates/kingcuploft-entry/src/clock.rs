//! The monotonic clock of this VM's tasks, which tests can control.

use std::time::{Duration, Instant};

/// Returns the current time, by the clock that drives the timers.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Returns the time that has passed since `moment`, by the same clock.
pub fn since(moment: Instant) -> Duration {
    now().saturating_duration_since(moment)
}
