//! The checker: compares what callers were told with what the stand-ins counted.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::record::{Record, Told};
use crate::callers::Received;

/// What the stand-ins counted.
pub trait Runs {
    /// Returns how often the action with this idempotency key ran.
    fn of_key(&self, key: &str) -> u64;

    /// Returns how often this call ran.
    fn of_call(&self, call: usize) -> u64;
}

/// The promises that a run broke, each as a count.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Broken {
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
pub struct Counted {
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
pub fn check(records: &[Record], runs: &dyn Runs) -> (Broken, Counted) {
    let mut broken = Broken::default();
    let mut counted = Counted::default();
    let mut by_key: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    for record in records {
        counted.calls += 1;
        check_answer(record, &mut broken, &mut counted);
        if let Received::Refused { reason, .. } = &record.received {
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
fn check_answer(record: &Record, broken: &mut Broken, counted: &mut Counted) {
    let Received::Answer { status: 200, body } = &record.received else {
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
    runs: &dyn Runs,
    broken: &mut Broken,
    counted: &mut Counted,
) {
    let ran = runs.of_key(key);
    broken.duplicate_runs += ran.saturating_sub(1);
    let all_not_run = calls.iter().all(|call| call.told() == Told::NotRun);
    if all_not_run && ran > 0 {
        broken.false_not_run += 1;
    }
    for call in calls {
        match call.told() {
            Told::NotRun if runs.of_call(call.call) > 0 => broken.false_not_run += 1,
            Told::NotRun if ran > 0 => counted.not_run_beside_a_run += 1,
            Told::NotRun => {}
            Told::Ran => broken.false_ran += u64::from(ran == 0),
            Told::Answered => broken.false_ran += u64::from(ran == 0 && succeeded(call)),
            Told::Unknown => counted.unknown += 1,
        }
    }
}

fn succeeded(call: &Record) -> bool {
    matches!(call.received, Received::Answer { status: 200, .. })
}

/// One reading of a daemon's generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reading {
    /// The daemon, by its life.
    pub life: usize,
    /// When, from the start of the run.
    pub at: Duration,
    /// The generation in force.
    pub generation: u64,
}

/// Counts the readings in which a daemon's generation is below an earlier one of its own.
pub fn reverts(readings: &[Reading]) -> u64 {
    let mut greatest: BTreeMap<usize, u64> = BTreeMap::new();
    let mut reverts = 0;
    for reading in readings {
        let greatest = greatest.entry(reading.life).or_default();
        reverts += u64::from(reading.generation < *greatest);
        *greatest = reading.generation.max(*greatest);
    }
    reverts
}

/// A time during which a daemon should follow.
#[derive(Clone, Copy, Debug)]
pub struct Awake {
    /// The daemon, by its life.
    pub life: usize,
    /// Since when it was ready and not paused.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// Returns the longest time from the acceptance of a generation, or from when a daemon was awake,
/// until that daemon had it in force; one that never had it counts until it slept or ended.
pub fn longest_until_in_force(
    accepted: &[(u64, Duration)],
    awake: &[Awake],
    readings: &[Reading],
) -> Duration {
    let mut longest = Duration::ZERO;
    for &(generation, at) in accepted {
        for span in awake.iter().filter(|span| span.until > at) {
            let since = at.max(span.from);
            let seen = readings.iter().find(|reading| {
                reading.life == span.life && reading.at >= since && reading.generation >= generation
            });
            let until = seen.map_or(span.until, |reading| reading.at.min(span.until));
            longest = longest.max(until.saturating_sub(since));
        }
    }
    longest
}
