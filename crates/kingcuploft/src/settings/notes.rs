//! The settings of [`crate::decisions::notes`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What VMs tell each other about full backend servers.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NotesSettings {
    /// Bytes a second that one VM may spend on notes of one service; 0 switches them off.
    pub bytes_per_second: f64,
    /// A backend server is told full from this many calls for each slot.
    pub full_calls_per_slot: f64,
    /// A backend server that was told full is told free below this many calls for each slot.
    pub free_calls_per_slot: f64,
    /// How long notes wait for others to share a message with, in ms.
    pub batch_ms: f64,
}

impl Default for NotesSettings {
    fn default() -> Self {
        Self {
            bytes_per_second: 0.0,
            full_calls_per_slot: 3.0,
            free_calls_per_slot: 1.0,
            batch_ms: 1.0,
        }
    }
}
