//! The settings of [`crate::decisions::drain`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How a leaving or failing backend server is treated.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// The smallest share of backend servers that ejection leaves in use.
    pub keep_share: f64,
    /// Whether reports from replies, peers, operators and the VM list start a drain; the manifest always does.
    pub heed_evidence: bool,
    /// Whether peers are notified of a drain that this VM has detected.
    pub tell_peers: bool,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            keep_share: 0.5,
            heed_evidence: true,
            tell_peers: true,
        }
    }
}
