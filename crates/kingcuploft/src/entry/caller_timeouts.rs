//! How long the callers of a route have waited before a request arrives.
//!
//! Load pattern: under overload a caller is refused, or its request is lost, and it comes back. It counts its time from its
//! first attempt, and the answer to its second is late already. Taken for a new one, it waits for a good server and takes
//! the slots that answer others in time. Callers tell how long they still wait, and most of a route's are at their first
//! attempt, so what one tells less than the others it has spent.

use std::collections::VecDeque;
use std::time::Duration;

/// How many callers are remembered.
const REMEMBERED: usize = 24;

/// How many must have been seen before anything is concluded.
const ENOUGH: usize = 8;

/// A caller that tells at least this part of what is usual has come for the first time: a few milliseconds pass on its way.
const FIRST: f64 = 0.9;

/// How long the last callers of a route said that they wait.
#[derive(Clone, Debug, Default)]
pub struct CallerTimeouts {
    told: VecDeque<Duration>,
}

impl CallerTimeouts {
    /// Takes in how long a caller waits; returns how long it has waited before.
    pub fn record(&mut self, patience: Duration) -> Duration {
        let usual = self.usual();
        if self.told.len() >= REMEMBERED {
            self.told.pop_front();
        }
        self.told.push_back(patience);
        match usual {
            Some(usual) if patience < usual.mul_f64(FIRST) => usual - patience,
            Some(_) | None => Duration::ZERO,
        }
    }

    /// Returns how long callers wait at their first attempt: three in four say less or as much, so that neither many that
    /// return nor a few that wait for ever mislead.
    fn usual(&self) -> Option<Duration> {
        if self.told.len() < ENOUGH {
            return None;
        }
        let mut told: Vec<Duration> = self.told.iter().copied().collect();
        told.sort_unstable();
        told.get(told.len() * 3 / 4).copied()
    }
}
