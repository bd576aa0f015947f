//! The settings of [`crate::decisions::retry`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// When a request is sent again.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed for each successful call, on average.
    pub budget_share: f64,
    /// Retries allowed before anything has succeeded.
    pub budget_at_start: u32,
    /// The largest number of unused retries that can accumulate.
    pub budget_most: u32,
    /// The most attempts for one request, the first included.
    pub attempts: u32,
    /// The backoff before the third attempt, in ms; it doubles for each further one, with a jitter of half.
    pub backoff_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            budget_share: 0.1,
            budget_at_start: 2,
            budget_most: 10,
            attempts: 3,
            backoff_ms: 10,
        }
    }
}
