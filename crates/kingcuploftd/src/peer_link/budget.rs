//! How many bytes the peer links may carry.

use std::time::Instant;

use crate::shared::Shared;

/// The byte budget: it refills steadily and pays for every byte that the links carry.
pub(super) struct ByteBudget {
    bytes_per_s: f64,
    burst: f64,
    left: f64,
    counted: u64,
    at: Instant,
}

impl ByteBudget {
    pub(super) fn new(shared: &Shared) -> Self {
        let budget = &shared.settings.peer.budget;
        let burst = budget.burst_bytes as f64;
        Self {
            bytes_per_s: budget.bytes_per_s as f64,
            burst,
            left: burst,
            counted: 0,
            at: Instant::now(),
        }
    }

    pub(super) fn has_bytes(&mut self, shared: &Shared) -> bool {
        let now = Instant::now();
        let counted = shared.metrics.fleet.all_peer_bytes();
        let spent = counted.saturating_sub(self.counted) as f64;
        let refill = now.saturating_duration_since(self.at).as_secs_f64() * self.bytes_per_s;
        // A manifest that was pulled may cost more than minutes of budget: news must not wait for
        // it for longer than a second.
        self.left = (self.left - spent + refill).clamp(-self.bytes_per_s, self.burst);
        (self.counted, self.at) = (counted, now);
        self.left > 0.0
    }
}
