//! The experiment `policies`: compares every selection policy and the ideal queue on the same seeded workload.

use std::time::Duration;

use kingcuploft::settings::selection::SelectionPolicy;
use serde::Serialize;
use serde_json::{Value, json};

use super::deployment::{Deployment, DeploymentKind};
use super::outcome::Summary;
use super::run::Run;
use super::scenario::with_changes;
use super::workload::Stream;

/// A row of the comparison: the ideal queue, or a fleet with some settings.
#[derive(Clone, Debug)]
pub struct Variant {
    /// The name in tables.
    pub name: String,
    /// The settings that differ from the deployment's; `None` runs the ideal queue.
    pub settings: Option<Value>,
}

impl Variant {
    /// Returns the ideal queue and every selection policy.
    pub fn policies() -> Vec<Self> {
        let ideal = Self {
            name: "ideal".into(),
            settings: None,
        };
        let policies = SelectionPolicy::ALL.iter().map(|policy| Self {
            name: policy.label().into(),
            settings: Some(json!({ "selection": { "policy": policy.label() } })),
        });
        std::iter::once(ideal).chain(policies).collect()
    }
}

/// The summary of one variant with one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// The variant's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// The summary of its run.
    #[serde(flatten)]
    pub summary: Summary,
}

/// The deployment, offered load and duration of a comparison.
#[derive(Clone, Copy, Debug)]
pub struct ComparisonSettings {
    /// The deployment.
    pub kind: DeploymentKind,
    /// The offered load: the requested work over the total slot time.
    pub load: f64,
    /// How long callers send requests.
    pub duration: Duration,
}

/// Runs every selection policy and the ideal queue on the same workload, for each seed.
pub fn compare_policies(
    kind: DeploymentKind,
    load: f64,
    duration: Duration,
    seeds: &[u64],
) -> Vec<Row> {
    let comparison = ComparisonSettings {
        kind,
        load,
        duration,
    };
    compare_variants(comparison, &Variant::policies(), seeds)
}

/// Runs variants on the same workload, for each seed; the seeds run in parallel.
///
/// # Panics
///
/// Panics if a variant's settings name a field that does not exist.
pub fn compare_variants(
    comparison: ComparisonSettings,
    variants: &[Variant],
    seeds: &[u64],
) -> Vec<Row> {
    std::thread::scope(|scope| {
        let spawn_run = |&seed: &u64| scope.spawn(move || seed_rows(comparison, variants, seed));
        let runs: Vec<_> = seeds.iter().map(spawn_run).collect();
        let runs = runs.into_iter();
        runs.flat_map(|run| run.join().expect("A run ends."))
            .collect()
    })
}

fn seed_rows(comparison: ComparisonSettings, variants: &[Variant], seed: u64) -> Vec<Row> {
    let streams = [Stream {
        load: comparison.load,
        ..Stream::default()
    }];
    let deployment = Deployment::new(comparison.kind);
    let base = deployment.service.policy.clone();
    let mut run = Run::new(deployment, &streams, comparison.duration, seed);
    let rows = variants.iter().map(|variant| {
        let outcome = match &variant.settings {
            None => super::ideal::run(&run),
            Some(settings) => {
                run.deployment.service.policy = with_changes(&base, settings);
                super::run(&run)
            }
        };
        Row {
            policy: variant.name.clone(),
            seed,
            summary: outcome.summary(|_| true),
        }
    });
    rows.collect()
}
