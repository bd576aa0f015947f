//! How much a backend server is to be avoided for its recent failures.
//!
//! Load pattern: a server says it is well and idle, and fails or sheds half of what it gets; as it
//! is always idle, choice by load sends it everything. Without this module it takes a large part of
//! a service's requests. The share of failed calls makes it cost more; the memory fades, so that a
//! mended server is tried again.

use std::time::{Duration, Instant};

/// The memory of failures halves in this time: a second or two of quiet lets a server be tried.
const HALF_LIFE: Duration = Duration::from_millis(2500);

/// The weight of calls assumed to have gone well, so that one failure does not condemn a server.
const PRIOR_CALLS: f64 = 1.5;

/// The recent failures of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    failed: f64,
    calls: f64,
    at: Option<Instant>,
}

impl FailureRate {
    /// Takes the end of a call in.
    pub fn record(&mut self, now: Instant, failed: bool) {
        let keep = self.fading(now);
        self.calls = self.calls * keep + 1.0;
        self.failed = self.failed * keep + f64::from(u8::from(failed));
        self.at = Some(now);
    }

    /// Returns the share of calls that failed lately, from 0 to 1.
    pub fn rate(&self, now: Instant) -> f64 {
        let keep = self.fading(now);
        self.failed * keep / (self.calls * keep + PRIOR_CALLS)
    }

    fn fading(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
