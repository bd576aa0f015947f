//! The recent failure rate of a backend server.
//!
//! Load pattern: a server reports that it is healthy and idle, and fails or sheds half of its requests; as it is always
//! idle, selection by load sends it a large part of a service's requests. The failure rate makes it cost more in the
//! selection. The rate decays, so that a recovered server is tried again.

use std::time::{Duration, Instant};

/// Half-life of the failure rate: a server is tried again after a second or two without calls.
const HALF_LIFE: Duration = Duration::from_millis(2500);

/// Number of assumed successful calls, so that a single failure does not exclude a server.
const PRIOR_CALLS: f64 = 1.5;

/// An exponentially decaying failure rate of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    failed: f64,
    calls: f64,
    updated_at: Option<Instant>,
}

impl FailureRate {
    /// Records whether a call failed.
    pub fn record(&mut self, now: Instant, failed: bool) {
        let decay = self.decay(now);
        self.calls = self.calls * decay + 1.0;
        self.failed = self.failed * decay + f64::from(u8::from(failed));
        self.updated_at = Some(now);
    }

    /// Returns the recent share of failed calls, from 0 to 1.
    pub fn rate(&self, now: Instant) -> f64 {
        let decay = self.decay(now);
        self.failed * decay / (self.calls * decay + PRIOR_CALLS)
    }

    fn decay(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
