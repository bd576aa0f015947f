//! Tests the checker of the experiment `promises` with traces that violate each guarantee once: at most one run of an
//! action, truthful outcomes, the right and whole answer, and manifest generations that only increase.

use std::time::Duration;

use kingcuploft_standins::callers::CallResult;
use kingcuploft_standins::experiments::promises;
use kingcuploft_standins::experiments::promises::check::{
    ActivePeriod, ExecutionCounts, GenerationSample, Violations, check, count_reverts,
    longest_until_in_force,
};
use kingcuploft_standins::experiments::promises::record::Record;
use kingcuploft_standins::experiments::promises::run::Protection;

/// Fixed numbers of executions: of the one action, and of each call.
struct FixedCounts {
    of_key: u64,
    of_calls: Vec<u64>,
}

impl ExecutionCounts for FixedCounts {
    fn executions_of_key(&self, _key: &str) -> u64 {
        self.of_key
    }

    fn executions_of_call(&self, call: usize) -> u64 {
        self.of_calls.get(call).copied().unwrap_or_default()
    }
}

fn action(call: usize, received: CallResult) -> Record {
    Record {
        call_id: call,
        key: Some("squad-7".into()),
        expected: "POST /holds\n".into(),
        daemon_id: 1,
        sent_at: Duration::ZERO,
        ended_at: Duration::from_millis(5),
        received,
    }
}

fn answer(body: &'static str) -> CallResult {
    CallResult::Answer {
        status: 200,
        body: body.into(),
    }
}

fn refused(outcome: &str) -> CallResult {
    CallResult::Refused {
        status: 503,
        reason: "any".into(),
        outcome: outcome.into(),
    }
}

fn violations_in(records: &[Record], key: u64, calls: &[u64]) -> Violations {
    let counts = FixedCounts {
        of_key: key,
        of_calls: calls.to_vec(),
    };
    check(records, &counts).0
}

#[test]
fn a_replayed_answer_and_a_truthful_refusal_are_no_violations() {
    let calls = [
        action(0, answer("POST /holds\n")),
        action(1, answer("POST /holds\n")),
        action(2, refused("unknown")),
        action(3, refused("not_run")),
    ];
    assert_eq!(violations_in(&calls, 1, &[1]), Violations::default());
}

#[test]
fn a_second_run_is_found() {
    let violations = violations_in(&[action(0, answer("POST /holds\n"))], 2, &[2]);
    assert_eq!(violations.duplicate_runs, 1);
}

#[test]
fn a_call_answered_not_run_that_ran_is_found() {
    let calls = [
        action(0, refused("not_run")),
        action(1, answer("POST /holds\n")),
    ];
    assert_eq!(violations_in(&calls, 1, &[1, 0]).false_not_run, 1);
}

#[test]
fn an_action_that_ran_though_every_call_was_answered_not_run_is_found() {
    assert_eq!(
        violations_in(&[action(0, refused("not_run"))], 1, &[]).false_not_run,
        1
    );
}

#[test]
fn a_success_without_a_run_is_found() {
    assert_eq!(
        violations_in(&[action(0, answer("POST /holds\n"))], 0, &[]).false_ran,
        1
    );
    assert_eq!(
        violations_in(&[action(0, refused("ran"))], 0, &[]).false_ran,
        1
    );
}

#[test]
fn a_crossed_and_a_cut_answer_are_found() {
    let crossed = violations_in(&[action(0, answer("GET /another\n"))], 1, &[1]);
    assert_eq!((crossed.wrong_answers, crossed.partial_answers), (1, 0));
    let cut = violations_in(&[action(0, answer("POST /ho"))], 1, &[1]);
    assert_eq!((cut.wrong_answers, cut.partial_answers), (0, 1));
}

fn sample(daemon_id: usize, ms: u64, generation: u64) -> GenerationSample {
    GenerationSample {
        daemon_id,
        at: Duration::from_millis(ms),
        generation,
    }
}

#[test]
fn a_daemon_that_reverts_to_an_older_generation_is_found() {
    let increasing = [sample(1, 0, 4), sample(2, 1, 3), sample(1, 2, 5)];
    assert_eq!(count_reverts(&increasing), 0);
    let decreasing = [sample(1, 0, 4), sample(1, 1, 3), sample(1, 2, 4)];
    assert_eq!(count_reverts(&decreasing), 1);
}

#[test]
fn the_last_daemon_to_have_a_generation_in_force_sets_the_time() {
    let accepted = [(5, Duration::from_millis(100))];
    let active = |daemon_id, from, until| ActivePeriod {
        daemon_id,
        from: Duration::from_millis(from),
        until: Duration::from_millis(until),
    };
    let samples = [sample(1, 130, 5), sample(2, 150, 4), sample(2, 900, 5)];
    let periods = [active(1, 0, 2000), active(2, 0, 2000)];
    let longest = longest_until_in_force(&accepted, &periods, &samples);
    assert_eq!(longest, Duration::from_millis(800));
    let never = longest_until_in_force(&accepted, &[active(3, 0, 2000)], &samples);
    assert_eq!(never, Duration::from_millis(1900));
}

/// A caller retries a hold through another VM after a broken answer. Its idempotency key does not reach the VMs, so
/// nothing is claimed and the hold runs twice.
#[test]
fn without_claims_the_experiment_finds_duplicate_runs() {
    let figures = promises::run_seed(7, Duration::from_secs(2), Protection::NoClaims).unwrap();
    assert!(figures.violations.duplicate_runs > 0, "{figures:?}");
}

/// The connection breaks while the answer to a hold is sent. The rule wrongly allows retries, so the VM sends the hold
/// to another backend server at once, and it runs there too.
#[test]
fn with_sent_requests_retried_the_experiment_finds_duplicate_runs() {
    let figures = promises::run_seed(7, Duration::from_secs(2), Protection::RetrySent).unwrap();
    assert!(figures.violations.duplicate_runs > 0, "{figures:?}");
}

/// The same faults with the right rule: nothing runs twice, and every answer states the true outcome.
#[test]
fn with_full_protection_the_experiment_finds_no_violation() {
    let figures = promises::run_seed(7, Duration::from_secs(2), Protection::Full).unwrap();
    assert_eq!(figures.violations, Violations::default(), "{figures:?}");
    assert_eq!(figures.manifest_reverts, 0);
    assert!(figures.call_counts.actions > 50, "{figures:?}");
}
