//! The slowdown of work that takes the last free slot of a backend server.
//!
//! Load pattern: the slots of some servers share one processor, and work that takes the last free slot takes 1.7 times
//! as long as on an idle server; on other servers it makes no difference. A VM that ignores this fills near servers to
//! the last slot while idle ones stand in the other zones, and one answer in twenty is late under normal load. So the
//! slowdown is estimated for each service from its answers.

/// Estimate before any answer: just above what counts as good, so that a VM without data prefers idle servers. A VM
/// sees few answers of each service.
const PRIOR: f64 = 1.5;

/// Weight of the prior, in answers: the work of a single request varies by a third.
const PRIOR_ANSWERS: f64 = 4.0;

/// Maximum weight of past answers: a new kind of server is recognised within seconds.
const MAX_ANSWERS: f64 = 40.0;

/// Bounds on one answer's contribution: a server that froze says nothing about slots.
const MIN_MULTIPLE: f64 = 0.5;
const MAX_MULTIPLE: f64 = 4.0;

/// The estimated slowdown of a service's last slots, a running mean.
#[derive(Clone, Copy, Debug)]
pub struct LastSlotSlowdown {
    mean: f64,
    answers: f64,
}

impl Default for LastSlotSlowdown {
    fn default() -> Self {
        Self {
            mean: PRIOR,
            answers: PRIOR_ANSWERS,
        }
    }
}

impl LastSlotSlowdown {
    /// Adds an answer from a last slot that took `multiple` times as long as on an idle server.
    pub fn observe(&mut self, multiple: f64) {
        self.answers = (self.answers + 1.0).min(MAX_ANSWERS);
        self.mean += (multiple.clamp(MIN_MULTIPLE, MAX_MULTIPLE) - self.mean) / self.answers;
    }

    /// Returns the estimated slowdown, at least 1.
    pub fn factor(&self) -> f64 {
        self.mean.max(1.0)
    }
}
