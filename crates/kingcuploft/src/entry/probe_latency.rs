//! How long answers to probes take to arrive at this VM.
//!
//! Load pattern: a VM with a tenth of a core needs ten milliseconds to send six probes and to read their answers, where a
//! large one needs a tenth of one. If it waits no longer than a large one, it takes all near servers for silent, and
//! probes those of other zones for each request, which costs it another ten milliseconds.

use std::time::Duration;

/// Weights of one answer in the moving averages of the latency and of its deviation, as for a TCP round trip.
const WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// How many deviations beyond the mean most answers arrive within.
const DEVIATIONS: f64 = 2.0;

/// Maximum of the usual latency: a VM that is slower than that gains nothing by waiting.
const MAX_USUAL: Duration = Duration::from_millis(25);

/// The latency of answers to probes of near servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeLatency {
    mean_ms: f64,
    deviation_ms: f64,
}

impl ProbeLatency {
    /// Records how long an answer took.
    pub fn record(&mut self, took: Duration) {
        let took_ms = took.min(2 * MAX_USUAL).as_secs_f64() * 1000.0;
        let error_ms = took_ms - self.mean_ms;
        self.mean_ms += WEIGHT * error_ms;
        self.deviation_ms += DEVIATION_WEIGHT * (error_ms.abs() - self.deviation_ms);
    }

    /// Returns the time within which most answers arrive.
    pub fn usual(&self) -> Duration {
        let usual_ms = self.mean_ms + DEVIATIONS * self.deviation_ms;
        Duration::from_secs_f64(usual_ms.max(0.0) / 1000.0).min(MAX_USUAL)
    }
}
