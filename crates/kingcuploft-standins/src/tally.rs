//! What callers received, counted.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::callers::CallResult;

/// Counts and latencies of one run.
#[derive(Clone, Debug)]
pub struct Tally {
    latency_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
    /// Calls made.
    pub calls: u64,
    /// Whole answers of backend servers with a status below 500.
    pub answered: u64,
    /// Answers that came after the deadline.
    pub late: u64,
    /// Answers of backend servers with status 500 or above.
    pub failed: u64,
    /// Calls without a whole answer.
    pub nothing: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
}

/// A tally's figures, in ms.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Calls made.
    pub calls: u64,
    /// Whole answers.
    pub answered: u64,
    /// Answers after their deadline.
    pub late_answers: u64,
    /// Refusals of all reasons.
    pub refused: u64,
    /// Refusals by reason.
    pub refused_by_reason: BTreeMap<String, u64>,
    /// Failed answers of backend servers.
    pub failed: u64,
    /// Calls without a whole answer.
    pub nothing: u64,
    /// Median latency of answers.
    pub p50_ms: f64,
    /// 99th percentile of answers.
    pub p99_ms: f64,
    /// 99.9th percentile of answers.
    pub p999_ms: f64,
    /// 99th percentile of the time to a refusal.
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

    /// Adds another tally.
    ///
    /// # Panics
    ///
    /// Never: all histograms are built alike.
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

    /// Returns the latency of answers at a quantile, in ms.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        ms(&self.latency_us, quantile)
    }

    /// Returns the figures.
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
            refusal_p99_ms: ms(&self.refusal_us, 0.99),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds that fit")
}

fn ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
