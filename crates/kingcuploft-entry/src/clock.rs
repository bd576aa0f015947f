//! The clock of this VM's tasks.

use std::time::{Duration, Instant};

/// Returns the present moment, by the clock that timers run by.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Returns how long ago a moment was, by the same clock.
pub fn since(moment: Instant) -> Duration {
    now().saturating_duration_since(moment)
}
