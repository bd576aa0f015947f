//! The settings of [`crate::decisions::selection`].

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How a backend server is chosen.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct SelectionSettings {
    /// The rule by which a backend server is chosen.
    pub policy: SelectionPolicy,
    /// How many backend servers are compared for one call; all of them where there are fewer.
    pub sample: u32,
    /// The round-trip time between availability zones, in ms.
    pub zone_distance_ms: f64,
    /// The time to open a connection, in ms.
    pub connect_ms: f64,
    /// How long one call ahead in a backend server's queue delays another, in ms.
    pub wait_ms: f64,
    /// How long a load report is used, in ms; 0 ignores load reports.
    pub ageing_ms: f64,
    /// The age at which a call in flight is evidence that its backend server is slow, in ms.
    pub overdue_ms: f64,
    /// Whether load reports that this VM's own calls contradict are ignored.
    pub doubt_reports: bool,
    /// Calls that one failure counts as; more failures count double each. 0 ignores failures.
    pub failure_calls: f64,
    /// How long a failure counts, in ms.
    pub failure_ms: f64,
    /// How long a backend server that returns gets less work (slow start), in ms; 0 gives it its full share at once.
    pub ramp_ms: f64,
    /// Calls beyond its slots that a backend server gets before further ones wait on this VM.
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
    /// A random one.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest calls of this VM in flight.
    LeastInFlight,
    /// The one with the least estimated load; calls wait on this VM while all are full.
    Adaptive,
}

impl SelectionPolicy {
    /// All policies, for experiments.
    pub const ALL: &[Self] = &[
        Self::Random,
        Self::RoundRobin,
        Self::LeastInFlight,
        Self::Adaptive,
    ];

    /// Returns the name used in settings and tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastInFlight => "least_in_flight",
            Self::Adaptive => "adaptive",
        }
    }
}
