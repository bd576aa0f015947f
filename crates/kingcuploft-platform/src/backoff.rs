//! Exponential backoff with jitter.

use std::time::Duration;

/// The delays between attempts, each drawn uniformly below a bound that doubles with each attempt.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    tries: u32,
}

impl Backoff {
    /// Builds a backoff whose first delay is at most `initial`; no delay is above `max`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            tries: 0,
        }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let factor = 1_u32 << self.tries.min(16);
        self.tries += 1;
        let bound = self.initial.saturating_mul(factor).min(self.max);
        bound.mul_f64(rng.f64())
    }

    /// Starts again from the initial bound, after a success.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
