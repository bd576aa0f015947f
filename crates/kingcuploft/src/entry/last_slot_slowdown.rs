//! How many times longer work takes on a backend server whose last free slot it takes.
//!
//! Load pattern: the slots of some servers share one processor, and work that takes the last free one
//! takes 1.7 times as long as on an idle server; at others it makes no difference. A VM that believes
//! in none of it fills near servers to the last slot while idle ones stand in the other zones, and one
//! answer in twenty is late on a calm day. So the factor is learned for each service from the answers.

/// The factor until answers came: just beyond what passes for good, so that a VM that knows nothing looks for idle
/// servers first. A VM sees few answers of each service.
const PRIOR: f64 = 1.5;

/// How many answers the prior is worth: the work of a single request varies by a third.
const PRIOR_ANSWERS: f64 = 4.0;

/// The answers that count at most: servers of another kind that replace these are known within seconds.
const MOST_ANSWERS: f64 = 40.0;

/// The bounds of one answer's part: a server that froze says nothing about slots.
const LEAST: f64 = 0.5;
const MOST: f64 = 4.0;

/// What the last slot of a service's servers costs.
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
    /// Takes in that work on a last slot took this multiple of what it takes on an idle server.
    pub fn observe(&mut self, multiple: f64) {
        self.answers = (self.answers + 1.0).min(MOST_ANSWERS);
        self.mean += (multiple.clamp(LEAST, MOST) - self.mean) / self.answers;
    }

    /// Returns how many times longer work takes on a last slot, one at least.
    pub fn factor(&self) -> f64 {
        self.mean.max(1.0)
    }
}
