//! The settings of [`crate::decisions::measuring`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What measuring may cost.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct MeasuringSettings {
    /// The largest share of the backend servers' slot time that probes may take, fleet-wide.
    pub budget_share: f64,
}

impl Default for MeasuringSettings {
    fn default() -> Self {
        Self { budget_share: 0.01 }
    }
}
