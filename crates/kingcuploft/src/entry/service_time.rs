//! How long the work of a route takes on a server of usual speed.

use std::time::Duration;

/// The weight of one answer: the last ten or so count, as a VM sees a few a second.
const WEIGHT: f64 = 0.1;

/// Until an answer came, the work is taken for this share of the route's target.
const UNMEASURED_SHARE: f64 = 0.35;

/// A running mean of the work of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
}

impl ServiceTime {
    /// Takes an answer in that took `latency` on a server `slowness` times slower than usual.
    pub fn measured(&mut self, latency: Duration, slowness: f64) {
        let work_ms = latency.as_secs_f64() * 1000.0 / slowness.max(0.5);
        let mean = self.mean_ms.unwrap_or(work_ms);
        self.mean_ms = Some(mean + WEIGHT * (work_ms - mean));
    }

    /// Returns the work in milliseconds, for a route with this target.
    pub fn work_ms(&self, target: Duration) -> f64 {
        let unmeasured = target.as_secs_f64() * 1000.0 * UNMEASURED_SHARE;
        self.mean_ms.unwrap_or(unmeasured)
    }
}
