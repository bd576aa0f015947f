//! The limit of one backend server: the one that it names, that of its cold start, or the lower of both.

use std::time::Instant;

use super::server_limit::{LimitShare, PerSecond, ServerLimit};

/// The limit that a server has named.
#[derive(Clone, Copy, Debug)]
pub(super) struct Named {
    pub(super) per_s: PerSecond,
    pub(super) since: Instant,
    /// Whether the store has its notice.
    pub(super) is_stored: bool,
}

/// The limit of a cold server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cold {
    pub(super) per_s: PerSecond,
    pub(super) recorded_at: Instant,
    pub(super) until: Instant,
}

/// The limit of a server: the one that it named, that of its cold start, or the lower of both.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) limit: ServerLimit,
    pub(super) named: Option<Named>,
    pub(super) cold: Option<Cold>,
    /// The earliest time of the next available turn, as far as known.
    pub(super) next_turn_at: Instant,
}

impl Known {
    pub(super) fn new(now: Instant, limit: ServerLimit) -> Self {
        Self {
            limit,
            named: None,
            cold: None,
            next_turn_at: now,
        }
    }

    /// Returns the server's limit, if there is one.
    pub(super) fn per_s(&self) -> Option<PerSecond> {
        let named = self.named.map(|named| named.per_s);
        let cold = self.cold.map(|cold| cold.per_s);
        named.into_iter().chain(cold).min_by(f64::total_cmp)
    }

    /// Applies the limit that is effective now.
    pub(super) fn renew(&mut self, now: Instant, share: impl FnOnce(PerSecond) -> LimitShare) {
        if let Some(per_s) = self.per_s() {
            self.limit.update(now, per_s, share(per_s));
        }
    }
}
