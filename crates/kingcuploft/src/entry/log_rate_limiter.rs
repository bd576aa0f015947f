//! Rate limit on routine log lines.
//!
//! Load pattern: a VM serves hundreds of requests a second, each of which logs a line on success. Lines about the few
//! failures get lost among them, and writing the lines takes processor time from requests. Failures and refusals are
//! always logged; routine lines take tokens from a bucket, and dropped lines are counted.

use std::time::{Duration, Instant};

/// Routine lines per second: at about 300 bytes each, 30 KB per second for one VM.
const LINES_PER_S: f64 = 100.0;

/// Capacity of the token bucket, in seconds of unused lines that are saved for a burst.
const BURST_S: f64 = 2.0;

/// Minimum time between two lines that report how many were dropped.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// What happens to a routine line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogDecision {
    /// It is written.
    Write,
    /// It is dropped.
    Drop,
    /// It is dropped, and a line reports how many were dropped since the last such report.
    DropAndReport(u64),
}

/// A token bucket for routine log lines.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimiter {
    tokens: f64,
    refilled_at: Option<Instant>,
    dropped: u64,
    reported_at: Option<Instant>,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        Self {
            tokens: LINES_PER_S * BURST_S,
            refilled_at: None,
            dropped: 0,
            reported_at: None,
        }
    }
}

impl LogRateLimiter {
    /// Decides whether a routine line is written.
    pub fn admit(&mut self, now: Instant) -> LogDecision {
        let since = self.refilled_at.replace(now);
        let passed = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let earned = LINES_PER_S * passed.as_secs_f64();
        self.tokens = (self.tokens + earned).min(LINES_PER_S * BURST_S);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return LogDecision::Write;
        }
        self.dropped += 1;
        let reported_at = *self.reported_at.get_or_insert(now);
        if now.saturating_duration_since(reported_at) < REPORT_INTERVAL {
            return LogDecision::Drop;
        }
        self.reported_at = Some(now);
        LogDecision::DropAndReport(std::mem::take(&mut self.dropped))
    }
}
