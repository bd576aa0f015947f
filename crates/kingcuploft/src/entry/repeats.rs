//! How often requests may be sent to a second backend server.
//!
//! Load pattern: servers fail, every request is sent twice, and the servers that are left get twice
//! the load and fail too. All VMs together may repeat a share of the requests and a fixed allowance
//! in each window. No VM asks another: a share of the own requests adds up to the share of all, and
//! the allowance is divided by the most VMs there may be. A wrong count of VMs that is too high
//! costs repeats; one that is too low is covered by a guard.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The part of the budget that is used: requests and repeats of one window are counted by the VM
/// and by the servers at slightly different moments.
const GUARD: f64 = 0.8;

/// The bounds on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside these, for all VMs together.
    pub allowance: f64,
    /// The window over which both are counted.
    pub window: Duration,
}

/// What a VM has used of its part of the budget, and how much that part is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Repeats of the window.
    pub used: usize,
    /// Repeats allowed in the window.
    pub allowed: f64,
}

impl Standing {
    /// Returns whether one more repeat is allowed.
    pub fn has_room(&self) -> bool {
        self.used as f64 + 1.0 <= self.allowed
    }
}

/// The repeats of one service on one VM.
#[derive(Debug, Default)]
pub struct Repeats {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Repeats {
    /// Counts a request.
    pub fn arrived(&mut self, now: Instant) {
        self.requests.push_back(now);
    }

    /// Returns what is used of the part of one of so many VMs.
    pub fn standing(&mut self, now: Instant, bounds: &RepeatBounds, vms: usize) -> Standing {
        forget(&mut self.requests, now, bounds.window);
        forget(&mut self.repeats, now, bounds.window + bounds.window / 10);
        let share = bounds.allowance / vms.max(1) as f64;
        Standing {
            used: self.repeats.len(),
            allowed: GUARD * (bounds.ratio * self.requests.len() as f64 + share),
        }
    }

    /// Returns whether one more repeat is allowed.
    pub fn has_room(&mut self, now: Instant, bounds: &RepeatBounds, vms: usize) -> bool {
        self.standing(now, bounds, vms).has_room()
    }

    /// Counts a repeat.
    pub fn repeated(&mut self, now: Instant) {
        self.repeats.push_back(now);
    }

    /// Returns how many repeats the current window holds.
    pub fn used(&self) -> usize {
        self.repeats.len()
    }
}

fn forget(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while let Some(&first) = times.front() {
        if now.saturating_duration_since(first) <= window {
            return;
        }
        times.pop_front();
    }
}
