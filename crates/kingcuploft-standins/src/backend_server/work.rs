//! How long work takes.

use std::time::Duration;

/// How a backend server works.
#[derive(Clone, Debug)]
pub struct Work {
    /// How many requests it works on at once.
    pub slots: usize,
    /// The mean of the work time; the times are exponential.
    pub mean: Duration,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// The share of long jobs.
    pub long_share: f64,
    /// The mean of a long job's work time.
    pub long_mean: Duration,
    /// The delay of the link to the entry VMs, one way.
    pub link_delay: Duration,
    /// How many connections it keeps open at once; more are closed at once.
    pub connections: usize,
    /// The time until a new connection's first request is read.
    pub connect_cost: Duration,
    /// The time for which a probe of `/load` occupies a slot.
    pub probe_cost: Duration,
    /// How old the load is that `/load` tells.
    pub load_lag: Duration,
    /// How long after its start the server is slower than usual.
    pub cold_start: Duration,
    /// The factor of the work time just after the start; it falls to 1 over the cold start.
    pub cold_factor: f64,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            slots: 2,
            mean: Duration::from_millis(10),
            seed: 1,
            long_share: 0.0,
            long_mean: Duration::from_millis(200),
            link_delay: Duration::ZERO,
            connections: 220,
            connect_cost: Duration::from_millis(1),
            probe_cost: Duration::from_millis(6),
            load_lag: Duration::from_millis(100),
            cold_start: Duration::ZERO,
            cold_factor: 1.0,
        }
    }
}

impl Work {
    /// Draws the work time of one request.
    pub(super) fn draw(&self, rng: &mut fastrand::Rng) -> Duration {
        let long = self.long_share > 0.0 && rng.f64() < self.long_share;
        let mean = if long { self.long_mean } else { self.mean };
        let uniform = rng.f64().max(f64::MIN_POSITIVE);
        mean.mul_f64(-uniform.ln())
    }

    /// Returns the factor of the work time at an age.
    pub(super) fn cold_factor_at(&self, age: Duration) -> f64 {
        if age >= self.cold_start {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / self.cold_start.as_secs_f64();
        1.0 + (self.cold_factor - 1.0) * left
    }
}
