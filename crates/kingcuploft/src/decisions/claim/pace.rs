//! How often a VM writes, so that all VMs together write a given number of times a second.

use std::time::{Duration, Instant};

use crate::settings::claim::ClaimSettings;

/// The least time over which the fleet's writes are counted.
const WINDOW: Duration = Duration::from_millis(200);

/// The time between two writes of this VM.
///
/// Load pattern: many VMs claim a little each. Their groups stay small, so the store sees nearly a
/// write for each claim, and the more of them there are the more conflict. The head counts its
/// writes; a VM that sees more than the aim waits longer between its own, one that sees fewer waits
/// less. At few actions a second nobody waits; at many, groups grow in place of writes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Pace {
    pause: Duration,
    seen: Option<(u64, Instant)>,
}

impl Pace {
    /// Returns the least time between two writes.
    pub(super) fn pause(&self, settings: &ClaimSettings) -> Duration {
        self.pause
            .max(Duration::from_millis(settings.shortest_pace_ms))
    }

    /// Notes how often the head had been written by now.
    pub(super) fn see(&mut self, now: Instant, writes: u64, settings: &ClaimSettings) {
        let Some((before, since)) = self.seen else {
            self.seen = Some((writes, now));
            return;
        };
        let time = now.saturating_duration_since(since);
        if time < WINDOW {
            return;
        }
        self.seen = Some((writes, now));
        let aim = settings.fleet_writes_per_s as f64 * time.as_secs_f64();
        let seen = writes.saturating_sub(before) as f64;
        // The pause grows by an eighth of what is missing, so that VMs do not swing together.
        let factor = (seen / aim.max(1.0)).clamp(0.5, 2.0);
        let step = Duration::from_millis(20);
        let wanted = (self.pause + step).mul_f64(factor).saturating_sub(step);
        let longest = Duration::from_millis(settings.longest_pace_ms);
        self.pause = ((self.pause * 3 + wanted) / 4).min(longest);
    }
}
