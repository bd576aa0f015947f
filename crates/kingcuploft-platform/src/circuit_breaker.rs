//! The circuit breaker that keeps calls from a store that is down.

use std::time::{Duration, Instant};

/// Decides whether calls are sent to the store.
///
/// Load pattern: the store is down or does not answer for a long time. Without a circuit breaker each protected call
/// waits for its own timeout before it is refused, and when the store returns, the calls of all VMs reach it at the
/// same moment. While the breaker is open, one probe per interval goes through and all other calls are refused at
/// once. The interval is far below a second, so a VM recovers within a second of the store, and its jitter spreads the
/// VMs' probes over the interval.
#[derive(Debug)]
pub struct CircuitBreaker {
    failures_to_open: u32,
    probe_interval: Duration,
    failures: u32,
    next_probe_at: Option<Instant>,
}

/// Whether a call may be sent to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallPermission {
    /// It may: the breaker is closed.
    Allowed,
    /// It may, as the probe of a store that counts as down.
    Probe,
    /// It may not: the breaker is open. The next probe is due after this time.
    Blocked(Duration),
}

impl CircuitBreaker {
    /// Builds a closed circuit breaker.
    pub fn new(failures_to_open: u32, probe_interval: Duration) -> Self {
        Self {
            failures_to_open,
            probe_interval,
            failures: 0,
            next_probe_at: None,
        }
    }

    /// Returns whether a call may be sent now.
    pub fn permit(&mut self, now: Instant, rng: &mut fastrand::Rng) -> CallPermission {
        match self.next_probe_at {
            None => CallPermission::Allowed,
            Some(at) if at > now => CallPermission::Blocked(at - now),
            Some(_) => {
                self.next_probe_at = Some(now + self.jittered(rng));
                CallPermission::Probe
            }
        }
    }

    /// Returns when the next probe is due; `None` while the breaker is closed.
    pub fn next_probe_at(&self) -> Option<Instant> {
        self.next_probe_at
    }

    /// Records that the store answered, which closes the breaker.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.next_probe_at = None;
    }

    /// Records that the store did not answer; enough of these in a row open the breaker.
    pub fn record_failure(&mut self, now: Instant, rng: &mut fastrand::Rng) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= self.failures_to_open && self.next_probe_at.is_none() {
            self.next_probe_at = Some(now + self.jittered(rng));
        }
    }

    fn jittered(&self, rng: &mut fastrand::Rng) -> Duration {
        self.probe_interval.mul_f64(0.5 + rng.f64())
    }
}
