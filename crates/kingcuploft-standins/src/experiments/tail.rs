//! `tail`: tail latency and the cost of measuring of each policy, interleaved on the same work.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::Serialize;

use super::{ExperimentError, Options, Report};
use crate::callers::CallPlan;
use crate::fleet::{Fleet, Variant};
use crate::load::{self, DueCall};
use crate::tally::{Figures, Tally};

/// The mean work time of a call, in ms.
const MEAN_MS: f64 = 10.0;

#[derive(Debug, Serialize)]
struct Row {
    policy: &'static str,
    #[serde(flatten)]
    figures: Figures,
}

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] where a fleet did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let mut tally = Tally::default();
    for round in 0..options.rounds as u64 {
        tally.merge(&one(options, options.seed + round)?);
    }
    let row = Row {
        policy: "adaptive",
        figures: tally.figures(),
    };
    Ok(Report {
        text: format!("{row:#?}"),
        figures: serde_json::to_value([row])?,
        broken: Vec::new(),
    })
}

fn one(options: &Options, seed: u64) -> Result<Tally, ExperimentError> {
    let deployment = options.deployment.plan().first_service();
    let fleet = Fleet::start(deployment, Variant::default())?;
    let calls = calls(options, &fleet, seed);
    let tally = load::run(&fleet.runtime, &fleet.addresses(), calls, 1);
    fleet.stop();
    Ok(tally[0].clone())
}

fn calls(options: &Options, fleet: &Fleet, seed: u64) -> Vec<DueCall> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let plan = &fleet.deployment.services[0];
    let slots = plan.backend_servers as f64 * f64::from(plan.slots);
    let per_second = options.load * slots * 1000.0 / MEAN_MS;
    let arrivals = load::arrivals(&mut rng, per_second, options.time);
    let due = arrivals.into_iter().enumerate().map(|(i, at)| DueCall {
        at,
        to: rng.usize(..),
        plan: CallPlan {
            method: Method::GET,
            host: format!("{}.example", plan.name),
            path: format!("/lookup/{i}"),
            headers: vec![("x-work-us", work_us(&mut rng).to_string())],
            body: Bytes::new(),
        },
        deadline: Duration::from_secs(2),
        group: 0,
    });
    due.collect()
}

fn work_us(rng: &mut fastrand::Rng) -> u64 {
    let uniform = rng.f64().max(f64::MIN_POSITIVE);
    (-uniform.ln() * MEAN_MS * 1000.0) as u64
}
