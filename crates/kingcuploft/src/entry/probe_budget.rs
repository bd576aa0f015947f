//! How often this VM may ask backend servers for their load.
//!
//! Load pattern: every request asks several servers, and one that finds all of them busy asks again. A
//! probe takes slot time from work, 6 ms at one of the sites; without a bound, the probes of an
//! overload make it worse. All VMs together may ask each server so often a second; a VM takes an
//! equal part of that without asking the others, as the platform's balancer gives each a share of the
//! callers.

use std::time::{Duration, Instant};

/// The part of the bound that is used: VMs are counted some seconds late, and the bound is also kept
/// while some of them are not counted.
const GUARD: f64 = 0.85;

/// For how many seconds a VM may save what it does not use: bursts last a few, and what is saved is spent on
/// fresher readings at once.
const SAVED_S: f64 = 4.0;

/// The seconds of probes that a VM begins with: enough for its first requests, and so few that one that is
/// killed every five seconds stays within the bound.
const START_S: f64 = 0.5;

/// How old a reading may be to choose by it while the budget is full. Speeds are redrawn every 150 ms,
/// and each 15 ms of age send one request in forty to a server that has turned slow.
const SHORTEST_LIFE: Duration = Duration::from_millis(6);

/// The same while the budget is empty: an old reading is better than none.
const LONGEST_LIFE: Duration = Duration::from_millis(40);

/// The least share of its servers that a request asks when it looks again.
const LEAST_SHARE: f64 = 0.25;

/// The part of the budget below which a request that looks again asks fewer.
const ASK_ALL: f64 = 0.5;

/// Returns which share of its servers a request asks that has looked so often in vain, while this part of the budget is
/// there to be used.
///
/// Load pattern: an overload, in which a hundred requests wait and each asks sixteen servers fifty times a second. The
/// budget is used up, readings grow old, and a slot that becomes free is seen by ten of them at once.
pub fn probe_share(probes_left: f64, looks: u32) -> f64 {
    match looks {
        0 => 1.0,
        _ => (probes_left / ASK_ALL).clamp(LEAST_SHARE, 1.0),
    }
}

/// What a VM may still ask.
///
/// It begins with little and earns from its start on, so that VMs that are killed again and again don't
/// ask more than the bound allows.
#[derive(Clone, Copy, Debug)]
pub struct ProbeBudget {
    begun: Instant,
    /// What is saved, in seconds of the VM's part.
    saved_s: f64,
    at: Instant,
}

impl ProbeBudget {
    /// Begins.
    pub fn new(now: Instant) -> Self {
        Self {
            begun: now,
            saved_s: START_S,
            at: now,
        }
    }

    /// Takes one probe, if there is room: each of `servers` may be asked `bound` times a second by
    /// `vms` together.
    pub fn try_take(&mut self, now: Instant, bound: f64, servers: usize, vms: usize) -> bool {
        let per_s = GUARD * bound * servers as f64 / vms.max(1) as f64;
        let passed = now.saturating_duration_since(std::mem::replace(&mut self.at, now));
        self.saved_s = (self.saved_s + passed.as_secs_f64()).min(SAVED_S);
        if self.saved_s * per_s < 1.0 {
            return false;
        }
        self.saved_s -= 1.0 / per_s;
        true
    }

    /// Returns how old a reading may be to choose by it: short while there is room to ask again.
    pub fn max_report_age(&self) -> Duration {
        SHORTEST_LIFE + (LONGEST_LIFE - SHORTEST_LIFE).mul_f64(1.0 - self.remaining_share())
    }

    /// Returns which part of what the VM can have saved is there to be used, from 0 to 1.
    pub fn remaining_share(&self) -> f64 {
        let earned = self.at.saturating_duration_since(self.begun);
        let most = (START_S + earned.as_secs_f64()).min(SAVED_S);
        (self.saved_s / most).clamp(0.0, 1.0)
    }
}
