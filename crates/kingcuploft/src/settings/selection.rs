//! The settings of [`crate::decisions::selection`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Where work goes.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SelectionSettings {
    /// The rule by which a backend server is chosen.
    pub policy: SelectionPolicy,
    /// How many backend servers are looked at for one call; all of them where there are fewer.
    pub sample: u32,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self {
            policy: SelectionPolicy::Adaptive,
            sample: 16,
        }
    }
}

/// The rule by which a backend server is chosen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SelectionPolicy {
    /// Any one, at random.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest calls of this VM in flight.
    LeastInFlight,
    /// The one with the least estimated load; calls wait at the entry while all are full.
    Adaptive,
}

impl SelectionPolicy {
    /// Every policy, for experiments.
    pub const ALL: &[Self] = &[
        Self::Random,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::Adaptive,
    ];

    /// Returns the word that stands in settings and tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::Adaptive => "adaptive",
        }
    }
}
