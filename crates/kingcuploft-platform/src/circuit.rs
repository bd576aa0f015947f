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
pub struct Circuit {
    failures_to_open: u32,
    probe_interval: Duration,
    failures: u32,
    next_probe: Option<Instant>,
}

/// Whether a call may go to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Passage {
    /// It may.
    Pass,
    /// It may, as the probe of a store that is thought to be down.
    Probe,
    /// It may not; the next probe is due after this time.
    Blocked(Duration),
}

impl Circuit {
    /// Builds a closed circuit.
    pub fn new(failures_to_open: u32, probe_interval: Duration) -> Self {
        Self {
            failures_to_open,
            probe_interval,
            failures: 0,
            next_probe: None,
        }
    }

    /// Tells whether a call may go out now.
    pub fn pass(&mut self, now: Instant, rng: &mut fastrand::Rng) -> Passage {
        match self.next_probe {
            None => Passage::Pass,
            Some(at) if at > now => Passage::Blocked(at - now),
            Some(_) => {
                self.next_probe = Some(now + self.jittered(rng));
                Passage::Probe
            }
        }
    }

    /// Tells when the next probe is due; `None` while the circuit is closed.
    pub fn next_probe(&self) -> Option<Instant> {
        self.next_probe
    }

    /// Notes that the store answered.
    pub fn answered(&mut self) {
        self.failures = 0;
        self.next_probe = None;
    }

    /// Notes that the store did not answer; enough of these in a row open the circuit.
    pub fn failed(&mut self, now: Instant, rng: &mut fastrand::Rng) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= self.failures_to_open && self.next_probe.is_none() {
            self.next_probe = Some(now + self.jittered(rng));
        }
    }

    fn jittered(&self, rng: &mut fastrand::Rng) -> Duration {
        self.probe_interval.mul_f64(0.5 + rng.f64())
    }
}
