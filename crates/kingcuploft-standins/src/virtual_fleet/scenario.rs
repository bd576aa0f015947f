//! The scenario language: a simulated run in YAML, and the bounds that its results must keep.

use std::time::Duration;

use kingcuploft::settings::Policy;
use kingcuploft::world::contract::Priority;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::change::Step;
use super::deployment::{Deployment, DeploymentKind};
use super::outcome::{End, Outcome, Record};
use super::run::Run;
use super::workload::Stream;

/// A scenario as written in its file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What a user would see, the order of events, and the cause.
    pub story: String,
    /// The deployment.
    pub deployment: DeploymentKind,
    /// The seed.
    pub seed: u64,
    /// How long callers send requests, in ms.
    pub duration_ms: u64,
    /// Settings that differ from the deployment's.
    #[serde(default)]
    pub policy: Value,
    /// The requests of the callers.
    pub streams: Vec<Stream>,
    /// The scheduled changes.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// The share of the messages between VMs that is lost, in `0.0..=1.0`.
    #[serde(default)]
    pub peer_loss_share: f64,
    /// The time that claiming an idempotency key takes, in ms; the deployment's if absent.
    #[serde(default)]
    pub claim_ms: Option<u64>,
    /// The bounds that the results must keep.
    pub expect: Vec<Expectation>,
    /// The settings that switch off the mechanism under test; with them, the scenario must fail.
    pub switched_off: Value,
}

/// A measure, the requests and times that it covers, and its bounds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// The measure.
    pub figure: Figure,
    /// Counts only requests of callers whose name begins with this.
    #[serde(default)]
    pub caller: Option<String>,
    /// Counts only requests of this priority.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// Counts only requests that arrive, and calls that are sent, from this time on, in ms.
    #[serde(default)]
    pub from_ms: u64,
    /// Counts only requests that arrive, and calls that are sent, before this time, in ms.
    #[serde(default)]
    pub until_ms: Option<u64>,
    /// The inclusive lower bound.
    #[serde(default)]
    pub at_least: Option<f64>,
    /// The inclusive upper bound.
    #[serde(default)]
    pub at_most: Option<f64>,
}

/// A measure of the results of a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// Requests answered within their deadline over requests.
    AnsweredShare,
    /// Requests answered after their deadline over requests.
    LateShare,
    /// Requests that got the error of a backend server over requests.
    FailedShare,
    /// Refused requests over requests.
    RefusedShare,
    /// The median time to an answer, in ms.
    P50Ms,
    /// The 99th percentile of the time to an answer, in ms.
    P99Ms,
    /// The 99.9th percentile of the time to an answer, in ms.
    P999Ms,
    /// The 99th percentile of the time to a refusal, in ms.
    RefusalP99Ms,
    /// The work of requests answered within their deadline over the total slot time of the whole run.
    GoodputShare,
    /// Calls sent to backend servers over requests.
    CallsPerRequest,
    /// The slot time of probes over the total slot time, over the whole run.
    ProbeShare,
    /// The runs of idempotency keys beyond the first of each key, over the whole run.
    DoubleRuns,
    /// The calls to the backend server with this index.
    CallsTo(usize),
}

/// An expectation whose measure is out of its bounds.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{expectation:?} was {value}")]
pub struct FailedExpectation {
    /// The expectation.
    pub expectation: Expectation,
    /// The measured value.
    pub value: f64,
}

impl Scenario {
    /// Parses a scenario from YAML.
    ///
    /// # Errors
    ///
    /// Returns the message of the YAML parser, with the line.
    pub fn read(text: &str) -> Result<Self, String> {
        serde_saphyr::from_str(text).map_err(|error| error.to_string())
    }

    /// Runs the scenario as written and returns the expectations that fail.
    pub fn run_as_written(&self) -> Vec<FailedExpectation> {
        self.check(&super::run(&self.build_run(&Value::Null)))
    }

    /// Runs the scenario with the mechanism under test switched off and returns the expectations that fail.
    pub fn run_switched_off(&self) -> Vec<FailedExpectation> {
        self.check(&super::run(&self.build_run(&self.switched_off)))
    }

