//! Write pacing: how often each VM writes, so that all VMs together write a given number of times a second.
//!
//! Load pattern: many VMs claim a little each. Their groups stay small, so the store sees nearly a write for each
//! claim, and the more writes there are, the more of them conflict. The head carries a count of its writes and the
//! pause that every VM keeps between its own; a VM that writes and sees more writes than the target makes the pause
//! longer, or shorter where there are fewer. At few actions a second no claim waits; at many, groups grow instead of
//! writes. One pause for all keeps a VM from waiting in favour of the others.

use std::time::{Duration, Instant};

use super::ledger::Head;
use crate::settings::claim::ClaimSettings;

/// The least time over which the fleet's writes are counted.
const MIN_WINDOW: Duration = Duration::from_millis(200);

/// The most that a pause may be stretched by at once, as a multiple of the time between writes.
const MAX_STRETCH: f64 = 4.0;

/// What one VM has observed of the fleet's writes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct WritePacing {
    /// The head's count of writes at the start of the window, and when that was.
    window_start: Option<(u64, Instant)>,
    writes_applied: u32,
    writes_lost: u32,
    observed: Option<Observed>,
}

/// The rates observed over the last window.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Observed {
    /// Writes of all VMs in 1,000 s, those that lost a conflict included.
    calls_per_ks: u64,
    /// The time between two writes of this VM.
    between: Duration,
}

impl WritePacing {
    /// Records a write of this VM that took effect.
    pub(super) fn record_written(&mut self) {
        self.writes_applied = self.writes_applied.saturating_add(1);
    }

    /// Records a write of this VM that lost a conflict: the store counts it too.
    pub(super) fn record_conflict(&mut self) {
        self.writes_lost = self.writes_lost.saturating_add(1);
    }

    /// Takes the head's count of writes at this time.
    pub(super) fn observe_writes(&mut self, now: Instant, writes: u64) {
        let (before, since) = *self.window_start.get_or_insert((writes, now));
        let time = now.saturating_duration_since(since);
        if time < MIN_WINDOW {
            return;
        }
        let own = f64::from(self.writes_applied.max(1));
        // The other VMs lose about as large a share of their writes as this VM does.
        let calls =
            writes.saturating_sub(before) as f64 * (1.0 + f64::from(self.writes_lost) / own);
        *self = Self {
            window_start: Some((writes, now)),
            observed: Some(Observed {
                calls_per_ks: (calls * 1000.0 / time.as_secs_f64()) as u64,
                between: time.div_f64(own),
            }),
            ..Self::default()
        };
    }

    /// Adjusts the pause in a head that is about to be written, once in half a second's writes.
    pub(super) fn adjust_pause(&self, head: &mut Head, settings: &ClaimSettings) {
        let Some(observed) = self.observed else {
            return;
        };
        if head.writes < head.paced_at + settings.fleet_writes_per_s.div_ceil(2) {
            return;
        }
        let target_per_ks = (settings.fleet_writes_per_s * 1000).max(1);
        // If all VMs stretch the time between their writes by this, they meet the target; half of the way at a time,
        // since the observation is of the past.
        let stretch = observed.calls_per_ks as f64 / target_per_ks as f64 - 1.0;
        let between_ms = observed.between.as_millis() as f64;
        let pause_ms = head.pace_ms as f64 + between_ms * stretch.min(MAX_STRETCH) / 2.0;
        head.pace_ms = (pause_ms.max(0.0) as u64).min(settings.longest_pace_ms);
        head.paced_at = head.writes;
    }
}
