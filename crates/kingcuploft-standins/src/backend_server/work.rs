//! The capacity and work times of a backend server.

use std::time::Duration;

/// The slots, work times, delays and connection limit of a backend server.
#[derive(Clone, Debug)]
pub struct Work {
    /// The number of requests that run at once.
    pub slots: usize,
    /// The mean of the exponential work times.
    pub mean: Duration,
    /// The seed of all random draws.
    pub seed: u64,
    /// The share of the requests that are long jobs.
    pub long_share: f64,
    /// The mean of the exponential work times of long jobs.
    pub long_mean: Duration,
    /// The one-way delay of the link to the entry VMs.
    pub link_delay: Duration,
    /// The maximum number of open connections; further ones are closed immediately.
    pub connections: usize,
    /// The time until a new connection's first request is read.
    pub connect_cost: Duration,
    /// The time for which a probe of `/load` occupies a slot.
    pub probe_cost: Duration,
    /// The age of the load that `/load` reports.
    pub load_lag: Duration,
    /// The duration of the cold start, during which work takes longer.
    pub cold_start: Duration,
    /// The factor of the work time at the start; it falls linearly to 1 over the cold start.
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

    /// Returns the factor of the work time at this time since the start.
    pub(super) fn cold_factor_at(&self, age: Duration) -> f64 {
        if age >= self.cold_start {
            return 1.0;
        }
        let remaining = 1.0 - age.as_secs_f64() / self.cold_start.as_secs_f64();
        1.0 + (self.cold_factor - 1.0) * remaining
    }
}
