//! Which of the ordinary log lines are written.
//!
//! Load pattern: a VM serves hundreds of requests a second, each of which leaves a line that says that
//! all went well; beside them the lines of the few that failed are lost, and writing takes the processor
//! that requests need. Failures and refusals are always written; ordinary lines come out of a budget,
//! and those left out are counted.

use std::time::{Duration, Instant};

/// Ordinary lines a second: some 300 bytes each, 30 KB a second for one VM.
const LINES_PER_S: f64 = 100.0;

/// The seconds of unused lines that may be saved for a burst.
const SAVED_S: f64 = 2.0;

/// How long lines are left out before their number is told.
const TELL_EVERY: Duration = Duration::from_secs(5);

/// What becomes of an ordinary line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogDecision {
    /// It is written.
    Write,
    /// It is left out.
    Drop,
    /// It is left out, and a line tells that this many were since the last such line.
    DropAndReport(u64),
}

/// The budget of ordinary lines.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimiter {
    saved: f64,
    at: Option<Instant>,
    left_out: u64,
    told: Option<Instant>,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        Self {
            saved: LINES_PER_S * SAVED_S,
            at: None,
            left_out: 0,
            told: None,
        }
    }
}

impl LogRateLimiter {
    /// Says what becomes of an ordinary line.
    pub fn admit(&mut self, now: Instant) -> LogDecision {
        let since = self.at.replace(now);
        let passed = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let earned = LINES_PER_S * passed.as_secs_f64();
        self.saved = (self.saved + earned).min(LINES_PER_S * SAVED_S);
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return LogDecision::Write;
        }
        self.left_out += 1;
        let told = *self.told.get_or_insert(now);
        if now.saturating_duration_since(told) < TELL_EVERY {
            return LogDecision::Drop;
        }
        self.told = Some(now);
        LogDecision::DropAndReport(std::mem::take(&mut self.left_out))
    }
}
