//! The settings of [`crate::decisions::hedge`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// When a lookup is sent a second time while the first attempt is in flight.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgeSettings {
    /// The most hedges, as a share of the lookups sent; none at 0.
    pub budget_share: f64,
    /// The most hedges that can be saved up.
    pub budget_most: u32,
    /// How many times longer than usual a backend server takes in what counts as a slow spell.
    pub slow_factor: f64,
    /// Whether an attempt that takes longer than 98 of 100 is reason enough.
    pub late: bool,
    /// How long nothing must have waited for a slot, in ms.
    pub calm_ms: u64,
    /// The shortest time that an attempt is left alone, in ms.
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
