//! Estimates how long a caller has already waited when its request arrives.
//!
//! Load pattern: under overload a caller is refused, or its request is lost, and it retries. It counts its time from
//! its first attempt, so the answer to its retry is late already. Treated as new, the retry waits for a good server and
//! takes slots from requests that can still be answered in time. Callers send their remaining timeout, and most
//! requests of a route are first attempts: what a caller's remaining timeout lacks against the usual one has already
//! passed.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent callers that are remembered.
const REMEMBERED_CALLERS: usize = 24;

/// Minimum number of callers before anything is concluded.
const MIN_CALLERS: usize = 8;

/// A caller whose remaining timeout is at least this fraction of the usual one is on its first attempt: a few
/// milliseconds pass on the way.
const FIRST_ATTEMPT_SHARE: f64 = 0.9;

/// The remaining timeouts of a route's most recent callers.
#[derive(Clone, Debug, Default)]
pub struct CallerTimeouts {
    recent: VecDeque<Duration>,
}

impl CallerTimeouts {
    /// Records a caller's remaining timeout; returns how long the caller has waited before this request.
    pub fn record(&mut self, remaining: Duration) -> Duration {
        let usual = self.usual();
        if self.recent.len() >= REMEMBERED_CALLERS {
            self.recent.pop_front();
        }
        self.recent.push_back(remaining);
        match usual {
            Some(usual) if remaining < usual.mul_f64(FIRST_ATTEMPT_SHARE) => usual - remaining,
            Some(_) | None => Duration::ZERO,
        }
    }

    /// Returns the usual timeout of a first attempt: the upper quartile, so that neither many retries nor a few callers
    /// with very long timeouts distort it.
    fn usual(&self) -> Option<Duration> {
        if self.recent.len() < MIN_CALLERS {
            return None;
        }
        let mut recent: Vec<Duration> = self.recent.iter().copied().collect();
        recent.sort_unstable();
        recent.get(recent.len() * 3 / 4).copied()
    }
}
