//! `tail`: tail latency and probe cost of each selection policy, on the same work. The runs are interleaved.

use std::fmt::Write;

use kingcuploft::settings::selection::SelectionPolicy;
use kingcuploft::world::contract::Priority;
use serde::Serialize;

use super::{ExperimentError, Options, Report, real_run};
use crate::virtual_fleet::outcome::Summary;
use crate::virtual_fleet::workload::Stream;
use crate::virtual_fleet::{Deployment, Outcome, Run, ideal};

/// The figures of one policy: medians over the rounds, the least and greatest p99, and sums of the counts.
#[derive(Clone, Debug, Serialize)]
struct Row {
    policy: &'static str,
    p50_ms: f64,
    p99_ms: f64,
    p99_ms_least: f64,
    p99_ms_greatest: f64,
    p999_ms: f64,
    lookup_p50_ms: f64,
    lookup_p99_ms: f64,
    hold_p50_ms: f64,
    hold_p99_ms: f64,
    answered: u64,
    late_answers: u64,
    refused: u64,
    lost: u64,
    probe_share: f64,
    hedge_share: f64,
    control_bytes_per_second_per_node: f64,
}

/// The figures of one run: of all requests, of lookups and of protected actions.
#[derive(Clone, Debug)]
struct Summaries {
    all: Summary,
    lookups: Summary,
    holds: Summary,
}

impl Summaries {
    fn from_outcome(outcome: &Outcome) -> Self {
        Self {
            all: outcome.summary(|_| true),
            lookups: outcome.summary(|r| r.priority == Priority::Interactive),
            holds: outcome.summary(|r| r.priority == Priority::Protected),
        }
    }
}

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] if a fleet did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let mut summaries: Vec<Vec<Summaries>> = vec![Vec::new(); SelectionPolicy::ALL.len() + 1];
    let mut report = Report::default();
    for round in 0..options.rounds as u64 {
        let seed = options.seed + round;
        let run = build_run(options, seed);
        summaries[0].push(Summaries::from_outcome(&ideal::run(&run)));
        for (i, policy) in SelectionPolicy::ALL.iter().enumerate() {
            let outcome = real_run::run(
                &run,
                policy_yaml(
                    *policy,
                    run.deployment.service.policy.measuring.budget_share,
                ),
            )?;
            record_violations(&mut report, seed, *policy, &outcome);
            summaries[i + 1].push(Summaries::from_outcome(&outcome));
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

fn build_run(options: &Options, seed: u64) -> Run {
    let streams = [Stream {
        load: options.load,
        ..Stream::default()
    }];
    let deployment = Deployment::new(options.deployment.kind());
    Run::new(deployment, &streams, options.duration, seed)
}

fn policy_yaml(policy: SelectionPolicy, budget_share: f64) -> String {
    let policy = policy.label();
    format!("{{selection: {{policy: {policy}}}, measuring: {{budget_share: {budget_share}}}}}")
}

fn record_violations(report: &mut Report, seed: u64, policy: SelectionPolicy, outcome: &Outcome) {
    if outcome.duplicate_runs > 0 {
        let (policy, runs) = (policy.label(), outcome.duplicate_runs);
        let broken = format!("seed {seed}, {policy}: {runs} duplicate runs");
        report.violations.push(broken);
    }
}

fn row(policy: &'static str, summaries: &[Summaries]) -> Row {
    let by = |figure: fn(&Summaries) -> f64| {
        let mut figures: Vec<f64> = summaries.iter().map(figure).collect();
        figures.sort_by(f64::total_cmp);
        figures
    };
    let median = |figure: fn(&Summaries) -> f64| {
        let figures = by(figure);
        figures.get(figures.len() / 2).copied().unwrap_or_default()
    };
    let p99 = by(|s| s.all.p99_ms);
    let sum = |figure: fn(&Summaries) -> u64| summaries.iter().map(figure).sum();
    Row {
        policy,
        p50_ms: median(|s| s.all.p50_ms),
        p99_ms: median(|s| s.all.p99_ms),
        p99_ms_least: p99.first().copied().unwrap_or_default(),
        p99_ms_greatest: p99.last().copied().unwrap_or_default(),
        p999_ms: median(|s| s.all.p999_ms),
        lookup_p50_ms: median(|s| s.lookups.p50_ms),
        lookup_p99_ms: median(|s| s.lookups.p99_ms),
        hold_p50_ms: median(|s| s.holds.p50_ms),
        hold_p99_ms: median(|s| s.holds.p99_ms),
        answered: sum(|s| s.all.answered),
        late_answers: sum(|s| s.all.late),
        refused: sum(|s| s.all.refused.values().sum()),
        lost: sum(|s| s.all.lost),
        probe_share: median(|s| s.all.probe_share),
        hedge_share: median(|s| s.all.hedge_share),
        control_bytes_per_second_per_node: median(|s| s.all.notes_bytes_per_second_per_node),
    }
}

fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<16} {:>7} {:>8} {:>14} {:>8} {:>13} {:>13} {:>9} {:>5} {:>8} {:>5} {:>7} {:>7} {:>9}\n",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99 least-most",
        "p99.9 ms",
        "lookup 50/99",
        "hold 50/99",
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
            "{:<16} {:>7.1} {:>8.1} {:>14} {:>8.1} {:>13} {:>13} {:>9} {:>5} {:>8} {:>5} {:>6.2}% {:>6.2}% {:>9.0}",
            row.policy, row.p50_ms, row.p99_ms, spread, row.p999_ms,
            format!("{:.0}/{:.0}", row.lookup_p50_ms, row.lookup_p99_ms),
            format!("{:.0}/{:.0}", row.hold_p50_ms, row.hold_p99_ms),
            row.answered, row.late_answers,
            row.refused, row.lost, row.probe_share * 100.0, row.hedge_share * 100.0,
            row.control_bytes_per_second_per_node
        )
        .expect("a string takes all");
    }
    text
}
