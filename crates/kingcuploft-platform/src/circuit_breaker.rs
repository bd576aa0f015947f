//! A circuit breaker in front of a store that is down.

use std::time::{Duration, Instant};

/// Whether calls go to the store.
///
/// Load pattern: the store is down or silent for long. Without a breaker each protected call waits
/// for its own timeout before it is refused, and each VM's calls return at once with the store.
/// While open, one probing call per jittered interval goes through, all others are refused in no
/// time; an interval far below a second brings a VM back within a second, and its jitter spreads
/// the VMs over the interval.
#[derive(Debug)]
pub struct CircuitBreaker {
    failures_to_open: u32,
    probe_interval: Duration,
    failures: u32,
    next_probe_at: Option<Instant>,
}

/// Whether a call may go to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallPermission {
    /// It may.
    Allowed,
    /// It may, as the probe of a store that is thought to be down.
    Probe,
    /// It may not; the next probe is due after this time.
    Blocked(Duration),
}

impl CircuitBreaker {
    /// Builds a closed circuit.
    pub fn new(failures_to_open: u32, probe_interval: Duration) -> Self {
        Self {
            failures_to_open,
            probe_interval,
            failures: 0,
            next_probe_at: None,
        }
    }

    /// Tells whether a call may go out now.
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

    /// Tells when the next probe is due; `None` while the circuit is closed.
    pub fn next_probe_at(&self) -> Option<Instant> {
        self.next_probe_at
    }

    /// Notes that the store answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.next_probe_at = None;
    }

    /// Notes that the store did not answer; enough of these in a row open the circuit.
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
