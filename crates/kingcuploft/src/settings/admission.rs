//! The settings of [`crate::decisions::admission`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Which requests are served first, which wait and which are refused.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// How many callers' shares are remembered; the least recent one is forgotten first.
    pub callers_remembered: u32,
    /// Whether waiting callers get equal shares of the slot time.
    pub fair_share: bool,
    /// Whether requests that can not be answered in time are refused as soon as that is known.
    pub deadline_aware: bool,
    /// Whether requests are served by priority; all are served alike otherwise.
    pub priorities: bool,
    /// The weight of waiting protected requests, relative to the other two weights.
    pub protected_weight: u32,
    /// The weight of waiting interactive requests, relative to the other two weights.
    pub interactive_weight: u32,
    /// The weight of waiting background requests, relative to the other two weights.
    pub background_weight: u32,
    /// How long a queue may stay non-empty before that counts as overload rather than a burst, in ms.
    pub standing_after_ms: u64,
    /// The share of the time to its deadline that a request may wait during overload.
    pub standing_wait_share: f64,
    /// How many requests with one idempotency key one VM admits at a time.
    pub key_limit: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            callers_remembered: 4096,
            fair_share: true,
            deadline_aware: true,
            priorities: true,
            protected_weight: 16,
            interactive_weight: 8,
            background_weight: 1,
            standing_after_ms: 300,
            standing_wait_share: 0.1,
            key_limit: 4,
        }
    }
}
