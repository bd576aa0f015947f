//! The settings of [`crate::decisions::concurrency`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How many calls of one VM may be in flight.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConcurrencySettings {
    /// Whether the limit adapts to the load reported on replies; otherwise it is the number of all slots.
    pub adaptive: bool,
    /// The reported requests in flight per slot above which too many requests wait at a backend server.
    pub full_at: f64,
    /// How far the limit rises for a reply from a backend server where nothing waits.
    pub rise: f64,
    /// How far the limit falls for a reply from a backend server where too many requests wait.
    pub fall: f64,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self {
            adaptive: true,
            full_at: 8.0,
            rise: 4.0,
            fall: 0.2,
        }
    }
}
