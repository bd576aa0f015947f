//! The settings of [`crate::decisions::drain`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How a leaving or failing backend server is treated.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// The smallest share of backend servers that ejection leaves in use.
    pub keep_share: f64,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { keep_share: 0.5 }
    }
}
