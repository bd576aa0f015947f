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
    /// The head's count of writes at the last look, and when that was.
    seen: Option<(u64, Instant)>,
    written: u32,
    lost: u32,
}

impl Pace {
    /// Returns the least time between two writes.
    pub(super) fn pause(&self, settings: &ClaimSettings) -> Duration {
        let shortest = Duration::from_millis(settings.shortest_pace_ms);
        self.pause.max(shortest)
    }

    /// Notes a write of this VM that took effect.
    pub(super) fn written(&mut self) {
        self.written = self.written.saturating_add(1);
    }

    /// Notes a write of this VM that lost: the store counts it too.
    pub(super) fn lost(&mut self) {
        self.lost = self.lost.saturating_add(1);
    }

    /// Notes how often the head had been written by now.
    pub(super) fn see(&mut self, now: Instant, writes: u64, settings: &ClaimSettings) {
        let (before, since) = *self.seen.get_or_insert((writes, now));
        let time = now.saturating_duration_since(since);
        if time < WINDOW {
            return;
        }
        let own = f64::from(self.written.max(1));
        // The others lose about as many of their writes as this VM does.
        let calls = writes.saturating_sub(before) as f64 * (1.0 + f64::from(self.lost) / own);
        let aim = settings.fleet_writes_per_s as f64 * time.as_secs_f64();
        // If all VMs stretch the time between their writes by this, they meet the aim.
        let stretch = calls / aim.max(1.0) - 1.0;
        let between = time.div_f64(own);
        let longest = Duration::from_millis(settings.longest_pace_ms);
        // Half of the way at a time, so that the VMs do not swing together.
        self.pause = match stretch > 0.0 {
            true => self.pause + between.mul_f64(stretch.min(4.0) / 2.0),
            false => self.pause.saturating_sub(between.mul_f64(-stretch / 2.0)),
        }
        .min(longest);
        *self = Self {
            pause: self.pause,
            seen: Some((writes, now)),
            ..Self::default()
        };
    }
}
