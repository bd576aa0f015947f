//! The experiment `policies`: every policy and the ideal over the same seeded work.

use std::time::Duration;

use kingcuploft::settings::selection::SelectionPolicy;
use serde::Serialize;

use super::deployment::{Deployment, Place};
use super::outcome::{Outcome, Summary};
use super::run::Run;
use super::workload::Stream;

/// The figures of one policy at one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The policy, or `ideal`.
    pub policy: &'static str,
    /// The seed.
    pub seed: u64,
    /// The figures.
    #[serde(flatten)]
    pub summary: Summary,
}

/// Runs every policy and the ideal on the same work, for each seed.
pub fn policies(place: Place, load: f64, duration: Duration, seeds: &[u64]) -> Vec<Row> {
    seeds
        .iter()
        .flat_map(|&seed| rows(place, load, duration, seed))
        .collect()
}

fn rows(place: Place, load: f64, duration: Duration, seed: u64) -> Vec<Row> {
    let streams = [Stream {
        load,
        ..Stream::default()
    }];
    let mut run = Run::new(Deployment::new(place), &streams, duration, seed);
    let mut rows = vec![row("ideal", seed, &super::ideal::run(&run))];
    for policy in SelectionPolicy::ALL {
        run.deployment.service.policy.selection.policy = *policy;
        rows.push(row(policy.label(), seed, &super::run(&run)));
    }
    rows
}

fn row(policy: &'static str, seed: u64, outcome: &Outcome) -> Row {
    Row {
        policy,
        seed,
        summary: outcome.summary(|_| true),
    }
}
