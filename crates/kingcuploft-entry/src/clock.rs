//! The monotonic clock of this VM's tasks, which tests can control.

use std::time::{Duration, Instant};

/// Returns the current time, by the clock that drives the timers.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Beyond this no time is told apart from a later one: thirty years, which no process lasts.
const FAR_FUTURE: Duration = Duration::from_secs(30 * 365 * 24 * 3600);

/// Returns the moment so long after another; one beyond what the clock can hold is far in the future.
pub fn after(moment: Instant, time: Duration) -> Instant {
    moment + time.min(FAR_FUTURE)
}

/// Returns the time that has passed since `moment`, by the same clock.
pub fn since(moment: Instant) -> Duration {
    now().saturating_duration_since(moment)
}
