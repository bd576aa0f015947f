//! Counts and latency histograms of what callers received.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::callers::CallResult;

/// The counts and latencies of one run.
#[derive(Clone, Debug)]
pub struct Tally {
    latency_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
    /// Calls made.
    pub calls: u64,
    /// Complete answers of backend servers with a status below 500.
    pub answered: u64,
    /// Those of `answered` that came after the deadline.
    pub late: u64,
    /// Complete answers of backend servers with a status of 500 or above.
    pub failed: u64,
    /// Calls without a complete answer.
    pub nothing: u64,
    /// Refusals by the load balancer, by reason.
    pub refused: BTreeMap<String, u64>,
}

/// A tally's counts and latency percentiles, as they are reported.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Calls made.
    pub calls: u64,
    /// Complete answers with a status below 500.
    pub answered: u64,
    /// Those of `answered` that came after the deadline.
    pub late_answers: u64,
    /// Refusals of all reasons.
    pub refused: u64,
    /// Refusals by reason.
    pub refused_by_reason: BTreeMap<String, u64>,
    /// Complete answers of backend servers with a status of 500 or above.
    pub failed: u64,
    /// Calls without a complete answer.
    pub nothing: u64,
    /// The median latency of the answers in `answered`.
    pub p50_ms: f64,
    /// The 99th percentile of their latency.
    pub p99_ms: f64,
    /// The 99.9th percentile of their latency.
    pub p999_ms: f64,
    /// The 99th percentile of the time to a refusal.
    pub refusal_p99_ms: f64,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            latency_us: histogram(),
            refusal_us: histogram(),
            calls: 0,
            answered: 0,
            late: 0,
            failed: 0,
            nothing: 0,
            refused: BTreeMap::new(),
        }
    }
}

impl Tally {
    /// Counts one call.
    pub fn add(&mut self, received: &CallResult, latency: Duration, deadline: Duration) {
        self.calls += 1;
        let us = latency.as_micros() as u64;
        match received {
            CallResult::Answer { status, .. } if *status < 500 => {
                self.answered += 1;
                self.late += u64::from(latency > deadline);
                self.latency_us.saturating_record(us);
            }
            CallResult::Answer { .. } => self.failed += 1,
            CallResult::Refused { reason, .. } => {
                *self.refused.entry(reason.clone()).or_default() += 1;
                self.refusal_us.saturating_record(us);
            }
            CallResult::NoAnswer => self.nothing += 1,
        }
    }

    /// Adds the counts and latencies of another tally.
    ///
    /// # Panics
    ///
    /// Never, because all histograms have the same bounds.
    pub fn merge(&mut self, other: &Self) {
        self.latency_us
            .add(&other.latency_us)
            .expect("histograms alike");
        self.refusal_us
            .add(&other.refusal_us)
            .expect("histograms alike");
        self.calls += other.calls;
        self.answered += other.answered;
        self.late += other.late;
        self.failed += other.failed;
        self.nothing += other.nothing;
        for (reason, count) in &other.refused {
            *self.refused.entry(reason.clone()).or_default() += count;
        }
    }

    /// Returns the latency of the answers in `answered` at a quantile, in ms.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        histogram_quantile_ms(&self.latency_us, quantile)
    }

    /// Returns the counts and percentiles.
    pub fn figures(&self) -> Figures {
        Figures {
            calls: self.calls,
            answered: self.answered,
            late_answers: self.late,
            refused: self.refused.values().sum(),
            refused_by_reason: self.refused.clone(),
            failed: self.failed,
            nothing: self.nothing,
            p50_ms: self.quantile_ms(0.5),
            p99_ms: self.quantile_ms(0.99),
            p999_ms: self.quantile_ms(0.999),
            refusal_p99_ms: histogram_quantile_ms(&self.refusal_us, 0.99),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds that fit")
}

fn histogram_quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
