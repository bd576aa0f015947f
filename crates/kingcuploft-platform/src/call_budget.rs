//! A token bucket that limits the rate at which one VM calls the store.

use std::time::{Duration, Instant};

/// The longest time until the next call that is reported.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The token bucket of a VM's calls to the store.
///
/// Load pattern: a VM retries on its own. The platform counts each call, and the rates it allows grow more slowly
/// than the number of VMs. Without a bound, that VM uses up the calls that the other VMs' claims need.
#[derive(Debug)]
pub struct CallBudget {
    calls_per_s: f64,
    burst: f64,
    tokens: f64,
    filled: Option<Instant>,
}

impl CallBudget {
    /// Builds a full token bucket.
    pub fn new(calls_per_s: f64, burst: f64) -> Self {
        Self {
            calls_per_s,
            burst,
            tokens: burst,
            filled: None,
        }
    }

    /// Takes the token of one call.
    ///
    /// # Errors
    ///
    /// Returns the time until the next token if the bucket is empty.
    pub fn try_take(&mut self, now: Instant) -> Result<(), Duration> {
        let since = self.filled.map(|at| now.saturating_duration_since(at));
        let earned = since.unwrap_or_default().as_secs_f64() * self.calls_per_s;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.filled = Some(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing_s = (1.0 - self.tokens) / self.calls_per_s;
        // A rate of 0 gives an infinite time, which no `Duration` holds.
        let missing = Duration::try_from_secs_f64(missing_s).unwrap_or(MAX_RETRY_AFTER);
        Err(missing.min(MAX_RETRY_AFTER))
    }
}
