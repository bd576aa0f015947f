//! The settings of [`crate::decisions::hedge`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// When a lookup is sent a second time while the first attempt is in flight.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeSettings {
    /// The most hedges, as a share of the lookups sent; none at 0.
    pub budget_share: f64,
    /// The largest number of unused hedges that can accumulate.
    pub budget_most: u32,
    /// The ratio of a backend server's latency to the usual one from which it counts as slow.
    pub slow_factor: f64,
    /// Whether an attempt that exceeds the 98th percentile of the service time is hedged for that reason alone.
    pub late: bool,
    /// How long no request may have waited for a slot before a hedge is sent, in ms.
    pub calm_ms: u64,
    /// The shortest time between an attempt and its hedge, in ms.
    pub after_ms: u64,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            budget_share: 0.02,
            budget_most: 5,
            slow_factor: 3.0,
            late: false,
            calm_ms: 200,
            after_ms: 5,
        }
    }
}
