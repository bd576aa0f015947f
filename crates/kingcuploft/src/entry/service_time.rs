//! How long the work of a route takes on a server of usual speed that has slots to spare.

use std::time::Duration;

use super::last_slot_slowdown::LastSlotSlowdown;
use super::placement::Slot;

/// The weight of one answer: the last ten or so count, as a VM sees a few a second.
const WEIGHT: f64 = 0.1;

/// Until an answer came, the work is taken for this share of the route's target.
const UNMEASURED_SHARE: f64 = 0.35;

/// How many answers of servers with slots to spare make the mean a measure for those without.
const ENOUGH: u32 = 5;

/// A running mean of the work of one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_ms: Option<f64>,
    spare: u32,
}

impl ServiceTime {
    /// Takes an answer in that took `latency` on a server `slowness` times slower than usual.
    ///
    /// An answer from a last slot tells what that costs once the work is known, and of the work itself only
    /// as long as nothing else does. One that waited in a line tells of the line: taken for work, it makes
    /// an overloaded VM believe that nothing can be answered in time.
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
                self.spare = self.spare.saturating_add(1);
                self.add(took_ms);
            }
            (Slot::Last, Some(mean)) if self.spare >= ENOUGH => {
                last_slot.observe(took_ms / mean.max(0.1));
            }
            (Slot::Last, _) if self.spare == 0 => self.add(took_ms / last_slot.factor()),
            (Slot::Last | Slot::Queued, _) => {}
        }
    }

    fn add(&mut self, work_ms: f64) {
        let mean = self.mean_ms.unwrap_or(work_ms);
        self.mean_ms = Some(mean + WEIGHT * (work_ms - mean));
    }

    /// Returns the work in milliseconds, for a route with this target.
    pub fn work_ms(&self, target: Duration) -> f64 {
        let unmeasured = target.as_secs_f64() * 1000.0 * UNMEASURED_SHARE;
        self.mean_ms.unwrap_or(unmeasured)
    }
}