    /// Builds the run, with further settings merged over the scenario's own.
    ///
    /// # Panics
    ///
    /// Panics if the settings name a field that does not exist.
    pub fn build_run(&self, settings: &Value) -> Run {
        let mut deployment = Deployment::new(self.deployment);
        let policy = &mut deployment.service.policy;
        *policy = with_changes(policy, &self.policy);
        *policy = with_changes(policy, settings);
        deployment.links.peer_loss_share = self.peer_loss_share;
        if let Some(claim_ms) = self.claim_ms {
            deployment.claim_time = Duration::from_millis(claim_ms);
        }
        let duration = Duration::from_millis(self.duration_ms);
        let mut run = Run::new(deployment, &self.streams, duration, self.seed);
        run.steps.clone_from(&self.steps);
        run
    }

    fn check(&self, outcome: &Outcome) -> Vec<FailedExpectation> {
        let expectations = self.expect.iter();
        expectations
            .filter_map(|expectation| expectation.check_outcome(outcome))
            .collect()
    }
}

impl Expectation {
    /// Returns the failed expectation if the measure is out of its bounds or not a number.
    pub fn check_outcome(&self, outcome: &Outcome) -> Option<FailedExpectation> {
        let value = self.measure(outcome);
        let low = self.at_least.is_some_and(|bound| value < bound);
        let high = self.at_most.is_some_and(|bound| value > bound);
        (low || high || value.is_nan()).then(|| FailedExpectation {
            expectation: self.clone(),
            value,
        })
    }

    /// Measures the outcome of a run.
    pub fn measure(&self, outcome: &Outcome) -> f64 {
        let summary = outcome.summary(|record| self.matches(record));
        let matching: Vec<&Record> = outcome.records.iter().filter(|r| self.matches(r)).collect();
        let share = |count: u64| count as f64 / matching.len() as f64;
        let refused = || {
            matching
                .iter()
                .filter(|r| matches!(r.end, End::Refused(..)))
        };
        match self.figure {
            Figure::AnsweredShare => share(summary.answered),
            Figure::LateShare => share(summary.late),
            Figure::FailedShare => share(summary.failed),
            Figure::RefusedShare => share(refused().count() as u64),
            Figure::P50Ms => summary.p50_ms,
            Figure::P99Ms => summary.p99_ms,
            Figure::P999Ms => summary.p999_ms,
            Figure::RefusalP99Ms => {
                let times = super::outcome::latency(refused().map(|r| r.latency));
                times.value_at_quantile(0.99) as f64 / 1000.0
            }
            Figure::GoodputShare => summary.goodput_share,
            Figure::CallsPerRequest => {
                share(matching.iter().map(|r| u64::from(r.call_count)).sum())
            }
            Figure::ProbeShare => summary.probe_share,
            Figure::DoubleRuns => outcome.duplicate_runs as f64,
            Figure::CallsTo(server) => {
                let calls = outcome.cost.sent_calls.iter();
                calls
                    .filter(|&&(at, to)| to == server && self.covers(at))
                    .count() as f64
            }
        }
    }

    /// Returns whether the expectation counts a request.
    fn matches(&self, record: &Record) -> bool {
        let caller = self.caller.as_ref();
        caller.is_none_or(|caller| record.caller.starts_with(caller.as_str()))
            && self
                .priority
                .is_none_or(|priority| record.priority == priority)
            && self.covers(record.arrived_at)
    }

    /// Returns whether a time lies within the limits of the expectation.
    fn covers(&self, at: Duration) -> bool {
        at >= Duration::from_millis(self.from_ms)
            && self
                .until_ms
                .is_none_or(|until| at < Duration::from_millis(until))
    }
}

/// Returns a copy of the settings with the given changes merged in.
///
/// # Panics
///
/// Panics if `changes` names a field that does not exist.
pub fn with_changes(policy: &Policy, changes: &Value) -> Policy {
    let mut value = serde_json::to_value(policy).expect("Settings are plain data.");
    merge(&mut value, changes);
    serde_json::from_value(value).expect("The changes name fields of the settings.")
}

/// Merges JSON objects recursively; `null` changes nothing.
fn merge(into: &mut Value, changes: &Value) {
    match (into, changes) {
        (_, Value::Null) => {}
        (Value::Object(into), Value::Object(changes)) => {
            for (key, change) in changes {
                merge(into.entry(key).or_insert(Value::Null), change);
            }
        }
        (into, change) => *into = change.clone(),
    }
}
