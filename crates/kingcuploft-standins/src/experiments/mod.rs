//! Experiments that measure real daemons under load, against stand-ins for callers, backend servers and the platform
//! on loopback.
//!
//! Each module is one experiment. Its `run` function returns a [`Report`]: the figures as JSON, a table as text, and
//! every guarantee that was violated.

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
use crate::virtual_fleet::deployment::DeploymentKind;

/// The command-line options that all experiments share.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of all random numbers.
    pub seed: u64,
    /// How long load is generated in each part of the experiment.
    pub duration: Duration,
    /// How many times the parts are repeated; the repetitions are interleaved.
    pub rounds: usize,
    /// The offered load, as a share of the capacity of all slots.
    pub load: f64,
    /// Which reference deployment is measured.
    pub deployment: DeploymentName,
    /// The SVG file to draw a plot into, if any.
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

/// A reference deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeploymentName {
    /// Hsinchu Teamway Travel Lab.
    Teamway,
    /// Bundesstelle für Versionshinweise.
    Bern,
}

impl DeploymentName {
    /// Returns the kind under which the virtual fleet simulates this deployment.
    pub fn kind(self) -> DeploymentKind {
        match self {
            Self::Teamway => DeploymentKind::Teamway,
            Self::Bern => DeploymentKind::Bern,
        }
    }

    /// Returns the plan from which a [`crate::fleet::Fleet`] starts the deployment.
    pub fn plan(self) -> Deployment {
        match self {
            Self::Teamway => deployment::teamway(),
            Self::Bern => deployment::bern(),
        }
    }
}

/// The result of an experiment.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The figures, as JSON.
    pub figures: serde_json::Value,
    /// The figures as a readable table.
    pub text: String,
    /// The guarantees that were violated, one message each; not empty means that the experiment failed.
    pub violations: Vec<String>,
}

/// Why an experiment returned no report.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The fleet did not start or did not adopt a manifest.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// An operating system call failed, or a condition was not met in time.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// The figures could not be serialized.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// An experiment as the command line lists and runs it.
#[derive(Clone, Copy, Debug)]
pub struct Experiment {
    /// The name on the command line.
    pub name: &'static str,
    /// What it measures, in one line of the help text.
    pub description: &'static str,
    /// The function that runs it.
    pub run: fn(&Options) -> Result<Report, ExperimentError>,
}

/// All experiments that the command line knows.
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
