//! Experiments: real daemons in one process against stand-ins on loopback.
//!
//! One experiment, one file. Each returns its figures as JSON, a table as text, and every promise
//! it saw broken.

pub mod claims;
pub mod connections;
pub mod overhead;
pub mod overload;
pub mod peer_slope;
pub mod promises;
pub mod propagation;
pub mod real_run;
pub mod slopes;
pub mod store_outage;
pub mod tail;

use std::path::PathBuf;
use std::time::Duration;

use crate::deployment::{self, Deployment};
use crate::fleet::FleetError;
use crate::plot::PlotError;
use crate::virtual_fleet::deployment::Place;

/// The options that experiments share.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of everything drawn.
    pub seed: u64,
    /// How long the load lasts, for each part of the experiment.
    pub duration: Duration,
    /// How often the parts are repeated, interleaved.
    pub rounds: usize,
    /// The load, as a share of what the slots can do.
    pub load: f64,
    /// Which deployment of the brief.
    pub deployment: DeploymentName,
    /// Where to draw a plot, if anywhere.
    pub plot: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_secs(5),
            rounds: 1,
            load: 0.75,
            deployment: DeploymentName::Teamway,
            plot: None,
        }
    }
}

/// A deployment of the brief.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeploymentName {
    /// Hsinchu Teamway Travel Lab.
    Teamway,
    /// Bundesstelle für Versionshinweise.
    Bern,
}

impl DeploymentName {
    /// Returns the deployment's twin in the virtual fleet.
    pub fn virtual_place(self) -> Place {
        match self {
            Self::Teamway => Place::Teamway,
            Self::Bern => Place::Bern,
        }
    }

    /// Returns the plan of the deployment.
    pub fn plan(self) -> Deployment {
        match self {
            Self::Teamway => deployment::teamway(),
            Self::Bern => deployment::bern(),
        }
    }
}

/// What an experiment found.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The figures.
    pub figures: serde_json::Value,
    /// The same, as a table for a person.
    pub text: String,
    /// The promises that were broken.
    pub violations: Vec<String>,
}

/// Why an experiment has no figures.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The fleet failed.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The system failed.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The plot failed.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// The figures can not be written.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// An experiment's entry in the tool.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// The name on the command line.
    pub name: &'static str,
    /// What it measures, in one line.
    pub description: &'static str,
    /// Runs it.
    pub run: fn(&Options) -> Result<Report, ExperimentError>,
}

/// Every experiment.
pub const ALL: &[Experiment] = &[
    Experiment {
        name: "connections",
        description: "bursts of callers and slow senders, at rouille and at the daemon",
        run: connections::run,
    },
    Experiment {
        name: "overhead",
        description: "what one daemon adds to a call, interleaved with calls straight to the server",
        run: overhead::run,
    },
    Experiment {
        name: "claims",
        description: "store writes and added latency of protected actions, by ledger and rate",
        run: claims::run,
    },
    Experiment {
        name: "overload",
        description: "what callers receive under overload, with a hot caller",
        run: overload::run,
    },
    Experiment {
        name: "peer_slope",
        description: "bytes and time of the peer links at 14, 50 and 200 light nodes",
        run: peer_slope::run,
    },
    Experiment {
        name: "promises",
        description: "daemon processes under mixed faults, every call checked",
        run: promises::run,
    },
    Experiment {
        name: "propagation",
        description: "time until a manifest is in force everywhere, the store dying or not",
        run: propagation::run,
    },
    Experiment {
        name: "store_outage",
        description: "protected actions while the store is down, and the calls after its return",
        run: store_outage::run,
    },
    Experiment {
        name: "slopes",
        description: "what one daemon costs as the deployment grows",
        run: slopes::run,
    },
    Experiment {
        name: "tail",
        description: "tail latency and the cost of measuring, by policy",
        run: tail::run,
    },
];
