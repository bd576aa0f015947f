//! The file format of a day: a deployment, a seed and the disruptions with their times.

use std::fmt::Write as _;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::deployment::Deployment;
use crate::list_fault::{ListFault, ListedCollection};

/// The deployments that a day can name, with the contents of their files.
const DEPLOYMENTS: [(&str, &str); 9] = [
    (
        "19-vms-workspaces",
        include_str!("../deployments/19-vms-workspaces.yaml"),
    ),
    ("4-vms", include_str!("../deployments/4-vms.yaml")),
    (
        "4-vms-few-servers",
        include_str!("../deployments/4-vms-few-servers.yaml"),
    ),
    ("5-vms", include_str!("../deployments/5-vms.yaml")),
    ("13-vms", include_str!("../deployments/13-vms.yaml")),
    ("19-vms", include_str!("../deployments/19-vms.yaml")),
    ("115-vms", include_str!("../deployments/115-vms.yaml")),
    ("135-vms", include_str!("../deployments/135-vms.yaml")),
    ("312-vms", include_str!("../deployments/312-vms.yaml")),
];

/// The greatest length of a day, in milliseconds.
const MAX_LENGTH_MS: u64 = 300_000;

/// Why the file of a day is rejected.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// The file can't be parsed, or its deployment or length is invalid; the text names line and field.
    #[error("{file}: {what}")]
    Unreadable {
        /// The file.
        file: String,
        /// What is wrong.
        what: String,
    },
    /// A field of a disruption has an invalid value.
    #[error("{file}: disruption {number}: {field}: {what}")]
    InvalidDisruption {
        /// The file.
        file: String,
        /// The number of the disruption, counted from 1.
        number: usize,
        /// The field.
        field: &'static str,
        /// What is wrong.
        what: String,
    },
}

/// A day as its file describes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// The name of the deployment.
    pub deployment: String,
    /// The seed of the random numbers.
    pub seed: u64,
    /// For how long callers send requests, in milliseconds.
    pub length_ms: u64,
    /// The disruptions of the day.
    pub disruptions: Vec<Disruption>,
}

/// A disruption: a fault, a planned operation or a change in load.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Disruption {
    /// When it begins, in milliseconds after the first request.
    pub at_ms: u64,
    /// The kind.
    pub kind: DisruptionKind,
    /// The share of the VMs or servers in question that it affects, from 0 to 1.
    #[serde(default = "full")]
    pub share: f64,
    /// Its strength, for the kinds that have one; `DisruptionKind::strength_range` gives the bounds.
    #[serde(default = "full")]
    pub strength: f64,
    /// How long it lasts, in milliseconds, for the kinds that have a duration.
    #[serde(default)]
    pub for_ms: u64,
    /// How VMs are cut off from servers, for the kinds that do so.
    #[serde(default, skip_serializing_if = "ServerCut::is_default")]
    pub how: ServerCut,
    /// The service whose servers it affects; the servers of all services if none is named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// How lists of the store fail, for the kind that has them fail.
    #[serde(default, skip_serializing_if = "ListFault::is_default")]
    pub lists: ListFault,
    /// The collection whose lists fail; drawn by the seed if none is named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub collection: Option<ListedCollection>,
}

fn full() -> f64 {
    1.0
}

/// How a VM is cut off from servers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerCut {
    /// Nothing arrives either way, on open and on new connections.
    #[default]
    Silent,
    /// Open connections are reset, new ones refused.
    Reset,
    /// Open connections live on, new ones are refused.
    NewRefused,
    /// Open connections live on, new ones hang.
    NewSilent,
}

impl ServerCut {
    /// All ways.
    pub const ALL: [Self; 4] = [Self::Silent, Self::Reset, Self::NewRefused, Self::NewSilent];

    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// The kinds of disruptions.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DisruptionKind {
    /// Entry VMs are killed and restart after half a second or after `for_ms`, whichever is longer.
    VmsKilled,
    /// Entry VMs lose power, so that their connections fall silent without closing, and restart when it is back.
    VmsLosePower,
    /// Entry VMs are paused: their processes don't run.
    VmsFrozen,
    /// Entry VMs are stopped as planned, one after the other, and restart.
    VmsStopped,
    /// Entry VMs are cut off from each other and from the store; callers and servers still reach them.
    VmsCutOff,
    /// Entry VMs of all zones lose their paths to the servers (`how`); callers, the store and other VMs reach them.
    VmsCutFromServers,
    /// As `VmsCutFromServers`, for a share of the VMs of one zone.
    ZoneCutFromServers,
    /// Servers refuse a share (`strength`) of the requests with the statement that they were not run.
    ServersRefuse,
    /// Servers refuse half of the requests, and each time ask for a pause of so many seconds (`strength`).
    ServersPause,
    /// Servers run a share (`strength`) of the requests and lose the answers.
    ServersLoseAnswers,
    /// Servers take `strength` times as long for their work.
    ServersSlow,
    /// Servers crash without notice, and others start in their place.
    ServersCrash,
    /// Servers announce that they drain and stop later; others start in their place.
    ServersLeave,
    /// The entries of servers are removed, one shortly after the other; they say nothing and stop later; others start in
    /// their place.
    ServersRemoved,
    /// Cold servers start beside the present ones.
    ServersStart,
    /// Servers name a limit in their answers: how many requests a second (`strength`) they accept.
    ServersNameLimits,
    /// A share (`strength`) of the requests of the first kind crashes the server that runs them.
    DeadlyRequests,
    /// The store is restored from a snapshot that is `for_ms` old, and what was written since is written again.
    StoreRewinds,
    /// The store answers no calls.
    StoreSilent,
    /// The store cuts the watches that are waiting.
    StoreCutsWatches,
    /// The store loses the answers to the watches that wait for the next change of one kind of entries, chosen at random,
    /// if there is one within `for_ms`.
    StoreLosesAnswers,
    /// The store turns entry VMs away; callers, servers and other VMs still reach them.
    StoreTurnsAway,
    /// The store lists its entries in pages of at most `strength` entries.
    StorePages,
    /// Another writer writes `strength` entries to each collection of the store, for good.
    ForeignEntries,
    /// The lists of one collection of the store fail (`lists`).
    StoreFailsLists,
    /// As `VmsKilled`, for a share of the VMs of one zone.
    ZoneKilled,
    /// The request rate is multiplied by `strength`.
    Crowd,
    /// The operator writes a configuration with one more route.
    ConfigurationChange,
    /// A zone is evacuated and reinstated after a while.
    ZoneEvacuated,
    /// The first workspace sends `strength` times its usual requests.
    WorkspaceCrowd,
    /// The operator lowers all quotas to a share (`strength`), for good.
    QuotasLowered,
    /// The operator takes the present keys of all workspaces away and gives them others; some callers go on with the old
    /// ones.
    KeysTaken,
}

