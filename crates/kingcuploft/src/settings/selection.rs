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
    /// A round trip between availability zones, in ms.
    pub zone_distance_ms: f64,
    /// A new connection, in ms.
    pub connect_ms: f64,
    /// How long one call ahead in a backend server's queue delays another, in ms.
    pub wait_ms: f64,
    /// How long a load report stays of use, in ms; 0 ignores load reports.
    pub ageing_ms: f64,
    /// The age at which a call in flight is evidence that its backend server is slow, in ms.
    pub overdue_ms: f64,
    /// Whether reports that own calls contradict are ignored.
    pub doubt_reports: bool,
    /// Calls that one failure counts as; more failures count double each. 0 ignores failures.
    pub failure_calls: f64,
    /// How long a failure counts, in ms.
    pub failure_ms: f64,
    /// How long a backend server that was away gets less work, in ms; 0 gives it all at once.
    pub ramp_ms: f64,
    /// Calls beyond its slots that a backend server gets before further ones wait at the entry.
    pub allowance: f64,
}

impl Default for SelectionSettings {
    fn default() -> Self {
        Self {
            policy: SelectionPolicy::Adaptive,
            sample: 16,
            zone_distance_ms: 2.0,
            connect_ms: 1.0,
            wait_ms: 10.0,
            ageing_ms: 7.0,
            overdue_ms: 30.0,
            doubt_reports: true,
            failure_calls: 4.0,
            failure_ms: 1000.0,
            ramp_ms: 2000.0,
            allowance: 1.0,
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
