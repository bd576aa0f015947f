//! A day: a deployment, and what strikes when.

use std::fmt::Write as _;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::deployment::Deployment;

/// The deployments that days name.
const DEPLOYMENTS: [(&str, &str); 4] = [
    ("4-vms", include_str!("../deployments/4-vms.yaml")),
    ("19-vms", include_str!("../deployments/19-vms.yaml")),
    ("115-vms", include_str!("../deployments/115-vms.yaml")),
    ("312-vms", include_str!("../deployments/312-vms.yaml")),
];

/// The longest day.
const MAX_LENGTH_MS: u64 = 300_000;

/// Why a day can't be read.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// The file is not as it should be; the text names line and field.
    #[error("{file}: {what}")]
    Unreadable {
        /// The file.
        file: String,
        /// What is wrong.
        what: String,
    },
    /// A value can't be played.
    #[error("{file}: disruption {number}: {field}: {what}")]
    InvalidDisruption {
        /// The file.
        file: String,
        /// Which disruption, from 1 on.
        number: usize,
        /// Its field.
        field: &'static str,
        /// What is wrong.
        what: String,
    },
}

/// A day, as its file says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// The name of its deployment.
    pub deployment: String,
    /// What its chances are drawn from.
    pub seed: u64,
    /// How long callers ask.
    pub length_ms: u64,
    /// What strikes.
    pub disruptions: Vec<Disruption>,
}

/// Something that strikes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Disruption {
    /// When, from the first request on.
    pub at_ms: u64,
    /// What.
    pub kind: DisruptionKind,
    /// Which part of the things that it may strike.
    #[serde(default = "full")]
    pub share: f64,
    /// How strong it is, where it has a strength.
    #[serde(default = "full")]
    pub strength: f64,
    /// How long it lasts, where it lasts.
    #[serde(default)]
    pub for_ms: u64,
    /// The service whose servers it strikes; all if it names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
}

fn full() -> f64 {
    1.0
}

/// What can strike.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DisruptionKind {
    /// Entry VMs are killed, and start again after half a second.
    VmsKilled,
    /// Entry VMs lose power, and start again when it is back.
    VmsLosePower,
    /// Entry VMs stand still.
    VmsFrozen,
    /// Entry VMs are stopped as planned, one after the other, and start again.
    VmsStopped,
    /// Entry VMs are cut off from each other and the store; callers and servers reach them.
    VmsCutOff,
    /// Servers refuse a part (`strength`) of the requests, and say that they did not run them.
    ServersRefuse,
    /// Servers run a part of the requests and lose the answers.
    ServersLoseAnswers,
    /// Servers take so many times as long.
    ServersSlow,
    /// Servers end without a word, and others start in their place.
    ServersCrash,
    /// Servers say that they leave, and end later.
    ServersLeave,
    /// Servers start, cold.
    ServersStart,
    /// Servers name how many requests a second (`strength`) they take, in their answers.
    ServersNameLimits,
    /// A part of the requests of the first kind end the servers that run them.
    DeadlyRequests,
    /// The store comes back from a copy that is so old, and what was written since is written again.
    StoreRewinds,
    /// The store says nothing.
    StoreSilent,
    /// So many times as many callers ask.
    Crowd,
    /// A route is added.
    ConfigurationChange,
    /// A zone gets nothing, and is taken back after a time.
    ZoneEvacuated,
}

impl DisruptionKind {
    /// All of them.
    pub const ALL: [Self; 18] = [
        Self::VmsKilled,
        Self::VmsLosePower,
        Self::VmsFrozen,
        Self::VmsStopped,
        Self::VmsCutOff,
        Self::ServersRefuse,
        Self::ServersLoseAnswers,
        Self::ServersSlow,
        Self::ServersCrash,
        Self::ServersLeave,
        Self::ServersStart,
        Self::ServersNameLimits,
        Self::DeadlyRequests,
        Self::StoreRewinds,
        Self::StoreSilent,
        Self::Crowd,
        Self::ConfigurationChange,
        Self::ZoneEvacuated,
    ];

    /// Returns the least and the greatest strength.
    pub fn strength_range(self) -> (f64, f64) {
        match self {
            Self::ServersRefuse | Self::ServersLoseAnswers => (0.0, 1.0),
            Self::DeadlyRequests => (0.0, 0.5),
            Self::ServersNameLimits => (0.5, 500.0),
            Self::ServersSlow => (1.0, 50.0),
            Self::Crowd => (1.0, 5.0),
            _ => (0.0, f64::INFINITY),
        }
    }
}

impl Disruption {
    /// Returns when it strikes.
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }

    /// Returns how long it lasts.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.for_ms)
    }
}

impl Day {
    /// Reads a day.
    ///
    /// # Errors
    ///
    /// Returns an error that names file, line or disruption, and field.
    pub fn read(file: &str, text: &str) -> Result<Self, DayError> {
        let day: Self = serde_saphyr::from_str(text).map_err(|error| DayError::Unreadable {
            file: file.into(),
            what: error.to_string(),
        })?;
        day.check(file)?;
        Ok(day)
    }

    /// Writes the day as a file that plays again.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "deployment: {}\nseed: {}\nlength_ms: {}\ndisruptions:\n",
            self.deployment, self.seed, self.length_ms
        );
        if self.disruptions.is_empty() {
            text.truncate(text.len() - 1);
            text.push_str(" []\n");
        }
        for disruption in &self.disruptions {
            // JSON is YAML; one line a disruption reads best.
            let line = serde_json::to_string(disruption).unwrap_or_default();
            let _ = writeln!(text, "  - {line}");
        }
        text
    }

    /// Returns the deployment, if one has its name.
    pub fn deployment(&self) -> Option<Deployment> {
        let named = DEPLOYMENTS
            .iter()
            .find(|(name, _)| *name == self.deployment);
        let (_, text) = named?;
        serde_saphyr::from_str(text).ok()
    }

    fn check(&self, file: &str) -> Result<(), DayError> {
        let unreadable = |what: String| DayError::Unreadable {
            file: file.into(),
            what,
        };
        let Some(deployment) = self.deployment() else {
            let names: Vec<_> = DEPLOYMENTS.iter().map(|(name, _)| *name).collect();
            let names = names.join(", ");
            return Err(unreadable(format!(
                "deployment: {} is none of {names}",
                self.deployment
            )));
        };
        if self.length_ms == 0 || self.length_ms > MAX_LENGTH_MS {
            let what = format!(
                "length_ms: {} is not from 1 to {MAX_LENGTH_MS}",
                self.length_ms
            );
            return Err(unreadable(what));
        }
        for (at, disruption) in self.disruptions.iter().enumerate() {
            let unplayable = |field, what| DayError::InvalidDisruption {
                file: file.into(),
                number: at + 1,
                field,
                what,
            };
            if !(0.0..=1.0).contains(&disruption.share) {
                return Err(unplayable(
                    "share",
                    format!("{} is not from 0 to 1", disruption.share),
                ));
            }
            let (least, most) = disruption.kind.strength_range();
            if !(least..=most).contains(&disruption.strength) {
                let what = format!("{} is not from {least} to {most}", disruption.strength);
                return Err(unplayable("strength", what));
            }
            let unknown = disruption
                .service
                .as_ref()
                .filter(|name| deployment.service(name).is_none());
            if let Some(name) = unknown {
                return Err(unplayable("service", format!("there is no service {name}")));
            }
        }
        Ok(())
    }
}
