//! The settings of [`crate::decisions::retry`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// When a request is sent again.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed for each successful call, on average.
    pub budget_share: f64,
    /// The most attempts for one request, the first included.
    pub attempts: u32,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            budget_share: 0.1,
            attempts: 3,
        }
    }
}
