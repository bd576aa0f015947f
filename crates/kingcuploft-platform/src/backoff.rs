//! Jittered exponential backoff.

use std::time::Duration;

/// The pauses between tries, each drawn evenly below a bound that doubles.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    tries: u32,
}

impl Backoff {
    /// Builds the pauses; the first is at most `first`, none is above `longest`.
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            tries: 0,
        }
    }

    /// Returns the next pause.
    pub fn next_delay(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let factor = 1_u32 << self.tries.min(16);
        self.tries += 1;
        let bound = self.initial.saturating_mul(factor).min(self.max);
        bound.mul_f64(rng.f64())
    }

    /// Begins anew after a success.
    pub fn reset(&mut self) {
        self.tries = 0;
    }
}
