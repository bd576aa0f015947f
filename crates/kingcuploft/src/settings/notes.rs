//! The settings of [`crate::decisions::notes`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What VMs report to each other about full backend servers.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NotesSettings {
    /// Bytes a second that one VM may spend on notes of one service; 0 switches them off.
    pub bytes_per_second: f64,
    /// The calls in flight per slot from which a backend server is reported full.
    pub full_calls_per_slot: f64,
    /// The calls in flight per slot below which a backend server that was reported full is reported free.
    pub free_calls_per_slot: f64,
    /// How long notes wait for further notes to share a message, in ms.
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
