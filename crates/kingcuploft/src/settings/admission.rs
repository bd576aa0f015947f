//! The settings of [`crate::decisions::admission`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whom to serve, who waits, who is refused.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// How many callers' shares are remembered; the least recent one is forgotten first.
    pub callers_remembered: u32,
    /// Whether waiting callers are served in turn, by the slot time they use.
    pub fair_share: bool,
    /// Whether requests that can not be answered in time are refused as soon as that is known.
    pub deadline_aware: bool,
    /// Whether priorities are told apart.
    pub priorities: bool,
    /// The share of service of waiting protected requests, against the other weights.
    pub protected_weight: u32,
    /// The share of service of waiting interactive requests, against the other weights.
    pub interactive_weight: u32,
    /// The share of service of waiting background requests, against the other weights.
    pub background_weight: u32,
    /// How long a queue may stand before it is taken for overload rather than a burst, in ms.
    pub standing_after_ms: u64,
    /// The share of a request's deadline that it may wait while a queue stands.
    pub standing_wait_share: f64,
    /// How many requests with one idempotency key one VM takes in at a time.
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
