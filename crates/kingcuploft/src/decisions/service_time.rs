//! How long a service takes, and how fast its queue moves, as measured.
//!
//! **Load pattern:** load that shifts within milliseconds, on backend servers shared with other
//! VMs. A fixed figure for the time of a request is wrong on every one of them. **Without it**
//! the door can not tell a wait that ends in time from one that does not. **Grounds:** the gap
//! between two requests taken off a queue that never ran empty *is* this VM's current share of
//! the slots, whatever the other VMs do; a sixteenth of weight per sample follows a slow spell
//! within about 16 requests and does not jump at a single long job.

use std::time::{Duration, Instant};

/// The weight of one new sample in a mean.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;

/// How far a quantile moves for one sample, relative to itself.
const QUANTILE_STEP: f64 = 0.05;

/// The quantile that a request can be expected to stay under.
const HIGH_QUANTILE: f64 = 0.9;

/// The quantile beyond which a request is slower than nearly all.
const TAIL_QUANTILE: f64 = 0.98;

/// The measured time from sending to answer, of one rule.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_s: Option<f64>,
    median_s: f64,
    high_s: f64,
    tail_s: f64,
}

impl ServiceTime {
    /// Takes one measured time in.
    pub fn record(&mut self, time: Duration) {
        let time_s = time.as_secs_f64();
        let Some(mean_s) = &mut self.mean_s else {
            self.mean_s = Some(time_s);
            self.median_s = time_s;
            self.high_s = time_s;
            self.tail_s = time_s;
            return;
        };
        *mean_s += (time_s - *mean_s) * SAMPLE_WEIGHT;
        self.median_s = step(self.median_s, time_s, 0.5);
        self.high_s = step(self.high_s, time_s, HIGH_QUANTILE);
        self.tail_s = step(self.tail_s, time_s, TAIL_QUANTILE);
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
        Duration::from_secs_f64(self.high_s.max(self.median_s))
    }

    /// Returns the time that 98 of 100 requests stay under; zero while nothing was measured.
    pub fn p98(&self) -> Duration {
        Duration::from_secs_f64(self.tail_s).max(self.p90())
    }
}

/// Moves an estimate of a quantile towards one sample: up by the quantile's share of a step, down
/// by the rest, so that it rests where the samples stand on both sides in that proportion.
fn step(estimate_s: f64, sample_s: f64, quantile: f64) -> f64 {
    if sample_s > estimate_s {
        estimate_s * (1.0 + QUANTILE_STEP * quantile)
    } else {
        estimate_s * (1.0 - QUANTILE_STEP * (1.0 - quantile))
    }
}

/// How fast a queue moves.
#[derive(Clone, Copy, Debug, Default)]
pub struct DequeueInterval {
    gap_s: Option<f64>,
    /// When a request was last taken off, if the queue has not been empty since.
    last_served: Option<Instant>,
    /// Since when the queue has not been empty.
    waits_since: Option<Instant>,
}

impl DequeueInterval {
    /// Notes that a request was taken off, and whether others still wait.
    pub fn record_dequeue(&mut self, now: Instant, others_wait: bool) {
        if let Some(last) = self.last_served {
            let gap_s = now.saturating_duration_since(last).as_secs_f64();
            let mean_s = self.gap_s.get_or_insert(gap_s);
            *mean_s += (gap_s - *mean_s) * SAMPLE_WEIGHT;
        }
        self.last_served = others_wait.then_some(now);
        self.waits_since = self.waits_since.filter(|_| others_wait);
    }

    /// Notes that a request begins to wait in an empty queue.
    pub fn record_queue_start(&mut self, now: Instant) {
        self.last_served = Some(now);
        self.waits_since = Some(now);
    }

    /// Notes that the queue ran empty other than by service.
    pub fn reset(&mut self) {
        self.last_served = None;
        self.waits_since = None;
    }

    /// Returns for how long the queue has not been empty.
    pub fn nonempty_for(&self, now: Instant) -> Duration {
        let since = self.waits_since.map(|since| now - since.min(now));
        since.unwrap_or_default()
    }

    /// Returns the mean time between two requests taken off, if it was measured.
    pub fn mean(&self) -> Option<Duration> {
        self.gap_s.map(Duration::from_secs_f64)
    }

    /// Returns the gap to reckon with: the mean, with the one that is still open counted as a
    /// sample once it is longer.
    ///
    /// A single long job on this VM's few slots opens a long gap and must not empty the queue; a
    /// queue that stands still for good must.
    pub fn expected(&self, now: Instant) -> Duration {
        let gap = self.mean().unwrap_or_default();
        let open = self.last_served.map(|last| now - last.min(now));
        let longer = open.unwrap_or_default().saturating_sub(gap);
        gap + longer.mul_f64(SAMPLE_WEIGHT)
    }
}
