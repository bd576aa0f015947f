//! Rate limit on the probes by which this VM asks backend servers for their load.
//!
//! Load pattern: every request probes several servers, and one that finds all of them busy probes again. A probe takes
//! slot time from work, 6 ms at one of the sites; unbounded, the probes of an overload make it worse. The bound limits
//! how often all VMs together may probe each server per second. A VM uses an equal share of it without coordination, as
//! the platform's balancer gives each VM a share of the callers.

use std::time::{Duration, Instant};

/// Fraction of the bound that is used: the VM count lags by some seconds, and the bound must also hold while some VMs
/// are not counted yet.
const SAFETY_FACTOR: f64 = 0.85;

/// Capacity of the bucket, in seconds of unused probes: bursts last a few seconds, and saved probes are spent on
/// fresher load reports at once.
const MAX_SAVED_S: f64 = 4.0;

/// Initial content of the bucket, in seconds of probes: enough for the first requests, and so little that a VM that is
/// killed every five seconds stays within the bound.
const INITIAL_S: f64 = 0.5;

/// Maximum age of a load report while the budget is full. Server speeds change every 150 ms, and each 15 ms of age send
/// one request in forty to a server that has turned slow.
const MIN_REPORT_AGE: Duration = Duration::from_millis(6);

/// Maximum age of a load report while the budget is empty: an old report is better than none.
const MAX_REPORT_AGE: Duration = Duration::from_millis(40);

/// Minimum share of its candidate servers that a request probes when it repeats its selection.
const MIN_PROBE_SHARE: f64 = 0.25;

/// Fraction of the budget below which a repeated selection probes fewer servers.
const FULL_PROBING_THRESHOLD: f64 = 0.5;

/// Returns the share of its candidate servers that a request probes after `selections` unsuccessful selections, with
/// this fraction of the probe budget left.
///
/// Load pattern: an overload in which a hundred requests wait and each probes sixteen servers fifty times a second. The
/// budget is used up, load reports age, and ten requests at once see a slot that becomes free.
pub fn probe_share(budget_left: f64, selections: u32) -> f64 {
    match selections {
        0 => 1.0,
        _ => (budget_left / FULL_PROBING_THRESHOLD).clamp(MIN_PROBE_SHARE, 1.0),
    }
}

/// A token bucket for probes.
///
/// It starts nearly empty and fills from the VM's start on, so that VMs that are killed again and again don't probe
/// more than the bound allows.
#[derive(Clone, Copy, Debug)]
pub struct ProbeBudget {
    started_at: Instant,
    /// Content of the bucket, in seconds of this VM's share.
    saved_s: f64,
    refilled_at: Instant,
}

impl ProbeBudget {
    /// Creates a budget for a VM that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            saved_s: INITIAL_S,
            refilled_at: now,
        }
    }

    /// Takes one probe if the budget has one left; `vms` VMs together may probe each of `servers` servers `bound` times
    /// per second.
    pub fn try_take(&mut self, now: Instant, bound: f64, servers: usize, vms: usize) -> bool {
        let per_s = SAFETY_FACTOR * bound * servers as f64 / vms.max(1) as f64;
        let passed = now.saturating_duration_since(std::mem::replace(&mut self.refilled_at, now));
        self.saved_s = (self.saved_s + passed.as_secs_f64()).min(MAX_SAVED_S);
        if self.saved_s * per_s < 1.0 {
            return false;
        }
        self.saved_s -= 1.0 / per_s;
        true
    }

    /// Returns the maximum age of a load report for a placement: short while there is budget to probe again.
    pub fn max_report_age(&self) -> Duration {
        MIN_REPORT_AGE + (MAX_REPORT_AGE - MIN_REPORT_AGE).mul_f64(1.0 - self.remaining_share())
    }

    /// Returns which fraction of the possible savings is left, from 0 to 1.
    pub fn remaining_share(&self) -> f64 {
        let earned = self.refilled_at.saturating_duration_since(self.started_at);
        let most = (INITIAL_S + earned.as_secs_f64()).min(MAX_SAVED_S);
        (self.saved_s / most).clamp(0.0, 1.0)
    }
}
