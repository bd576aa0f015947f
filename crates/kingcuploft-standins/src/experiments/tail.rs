//! `tail`: tail latency and the cost of measuring of each policy, interleaved on the same work.

use std::fmt::Write;

use kingcuploft::settings::selection::SelectionPolicy;
use serde::Serialize;

use super::{ExperimentError, Options, Report, real_run};
use crate::virtual_fleet::outcome::Summary;
use crate::virtual_fleet::workload::Stream;
use crate::virtual_fleet::{Deployment, Outcome, Run, ideal};

/// The figures of one policy, each the median over the rounds, with the least and greatest p99.
#[derive(Clone, Debug, Serialize)]
struct Row {
    policy: &'static str,
    p50_ms: f64,
    p99_ms: f64,
    p99_ms_least: f64,
    p99_ms_greatest: f64,
    p999_ms: f64,
    answered: u64,
    late_answers: u64,
    refused: u64,
    lost: u64,
    probe_share: f64,
    hedge_share: f64,
    control_bytes_per_second_per_node: f64,
}

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] where a fleet did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let mut summaries: Vec<Vec<Summary>> = vec![Vec::new(); SelectionPolicy::ALL.len() + 1];
    let mut report = Report::default();
    for round in 0..options.rounds as u64 {
        let seed = options.seed + round;
        let run = drawn(options, seed);
        summaries[0].push(ideal::run(&run).summary(|_| true));
        for (i, policy) in SelectionPolicy::ALL.iter().enumerate() {
            let outcome = real_run::run(
                &run,
                yaml(
                    *policy,
                    run.deployment.service.policy.measuring.budget_share,
                ),
            )?;
            note_broken(&mut report, seed, *policy, &outcome);
            summaries[i + 1].push(outcome.summary(|_| true));
        }
    }
    let names = std::iter::once("ideal").chain(SelectionPolicy::ALL.iter().map(|p| p.label()));
    let rows: Vec<Row> = names
        .zip(&summaries)
        .map(|(name, s)| row(name, s))
        .collect();
    report.text = table(&rows);
    report.figures = serde_json::to_value(rows)?;
    Ok(report)
}

fn drawn(options: &Options, seed: u64) -> Run {
    let streams = [Stream {
        load: options.load,
        ..Stream::default()
    }];
    let deployment = Deployment::new(options.deployment.place());
    Run::new(deployment, &streams, options.time, seed)
}

fn yaml(policy: SelectionPolicy, budget_share: f64) -> String {
    let policy = policy.label();
    format!("{{selection: {{policy: {policy}}}, measuring: {{budget_share: {budget_share}}}}}")
}

fn note_broken(report: &mut Report, seed: u64, policy: SelectionPolicy, outcome: &Outcome) {
    if outcome.double_runs > 0 {
        let (policy, runs) = (policy.label(), outcome.double_runs);
        let broken = format!("seed {seed}, {policy}: {runs} duplicate runs");
        report.broken.push(broken);
    }
}

fn row(policy: &'static str, summaries: &[Summary]) -> Row {
    let by = |figure: fn(&Summary) -> f64| {
        let mut figures: Vec<f64> = summaries.iter().map(figure).collect();
        figures.sort_by(f64::total_cmp);
        figures
    };
    let median = |figure: fn(&Summary) -> f64| {
        let figures = by(figure);
        figures.get(figures.len() / 2).copied().unwrap_or_default()
    };
    let p99 = by(|s| s.p99_ms);
    let sum = |figure: fn(&Summary) -> u64| summaries.iter().map(figure).sum();
    Row {
        policy,
        p50_ms: median(|s| s.p50_ms),
        p99_ms: median(|s| s.p99_ms),
        p99_ms_least: p99.first().copied().unwrap_or_default(),
        p99_ms_greatest: p99.last().copied().unwrap_or_default(),
        p999_ms: median(|s| s.p999_ms),
        answered: sum(|s| s.answered),
        late_answers: sum(|s| s.late),
        refused: sum(|s| s.refused.values().sum()),
        lost: sum(|s| s.lost),
        probe_share: median(|s| s.probe_share),
        hedge_share: median(|s| s.hedge_share),
        control_bytes_per_second_per_node: median(|s| s.notes_bytes_per_second_per_node),
    }
}

fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<16} {:>7} {:>8} {:>17} {:>8} {:>9} {:>5} {:>8} {:>5} {:>7} {:>7} {:>9}\n",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99 least-most",
        "p99.9 ms",
        "answered",
        "late",
        "refused",
        "lost",
        "probes",
        "hedges",
        "ctl B/s/n"
    );
    for row in rows {
        let spread = format!("{:.0}-{:.0}", row.p99_ms_least, row.p99_ms_greatest);
        writeln!(
            text,
            "{:<16} {:>7.1} {:>8.1} {:>17} {:>8.1} {:>9} {:>5} {:>8} {:>5} {:>6.2}% {:>6.2}% {:>9.0}",
            row.policy, row.p50_ms, row.p99_ms, spread, row.p999_ms, row.answered, row.late_answers,
            row.refused, row.lost, row.probe_share * 100.0, row.hedge_share * 100.0,
            row.control_bytes_per_second_per_node
        )
        .expect("a string takes all");
    }
    text
}
