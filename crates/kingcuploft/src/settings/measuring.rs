//! The settings of [`crate::decisions::measuring`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// When backend servers are probed, and what that may cost.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MeasuringSettings {
    /// The largest share of the backend servers' slot time that probes may take, fleet-wide; 0
    /// switches probes off.
    pub budget_share: f64,
    /// The slot time of one probe, in ms.
    pub probe_ms: f64,
    /// How long a backend server may go without a load report on a reply before it is probed, in ms.
    pub idle_ms: u64,
    /// How long a VM waits after a change in the set of live VMs before it probes its newly assigned backend servers,
    /// in ms: their earlier prober may not know of the change yet.
    pub settle_ms: u64,
    /// The timeout of a probe, in ms.
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
