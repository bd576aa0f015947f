//! The settings of [`crate::decisions::outlier`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// When a failing backend server gets no work for a while.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct OutlierSettings {
    /// Failures in a row after which a backend server is ejected; 0 switches ejection off.
    pub eject_after: u32,
    /// The first ejection's length, in ms; each further one in a row is twice as long.
    pub eject_ms: u64,
    /// The longest ejection, in ms.
    pub longest_ms: u64,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            eject_after: 3,
            eject_ms: 1000,
            longest_ms: 30_000,
        }
    }
}
