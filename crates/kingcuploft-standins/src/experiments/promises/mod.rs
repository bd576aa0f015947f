//! `promises`: fault injection into real daemon processes, with every call checked against the executions that the
//! stand-ins counted.
//!
//! The faults are drawn from the seed. The checks cover duplicate and falsely reported executions, wrong and partial
//! answers, the time until a manifest is in force, drains and graceful shutdown.

pub mod chaos;
pub mod check;
pub mod entry_vms;
mod protected;
pub mod record;
pub mod run;
mod trace;

use std::time::Duration;

use serde::Serialize;

use self::check::{CallCounts, Violations};
use self::run::{Protection, Trace};
use super::{ExperimentError, Options, Report};

/// The time within which an accepted manifest must be in force on every active daemon.
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(5);

/// The time after its drain starts within which a backend server must stop receiving new work.
const MAX_NEW_WORK_AFTER_DRAIN: Duration = Duration::from_secs(3);

/// The figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The seed.
    pub seed: u64,
    /// The counts of calls and actions.
    #[serde(flatten)]
    pub call_counts: CallCounts,
    /// The violated guarantees about answers and actions.
    #[serde(flatten)]
    pub violations: Violations,
    /// Samples in which a daemon's generation was below an earlier one of the same daemon.
    pub manifest_reverts: u64,
    /// The longest time until an accepted manifest was in force on an active daemon.
    pub in_force_ms_max: u64,
    /// The longest time from the start of a backend server's drain to the last new work that it received.
    pub new_work_after_leave_ms_max: u64,
    /// Calls whose connection was cut by a graceful shutdown.
    pub cut_in_flight: u64,
    /// Graceful shutdowns that timed out or ended with an error.
    pub failed_stops: u64,
    /// Store writes for each protected action.
    pub store_writes_per_action: f64,
}

/// Runs the experiment, one run for each round, with consecutive seeds.
///
/// # Errors
///
/// [`ExperimentError`] if a deployment did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let mut report = Report::default();
    let mut all = Vec::new();
    for round in 0..options.rounds as u64 {
        let seed = options.seed + round;
        let trace = run::run(seed, options.duration, Protection::Full)?;
        let figures = figures(seed, &trace);
        let faults = list_violations(&figures);
        if !faults.is_empty() {
            let logs = trace.folder.keep();
            eprintln!(
                "the daemons' logs of seed {seed} are kept in {}",
                logs.display()
            );
        }
        report
            .violations
            .extend(faults.iter().map(|fault| format!("seed {seed}: {fault}")));
        report.text += &serde_json::to_string(&figures)?;
        report.text.push('\n');
        all.push(figures);
    }
    report.figures = serde_json::to_value(all)?;
    Ok(report)
}

/// Runs one seed and returns its figures.
///
/// # Errors
///
/// [`ExperimentError`] if the deployment did not start.
pub fn run_seed(
    seed: u64,
    time: Duration,
    protection: Protection,
) -> Result<Figures, ExperimentError> {
    let trace = run::run(seed, time, protection)?;
    Ok(figures(seed, &trace))
}

fn figures(seed: u64, trace: &Trace) -> Figures {
    let (broken, counted) = check::check(&trace.records, trace);
    let observations = &trace.observations;
    let in_force = check::longest_until_in_force(
        &trace.accepted_generations,
        &observations.active_periods,
        &observations.generation_samples,
    );
    let actions = counted.actions.max(1) as f64;
    Figures {
        seed,
        violations: broken,
        manifest_reverts: check::count_reverts(&observations.generation_samples),
        in_force_ms_max: in_force.as_millis() as u64,
        new_work_after_leave_ms_max: trace.new_work_after_drain.as_millis() as u64,
        cut_in_flight: run::cut_in_flight(trace),
        failed_stops: observations.failed_stops,
        store_writes_per_action: trace.store_writes as f64 / actions,
        call_counts: counted,
    }
}

/// Lists the guarantees that a run violated, each with its count or time.
pub fn list_violations(figures: &Figures) -> Vec<String> {
    let broken = &figures.violations;
    let counts = [
        ("duplicate_runs", broken.duplicate_runs),
        ("false_not_run", broken.false_not_run),
        ("false_ran", broken.false_ran),
        ("wrong_answers", broken.wrong_answers),
        ("partial_answers", broken.partial_answers),
        ("manifest_reverts", figures.manifest_reverts),
        ("cut_in_flight", figures.cut_in_flight),
        ("failed_stops", figures.failed_stops),
    ];
    let counted = counts.iter().filter(|(_, count)| *count > 0);
    let mut faults: Vec<String> = counted
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    let times = [
        (
            "in_force_ms_max",
            figures.in_force_ms_max,
            MAX_IN_FORCE_TIME,
        ),
        (
            "new_work_after_leave_ms_max",
            figures.new_work_after_leave_ms_max,
            MAX_NEW_WORK_AFTER_DRAIN,
        ),
    ];
    let late = times
        .iter()
        .filter(|(_, ms, most)| u128::from(*ms) > most.as_millis());
    faults.extend(late.map(|(name, ms, _)| format!("{name} {ms}")));
    faults
}
