//! The byte budget of the peer links: a token bucket over the bytes of all links.

use std::time::Instant;

use crate::shared::Shared;

/// A token bucket that refills at a fixed rate and is charged for every byte that the links carry.
pub(super) struct ByteBudget {
    bytes_per_s: f64,
    burst_bytes: f64,
    remaining: f64,
    counted_bytes: u64,
    refilled_at: Instant,
}

impl ByteBudget {
    pub(super) fn new(shared: &Shared) -> Self {
        let budget = &shared.settings.peer.budget;
        let burst_bytes = budget.burst_bytes as f64;
        Self {
            bytes_per_s: budget.bytes_per_s as f64,
            burst_bytes,
            remaining: burst_bytes,
            counted_bytes: 0,
            refilled_at: Instant::now(),
        }
    }

    pub(super) fn has_bytes(&mut self, shared: &Shared) -> bool {
        let now = Instant::now();
        let counted_bytes = shared.metrics.fleet.all_peer_bytes();
        let spent = counted_bytes.saturating_sub(self.counted_bytes) as f64;
        let refill = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64()
            * self.bytes_per_s;
        // A pulled manifest may cost more than minutes of budget. The debt is bounded at one second of refill, so that
        // gossip is delayed by at most a second.
        self.remaining =
            (self.remaining - spent + refill).clamp(-self.bytes_per_s, self.burst_bytes);
        (self.counted_bytes, self.refilled_at) = (counted_bytes, now);
        self.remaining > 0.0
    }
}
