//! The checker: compares what callers were told with what the stand-ins counted.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::record::{Record, ReportedOutcome};
use crate::callers::CallResult;

/// What the stand-ins counted.
pub trait ExecutionCounts {
    /// Returns how often the action with this idempotency key ran.
    fn executions_of_key(&self, key: &str) -> u64;

    /// Returns how often this call ran.
    fn executions_of_call(&self, call: usize) -> u64;
}

/// The promises that a run broke, each as a count.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Runs of a protected action after its first.
    pub duplicate_runs: u64,
    /// Calls told `not_run` that ran.
    pub false_not_run: u64,
    /// Calls told `ran`, or answered with success, whose action never ran.
    pub false_ran: u64,
    /// Answers that are another request's.
    pub wrong_answers: u64,
    /// Answers of which a part is missing.
    pub partial_answers: u64,
}

/// What was counted besides the promises.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallCounts {
    /// Calls made.
    pub calls: u64,
    /// Protected actions, by their keys.
    pub actions: u64,
    /// Calls answered.
    pub answered: u64,
    /// Protected calls whose caller was told neither that it ran nor that it did not.
    pub unknown: u64,
    /// The same as a share of the protected calls.
    pub unknown_share: f64,
    /// Calls told `not_run` though an earlier call with the same key had run.
    pub not_run_beside_a_run: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
}

/// Checks every record.
pub fn check(records: &[Record], runs: &dyn ExecutionCounts) -> (Violations, CallCounts) {
    let mut broken = Violations::default();
    let mut counted = CallCounts::default();
    let mut by_key: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records {
        counted.calls += 1;
        check_answer(record, &mut broken, &mut counted);
        if let CallResult::Refused { reason, .. } = &record.received {
            *counted.refused.entry(reason.clone()).or_default() += 1;
        }
        if let Some(key) = &record.key {
            by_key.entry(key).or_default().push(record);
        }
    }
    let mut protected = 0;
    for (key, calls) in by_key {
        counted.actions += 1;
        protected += calls.len() as u64;
        check_action(key, &calls, runs, &mut broken, &mut counted);
    }
    counted.unknown_share = counted.unknown as f64 / protected.max(1) as f64;
    (broken, counted)
}

/// Checks that an answer is whole and the call's own.
fn check_answer(record: &Record, broken: &mut Violations, counted: &mut CallCounts) {
    let CallResult::Answer { status: 200, body } = &record.received else {
        return;
    };
    counted.answered += 1;
    if body == record.expected.as_bytes() {
        return;
    }
    match record.expected.as_bytes().starts_with(body) {
        true => broken.partial_answers += 1,
        false => broken.wrong_answers += 1,
    }
}

/// Checks the calls of one protected action against its runs.
fn check_action(
    key: &str,
    calls: &[&Record],
    runs: &dyn ExecutionCounts,
    broken: &mut Violations,
    counted: &mut CallCounts,
) {
    let ran = runs.executions_of_key(key);
    broken.duplicate_runs += ran.saturating_sub(1);
    let all_not_run = calls
        .iter()
        .all(|call| call.reported_outcome() == ReportedOutcome::NotRun);
    if all_not_run && ran > 0 {
        broken.false_not_run += 1;
    }
    for call in calls {
        match call.reported_outcome() {
            ReportedOutcome::NotRun if runs.executions_of_call(call.call_id) > 0 => {
                broken.false_not_run += 1
            }
            ReportedOutcome::NotRun if ran > 0 => counted.not_run_beside_a_run += 1,
            ReportedOutcome::NotRun => {}
            ReportedOutcome::Ran => broken.false_ran += u64::from(ran == 0),
            ReportedOutcome::Answered => broken.false_ran += u64::from(ran == 0 && succeeded(call)),
            ReportedOutcome::Unknown => counted.unknown += 1,
        }
    }
}

fn succeeded(call: &Record) -> bool {
    matches!(call.received, CallResult::Answer { status: 200, .. })
}

/// One reading of a daemon's generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GenerationSample {
    /// The daemon, by its life.
    pub daemon_id: usize,
    /// When, from the start of the run.
    pub at: Duration,
    /// The generation in force.
    pub generation: u64,
}

/// Counts the readings in which a daemon's generation is below an earlier one of its own.
pub fn count_reverts(readings: &[GenerationSample]) -> u64 {
    let mut greatest: BTreeMap<usize, u64> = BTreeMap::new();
    let mut reverts = 0;
    for reading in readings {
        let greatest = greatest.entry(reading.daemon_id).or_default();
        reverts += u64::from(reading.generation < *greatest);
        *greatest = reading.generation.max(*greatest);
    }
    reverts
}

/// A time during which a daemon should follow.
#[derive(Clone, Copy, Debug)]
pub struct ActivePeriod {
    /// The daemon, by its life.
    pub daemon_id: usize,
    /// Since when it was ready and not paused.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// Returns the longest time from the acceptance of a generation, or from when a daemon was awake,
/// until that daemon had it in force; one that never had it counts until it slept or ended.
pub fn longest_until_in_force(
    accepted: &[(u64, Duration)],
    awake: &[ActivePeriod],
    readings: &[GenerationSample],
) -> Duration {
    let mut longest = Duration::ZERO;
    for &(generation, at) in accepted {
        for span in awake.iter().filter(|span| span.until > at) {
            let since = at.max(span.from);
            let seen = readings.iter().find(|reading| {
                reading.daemon_id == span.daemon_id
                    && reading.at >= since
                    && reading.generation >= generation
            });
            let until = seen.map_or(span.until, |reading| reading.at.min(span.until));
            longest = longest.max(until.saturating_sub(since));
        }
    }
    longest
}
