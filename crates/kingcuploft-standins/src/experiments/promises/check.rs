//! The checker: compares what callers were told with the executions that the stand-ins counted.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::record::{Record, ReportedOutcome};
use crate::callers::CallResult;

/// How often the stand-ins executed each action and call.
pub trait ExecutionCounts {
    /// Returns how often the action with this idempotency key was executed.
    fn executions_of_key(&self, key: &str) -> u64;

    /// Returns how often this call was executed.
    fn executions_of_call(&self, call: usize) -> u64;
}

/// How often a run violated each guarantee about answers and actions.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Executions of a protected action after its first.
    pub duplicate_runs: u64,
    /// Calls that were told `not_run` although they ran.
    pub false_not_run: u64,
    /// Calls that were told `ran`, or answered with success, although their action never ran.
    pub false_ran: u64,
    /// Answers that belong to another request.
    pub wrong_answers: u64,
    /// Answers that were truncated.
    pub partial_answers: u64,
}

/// The counts of a run besides the violations.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallCounts {
    /// Calls made.
    pub calls: u64,
    /// Protected actions, one for each idempotency key.
    pub actions: u64,
    /// Calls answered.
    pub answered: u64,
    /// Protected calls whose caller was told neither that the action ran nor that it did not.
    pub unknown: u64,
    /// `unknown` as a share of the protected calls.
    pub unknown_share: f64,
    /// Calls that were told `not_run` although another call with the same key had run.
    pub not_run_beside_a_run: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<String, u64>,
}

/// Checks every record against the execution counts.
pub fn check(records: &[Record], executions: &dyn ExecutionCounts) -> (Violations, CallCounts) {
    let mut violations = Violations::default();
    let mut counts = CallCounts::default();
    let mut by_key: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records {
        counts.calls += 1;
        check_answer(record, &mut violations, &mut counts);
        if let CallResult::Refused { reason, .. } = &record.received {
            *counts.refused.entry(reason.clone()).or_default() += 1;
        }
        if let Some(key) = &record.key {
            by_key.entry(key).or_default().push(record);
        }
    }
    let mut protected = 0;
    for (key, calls) in by_key {
        counts.actions += 1;
        protected += calls.len() as u64;
        check_action(key, &calls, executions, &mut violations, &mut counts);
    }
    counts.unknown_share = counts.unknown as f64 / protected.max(1) as f64;
    (violations, counts)
}

/// Checks that an answer is complete and belongs to the call.
fn check_answer(record: &Record, violations: &mut Violations, counts: &mut CallCounts) {
    let CallResult::Answer { status: 200, body } = &record.received else {
        return;
    };
    counts.answered += 1;
    if body == record.expected.as_bytes() {
        return;
    }
    match record.expected.as_bytes().starts_with(body) {
        true => violations.partial_answers += 1,
        false => violations.wrong_answers += 1,
    }
}

/// Checks the calls of one protected action against its executions.
fn check_action(
    key: &str,
    calls: &[&Record],
    executions: &dyn ExecutionCounts,
    violations: &mut Violations,
    counts: &mut CallCounts,
) {
    let execution_count = executions.executions_of_key(key);
    violations.duplicate_runs += execution_count.saturating_sub(1);
    let all_not_run = calls
        .iter()
        .all(|call| call.reported_outcome() == ReportedOutcome::NotRun);
    if all_not_run && execution_count > 0 {
        violations.false_not_run += 1;
    }
    for call in calls {
        match call.reported_outcome() {
            ReportedOutcome::NotRun if executions.executions_of_call(call.call_id) > 0 => {
                violations.false_not_run += 1
            }
            ReportedOutcome::NotRun if execution_count > 0 => counts.not_run_beside_a_run += 1,
            ReportedOutcome::NotRun => {}
            ReportedOutcome::Ran => violations.false_ran += u64::from(execution_count == 0),
            ReportedOutcome::Answered => {
                violations.false_ran += u64::from(execution_count == 0 && succeeded(call))
            }
            ReportedOutcome::Unknown => counts.unknown += 1,
        }
    }
}

fn succeeded(call: &Record) -> bool {
    matches!(call.received, CallResult::Answer { status: 200, .. })
}

/// The generation that a daemon had in force at one time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GenerationSample {
    /// The daemon process; a replacement of the VM has another number.
    pub daemon_id: usize,
    /// When it was read, from the start of the run.
    pub at: Duration,
    /// The generation in force.
    pub generation: u64,
}

/// Counts the samples in which a daemon's generation is below an earlier one of the same daemon.
pub fn count_reverts(samples: &[GenerationSample]) -> u64 {
    let mut greatest: BTreeMap<usize, u64> = BTreeMap::new();
    let mut reverts = 0;
    for sample in samples {
        let greatest = greatest.entry(sample.daemon_id).or_default();
        reverts += u64::from(sample.generation < *greatest);
        *greatest = sample.generation.max(*greatest);
    }
    reverts
}

/// A period in which a daemon is ready and not paused, so that it must adopt new manifests.
#[derive(Clone, Copy, Debug)]
pub struct ActivePeriod {
    /// The daemon process; a replacement of the VM has another number.
    pub daemon_id: usize,
    /// The start, from the start of the run.
    pub from: Duration,
    /// The end, from the start of the run.
    pub until: Duration,
}

/// Returns the longest time from the acceptance of a generation, or from the later start of an active period, until
/// that daemon had it in force. A daemon that never had it in force counts until the end of its active period.
pub fn longest_until_in_force(
    accepted: &[(u64, Duration)],
    active_periods: &[ActivePeriod],
    samples: &[GenerationSample],
) -> Duration {
    let mut longest = Duration::ZERO;
    for &(generation, at) in accepted {
        for span in active_periods.iter().filter(|span| span.until > at) {
            let since = at.max(span.from);
            let seen = samples.iter().find(|sample| {
                sample.daemon_id == span.daemon_id
                    && sample.at >= since
                    && sample.generation >= generation
            });
            let until = seen.map_or(span.until, |sample| sample.at.min(span.until));
            longest = longest.max(until.saturating_sub(since));
        }
    }
    longest
}
