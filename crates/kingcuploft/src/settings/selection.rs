//! The settings of [`crate::decisions::selection`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Where work goes.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SelectionSettings {
    /// How many backend servers are looked at for one call; all of them where there are fewer.
    pub sample: u32,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self { sample: 16 }
    }
}