impl DisruptionKind {
    /// The kinds that any deployment has, but for those about the store's lists.
    pub const ALL: [Self; 25] = [
        Self::VmsKilled,
        Self::VmsLosePower,
        Self::VmsFrozen,
        Self::VmsStopped,
        Self::VmsCutOff,
        Self::ServersRefuse,
        Self::ServersPause,
        Self::ServersLoseAnswers,
        Self::ServersSlow,
        Self::ServersCrash,
        Self::ServersLeave,
        Self::ServersRemoved,
        Self::ServersStart,
        Self::ServersNameLimits,
        Self::DeadlyRequests,
        Self::StoreRewinds,
        Self::StoreSilent,
        Self::StoreCutsWatches,
        Self::StoreLosesAnswers,
        Self::StoreTurnsAway,
        Self::Crowd,
        Self::ConfigurationChange,
        Self::ZoneEvacuated,
        Self::VmsCutFromServers,
        Self::ZoneCutFromServers,
    ];

    /// The kinds about the store's lists, and one that shows who needs them.
    pub const OF_LISTS: [Self; 4] = [
        Self::StorePages,
        Self::ForeignEntries,
        Self::StoreFailsLists,
        Self::ZoneKilled,
    ];

    /// The kinds that only a deployment with workspaces has.
    pub const OF_WORKSPACES: [Self; 3] =
        [Self::WorkspaceCrowd, Self::QuotasLowered, Self::KeysTaken];

    /// Returns whether the kind cuts VMs off from servers.
    pub fn cuts_from_servers(self) -> bool {
        matches!(self, Self::VmsCutFromServers | Self::ZoneCutFromServers)
    }

    /// Returns the least and the greatest strength that the kind allows.
    pub fn strength_range(self) -> (f64, f64) {
        match self {
            Self::ServersRefuse | Self::ServersLoseAnswers => (0.0, 1.0),
            Self::DeadlyRequests => (0.0, 0.5),
            Self::ServersNameLimits => (0.5, 500.0),
            Self::ServersSlow => (1.0, 50.0),
            Self::ServersPause => (0.1, 60.0),
            Self::StorePages | Self::ForeignEntries => (1.0, 200.0),
            Self::Crowd => (1.0, 5.0),
            Self::WorkspaceCrowd => (1.0, 50.0),
            Self::QuotasLowered => (0.01, 1.0),
            _ => (0.0, f64::INFINITY),
        }
    }
}

impl Disruption {
    /// Returns when the disruption begins, after the first request.
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }

    /// Returns how long the disruption lasts.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.for_ms)
    }
}

/// Returns the deployment of this name, if it exists.
pub fn deployment(name: &str) -> Option<Deployment> {
    let (_, text) = DEPLOYMENTS.iter().find(|(known, _)| *known == name)?;
    serde_saphyr::from_str(text).ok()
}

impl Day {
    /// Parses and validates a day.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the line or disruption, and the field.
    pub fn read(file: &str, text: &str) -> Result<Self, DayError> {
        let day: Self = serde_saphyr::from_str(text).map_err(|error| DayError::Unreadable {
            file: file.into(),
            what: error.to_string(),
        })?;
        day.check(file)?;
        Ok(day)
    }

    /// Returns the day as a file that can be run again.
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
            // JSON is valid YAML, and one line per disruption reads best.
            let line = serde_json::to_string(disruption).unwrap_or_default();
            let _ = writeln!(text, "  - {line}");
        }
        text
    }

    /// Returns the deployment that the day names, if it exists.
    pub fn deployment(&self) -> Option<Deployment> {
        deployment(&self.deployment)
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
            let needs_workspaces = DisruptionKind::OF_WORKSPACES.contains(&disruption.kind);
            if needs_workspaces && deployment.workspaces.is_empty() {
                let what = format!("{} has no workspaces", self.deployment);
                return Err(unplayable("kind", what));
            }
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
