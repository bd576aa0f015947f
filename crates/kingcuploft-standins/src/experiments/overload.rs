//! `overload`: goodput, refusals and fairness when the offered load exceeds the capacity of the slots, with and without
//! one hot caller.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcuploft::world::contract::Priority;
use kingcuploft::world::refusal::RefusalReason;
use serde::Serialize;

use super::{ExperimentError, Options, Report, real_run};
use crate::virtual_fleet::outcome::{End, Record};
use crate::virtual_fleet::workload::Stream;
use crate::virtual_fleet::{Deployment, Outcome, Run};

/// The number of callers that each send the same load.
const REGULAR_CALLERS: u32 = 40;

/// The hot caller's load, as a multiple of a regular caller's.
const HOT_CALLER_FACTOR: f64 = 10.0;

#[derive(Debug, Serialize)]
struct Figures {
    load: f64,
    goodput_share: f64,
    answered_in_time: u64,
    late_answers: u64,
    late_share: f64,
    refused: u64,
    refused_by_reason: BTreeMap<&'static str, ReasonFigures>,
    lost: u64,
    refusal_p50_ms: f64,
    refusal_p99_ms: f64,
    others_refusal_p99_ms: f64,
    protected_answered_share: f64,
    background_answered_share: f64,
    others_answered_share: f64,
    others_answered_share_without_hot_caller: f64,
    hot_caller_share: f64,
    duplicate_runs: u64,
}

/// How many calls were refused for one reason, and the 99th percentile of the time to the refusal.
#[derive(Debug, Serialize)]
struct ReasonFigures {
    refused: u64,
    p99_ms: f64,
}

/// Runs the experiment: in each round first without, then with the hot caller.
///
/// # Errors
///
/// [`ExperimentError`] if a fleet did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let mut report = Report::default();
    let mut all = Vec::new();
    for round in 0..options.rounds as u64 {
        let seed = options.seed + round;
        let without = run_load(options, seed, 0.0)?;
        let with = run_load(options, seed, HOT_CALLER_FACTOR)?;
        let figures = figures(options, &with, &without);
        if figures.duplicate_runs > 0 {
            report.violations.push(format!(
                "seed {seed}: {} duplicate runs",
                figures.duplicate_runs
            ));
        }
        report.text += &format!("{}\n", serde_json::to_string_pretty(&figures)?);
        all.push(figures);
    }
    report.figures = serde_json::to_value(all)?;
    Ok(report)
}

fn run_load(options: &Options, seed: u64, hot: f64) -> Result<Outcome, ExperimentError> {
    let share = options.load / (f64::from(REGULAR_CALLERS) + HOT_CALLER_FACTOR);
    let mut streams = vec![Stream {
        load: share * f64::from(REGULAR_CALLERS),
        callers: REGULAR_CALLERS,
        ..Stream::default()
    }];
    if hot > 0.0 {
        streams.push(Stream {
            load: share * hot,
            caller: "hot".into(),
            callers: 1,
            ..Stream::default()
        });
    }
    let deployment = Deployment::new(options.deployment.kind());
    let run = Run::new(deployment, &streams, options.duration, seed);
    real_run::run(&run, "{}".into())
}

fn figures(options: &Options, with: &Outcome, without: &Outcome) -> Figures {
    let all = with.summary(|_| true);
    let answered: u64 = all.answered + all.late;
    Figures {
        load: options.load,
        goodput_share: all.goodput_share,
        answered_in_time: all.answered,
        late_answers: all.late,
        late_share: all.late as f64 / answered.max(1) as f64,
        refused: all.refused.values().sum(),
        refused_by_reason: by_reason(with),
        lost: all.lost,
        refusal_p50_ms: refusal_ms(with, 0.5, |_| true),
        refusal_p99_ms: refusal_ms(with, 0.99, |_| true),
        others_refusal_p99_ms: refusal_ms(with, 0.99, |r| !is_hot(r)),
        protected_answered_share: share(with, |r| r.priority == Priority::Protected),
        background_answered_share: share(with, |r| r.priority == Priority::Background),
        others_answered_share: share(with, |r| !is_hot(r)),
        others_answered_share_without_hot_caller: share(without, |r| !is_hot(r)),
        hot_caller_share: share(with, is_hot),
        duplicate_runs: with.duplicate_runs + without.duplicate_runs,
    }
}

fn is_hot(record: &Record) -> bool {
    record.caller.starts_with("hot")
}

/// Returns the share of the selected records that were answered before their deadline.
fn share(outcome: &Outcome, keep: impl Fn(&Record) -> bool) -> f64 {
    let kept: Vec<&Record> = outcome.records.iter().filter(|r| keep(r)).collect();
    let in_time = kept.iter().filter(|r| r.within_deadline()).count();
    in_time as f64 / kept.len().max(1) as f64
}

fn refusal_ms(outcome: &Outcome, quantile: f64, keep: impl Fn(&Record) -> bool) -> f64 {
    let kept = outcome.records.iter().filter(|record| keep(record));
    let refused = kept.filter(|record| matches!(record.end, End::Refused(..)));
    quantile_ms(refused.map(|record| record.latency), quantile)
}

fn by_reason(outcome: &Outcome) -> BTreeMap<&'static str, ReasonFigures> {
    let mut times: BTreeMap<&'static str, Vec<Duration>> = BTreeMap::new();
    for (reason, took) in refusals(outcome) {
        times.entry(reason.label()).or_default().push(took);
    }
    let figures = times.into_iter().map(|(reason, times)| {
        let figures = ReasonFigures {
            refused: times.len() as u64,
            p99_ms: quantile_ms(times.into_iter(), 0.99),
        };
        (reason, figures)
    });
    figures.collect()
}

fn refusals(outcome: &Outcome) -> impl Iterator<Item = (RefusalReason, Duration)> {
    outcome
        .records
        .iter()
        .filter_map(|record| match record.end {
            End::Refused(reason, _) => Some((reason, record.latency)),
            _ => None,
        })
}

fn quantile_ms(times: impl Iterator<Item = Duration>, quantile: f64) -> f64 {
    let latency = crate::virtual_fleet::outcome::latency(times);
    latency.value_at_quantile(quantile) as f64 / 1000.0
}
