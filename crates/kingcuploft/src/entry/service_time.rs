//! The service time of a route: how long its work takes on a server of usual speed with free slots.

use std::time::Duration;

use super::last_slot_slowdown::LastSlotSlowdown;
use super::placement::Slot;

/// Weight of one answer in the moving average: about the last ten count, as a VM sees a few per second.
const WEIGHT: f64 = 0.1;

/// Assumed share of the route's target before any answer.
const UNMEASURED_SHARE: f64 = 0.35;

/// The most that is assumed before any answer: a route whose target is far beyond what its callers wait would have all its
/// requests refused as too long, so that nothing is learned of it.
const MAX_UNMEASURED_MS: f64 = 2_000.0;

/// Minimum number of answers from servers with spare slots before the mean serves as the reference for last slots.
const MIN_SPARE_ANSWERS: u32 = 5;

/// A moving average of the service time of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
    spare_answers: u32,
}

impl ServiceTime {
    /// Records an answer that took `latency` on a server `slowness` times slower than usual.
    ///
    /// An answer from a last slot measures the last-slot slowdown once the service time is known, and the service time
    /// only while nothing else does. An answer that waited in a queue measures the queue: counted as service time, it
    /// would make an overloaded VM conclude that nothing can be answered in time.
    pub fn record(
        &mut self,
        latency: Duration,
        slowness: f64,
        slot: Slot,
        last_slot: &mut LastSlotSlowdown,
    ) {
        let took_ms = latency.as_secs_f64() * 1000.0 / slowness.max(0.5);
        match (slot, self.mean_ms) {
            (Slot::Spare, _) => {
                self.spare_answers = self.spare_answers.saturating_add(1);
                self.add(took_ms);
            }
            (Slot::Last, Some(mean)) if self.spare_answers >= MIN_SPARE_ANSWERS => {
                last_slot.observe(took_ms / mean.max(0.1));
            }
            (Slot::Last, _) if self.spare_answers == 0 => self.add(took_ms / last_slot.factor()),
            (Slot::Last | Slot::Queued, _) => {}
        }
    }

    fn add(&mut self, work_ms: f64) {
        let mean = self.mean_ms.unwrap_or(work_ms);
        self.mean_ms = Some(mean + WEIGHT * (work_ms - mean));
    }

    /// Returns the service time in milliseconds, for a route with this target.
    pub fn work_ms(&self, target: Duration) -> f64 {
        let unmeasured = target.as_secs_f64() * 1000.0 * UNMEASURED_SHARE;
        self.mean_ms.unwrap_or(unmeasured.min(MAX_UNMEASURED_MS))
    }
}
