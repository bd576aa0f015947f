//! Measured service times, and the rate at which a queue is served.
//!
//! **Load pattern:** load that shifts within milliseconds, on backend servers shared with other VMs. A fixed figure for
//! the time of a request is wrong on every one of them. **Without it** admission can not tell a wait that ends in time
//! from one that does not. **Grounds:** the interval between two requests taken off a queue that never ran empty *is*
//! this VM's current share of the slots, whatever the other VMs do; a weight of one sixteenth per sample follows a slow
//! spell within about 16 requests and does not jump at a single long job.

use std::time::{Duration, Instant};

/// The weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// How far a quantile estimate moves for one sample, relative to itself.
const QUANTILE_STEP: f64 = 0.05;

/// The quantile that a request can be expected to stay under.
const P90: f64 = 0.9;

/// The quantile beyond which a request is slower than nearly all.
const P98: f64 = 0.98;

/// The measured time from sending to answer of one rule: mean and percentiles.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_s: Option<f64>,
    median_s: f64,
    p90_s: f64,
    p98_s: f64,
}

impl ServiceTime {
    /// Records one measured time.
    pub fn record(&mut self, time: Duration) {
        let time_s = time.as_secs_f64();
        let Some(mean_s) = &mut self.mean_s else {
            self.mean_s = Some(time_s);
            self.median_s = time_s;
            self.p90_s = time_s;
            self.p98_s = time_s;
            return;
        };
        *mean_s += (time_s - *mean_s) * SAMPLE_WEIGHT;
        self.median_s = step_quantile(self.median_s, time_s, 0.5);
        self.p90_s = step_quantile(self.p90_s, time_s, P90);
        self.p98_s = step_quantile(self.p98_s, time_s, P98);
    }

    /// Returns the mean, if anything was measured.
    pub fn mean(&self) -> Option<Duration> {
        self.mean_s.map(Duration::from_secs_f64)
    }

    /// Returns the time that half of the requests stay under; zero while nothing was measured.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.median_s)
    }

    /// Returns the time that nine of ten requests stay under; zero while nothing was measured.
    pub fn p90(&self) -> Duration {
        Duration::from_secs_f64(self.p90_s.max(self.median_s))
    }

    /// Returns the time that 98 of 100 requests stay under; zero while nothing was measured.
    pub fn p98(&self) -> Duration {
        Duration::from_secs_f64(self.p98_s).max(self.p90())
    }
}

/// Moves a quantile estimate towards one sample: up by the quantile's share of a step, down by the rest, so that it
/// rests where the samples on both sides stand in that proportion.
fn step_quantile(estimate_s: f64, sample_s: f64, quantile: f64) -> f64 {
    if sample_s > estimate_s {
        estimate_s * (1.0 + QUANTILE_STEP * quantile)
    } else {
        estimate_s * (1.0 - QUANTILE_STEP * (1.0 - quantile))
    }
}

/// The interval between two requests taken off a queue: the inverse of its service rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct DequeueInterval {
    mean_s: Option<f64>,
    /// When a request was last taken off, if the queue has not been empty since.
    last_dequeue: Option<Instant>,
    /// Since when the queue has not been empty.
    nonempty_since: Option<Instant>,
}

impl DequeueInterval {
    /// Records that a request was taken off, and whether others still wait.
    pub fn record_dequeue(&mut self, now: Instant, others_wait: bool) {
        if let Some(last) = self.last_dequeue {
            let interval_s = now.saturating_duration_since(last).as_secs_f64();
            let mean_s = self.mean_s.get_or_insert(interval_s);
            *mean_s += (interval_s - *mean_s) * SAMPLE_WEIGHT;
        }
        self.last_dequeue = others_wait.then_some(now);
        self.nonempty_since = self.nonempty_since.filter(|_| others_wait);
    }

    /// Records that a request begins to wait in an empty queue.
    pub fn record_queue_start(&mut self, now: Instant) {
        self.last_dequeue = Some(now);
        self.nonempty_since = Some(now);
    }

    /// Records that the queue ran empty other than by service.
    pub fn reset(&mut self) {
        self.last_dequeue = None;
        self.nonempty_since = None;
    }

    /// Returns for how long the queue has not been empty.
    pub fn nonempty_for(&self, now: Instant) -> Duration {
        let since = self.nonempty_since.map(|since| now - since.min(now));
        since.unwrap_or_default()
    }

    /// Returns the mean interval, if it was measured.
    pub fn mean(&self) -> Option<Duration> {
        self.mean_s.map(Duration::from_secs_f64)
    }

    /// Returns the interval to expect: the mean, with the interval that is still open counted as a sample once it is
    /// longer.
    ///
    /// A single long job on this VM's few slots opens a long interval and must not empty the queue; a queue that has
    /// stalled for good must be emptied.
    pub fn expected(&self, now: Instant) -> Duration {
        let mean = self.mean().unwrap_or_default();
        let open_interval = self.last_dequeue.map(|last| now - last.min(now));
        let excess = open_interval.unwrap_or_default().saturating_sub(mean);
        mean + excess.mul_f64(SAMPLE_WEIGHT)
    }
}
