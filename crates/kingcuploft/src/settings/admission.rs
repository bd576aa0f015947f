//! The settings of [`crate::decisions::admission`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whom to serve, who waits, who is refused.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// How many callers' shares are remembered; the least recent one is forgotten first.
    pub callers_remembered: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            callers_remembered: 4096,
        }
    }
}
