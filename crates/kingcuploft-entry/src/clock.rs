//! The clock of this VM's tasks.

use std::time::Instant;

/// Returns the present moment, by the clock that timers run by.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
