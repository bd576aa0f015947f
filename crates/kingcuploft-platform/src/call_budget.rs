//! A token bucket over the calls of one VM.

use std::time::{Duration, Instant};

/// The longest wait that is told.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The calls that a VM may still make.
///
/// The platform counts each call and its rates grow more slowly than the fleet. Without a bound, a
/// VM that retries on its own takes the calls that the others' claims need.
#[derive(Debug)]
pub struct CallBudget {
    calls_per_s: f64,
    burst: f64,
    tokens: f64,
    filled: Option<Instant>,
}

impl CallBudget {
    /// Builds a full bucket.
    pub fn new(calls_per_s: f64, burst: f64) -> Self {
        Self {
            calls_per_s,
            burst,
            tokens: burst,
            filled: None,
        }
    }

    /// Takes one call out.
    ///
    /// # Errors
    ///
    /// The time until there is one, where the bucket is empty.
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
        // A rate of nothing would give a time that no clock can add.
        let missing = Duration::try_from_secs_f64(missing_s).unwrap_or(MAX_RETRY_AFTER);
        Err(missing.min(MAX_RETRY_AFTER))
    }
}
