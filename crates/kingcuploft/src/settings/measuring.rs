//! The settings of [`crate::decisions::measuring`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What measuring may cost.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MeasuringSettings {
    /// The largest share of the backend servers' slot time that probes may take, fleet-wide; 0
    /// switches probes off.
    pub budget_share: f64,
    /// The slot time of one probe, in ms.
    pub probe_ms: f64,
    /// A backend server that no reply told of for this long is probed, in ms.
    pub idle_ms: u64,
    /// How long a VM waits before it probes the servers that a new view of the fleet gives it, in
    /// ms: their earlier prober may not have that view yet.
    pub settle_ms: u64,
    /// A probe that is not answered within this time failed, in ms.
    pub timeout_ms: u64,
}

impl Default for MeasuringSettings {
    fn default() -> Self {
        Self {
            budget_share: 0.01,
            probe_ms: 6.0,
            idle_ms: 1000,
            settle_ms: 2000,
            timeout_ms: 1000,
        }
    }
}
