//! Tests that every request ends by its deadline, also when workers hang or the store is slow.

use std::time::Duration;

use kingcuploft::dispatcher::{Action, ClaimResult, Event};
use kingcuploft::world::backend_server::CallEnd;
use kingcuploft::world::refusal::{Outcome, RefusalReason};

use crate::harness::{HOLD, LOOKUP, TestDispatcher, calls, refusal, released, service};

/// Failure: a worker hangs in a call. If only the worker's report ends a request, its caller gets no answer and the
/// slot is never freed.
#[test]
fn an_attempt_that_never_reports_ends_at_the_deadline_and_frees_its_slot() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    let first = harness.arrive(LOOKUP);
    let attempt = calls(&first.actions)[0].attempt;
    assert_eq!(
        harness.dispatcher.next_tick(),
        Some(harness.now + Duration::from_millis(1000))
    );
    let actions = harness.advance(Duration::from_millis(1000));
    let refused = refusal(&actions, first.id).expect("refused at the deadline");
    assert_eq!(refused.reason, RefusalReason::DeadlinePassed);
    assert_eq!(refused.outcome, Outcome::Unknown);
    let cancelled = |action: &Action| matches!(action, Action::Cancel(id) if *id == attempt);
    assert!(actions.iter().any(cancelled));
    harness.advance(Duration::from_secs(2));
    let second = harness.arrive(LOOKUP);
    assert_eq!(calls(&second.actions).len(), 1, "the slot is free again");
    let late = harness.end_attempt(attempt, CallEnd::Answered { status: 200 });
    assert!(late.is_empty(), "the late end changes nothing");
}

/// The store is slow, and a hold's deadline passes before its claim is answered. The caller is told that the hold did
/// not run, and the late claim is released.
#[test]
fn a_claim_that_comes_after_the_deadline_is_released() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    let hold = harness.arrive(HOLD);
    let actions = harness.advance(Duration::from_millis(1000));
    let refused = refusal(&actions, hold.id).expect("refused at the deadline");
    assert_eq!(refused.outcome, Outcome::NotRun);
    let actions = harness.end_claim(hold.id, ClaimResult::Held);
    assert!(released(&actions, hold.id));
    assert!(calls(&actions).is_empty());
}

/// Failure: a caller disconnects while its hold is being claimed. If the claim is kept, the caller's next retry is
/// refused as "in progress" until the window of the key ends.
#[test]
fn a_claim_for_a_disconnected_caller_is_released() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    let hold = harness.arrive(HOLD);
    harness.send(Event::CallerDisconnected(hold.id));
    let actions = harness.end_claim(hold.id, ClaimResult::Held);
    assert!(released(&actions, hold.id));
    assert!(calls(&actions).is_empty());
}

/// A hold is in flight at its deadline, and its caller is refused with the outcome "unknown". The answer that arrives
/// later is still recorded, so that the caller's next retry gets it.
#[test]
fn a_protected_answer_after_the_deadline_is_recorded() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    let hold = harness.arrive(HOLD);
    let actions = harness.end_claim(hold.id, ClaimResult::Held);
    let attempt = calls(&actions)[0].attempt;
    let actions = harness.advance(Duration::from_millis(1000));
    assert_eq!(
        refusal(&actions, hold.id).unwrap().outcome,
        Outcome::Unknown
    );
    assert!(!released(&actions, hold.id));
    let actions = harness.end_attempt(attempt, CallEnd::Answered { status: 200 });
    let recorded =
        |action: &Action| matches!(action, Action::Acknowledge(id, Some(_)) if *id == hold.id);
    assert!(actions.iter().any(recorded));
    let answered = |action: &Action| matches!(action, Action::Answer(..) | Action::Refuse(..));
    assert!(
        !actions.iter().any(answered),
        "its caller was answered already"
    );
}

/// Failure: the answer of a lookup's first attempt is cut off, and the deadline passes while the lookup waits for its
/// retry. The first attempt may have run, so the refusal must not say that the lookup did not run.
#[test]
fn a_lookup_that_may_have_run_is_not_refused_as_not_run() {
    let mut harness = TestDispatcher::new(service(&["one", "two"]));
    let first = harness.arrive(LOOKUP);
    let second = harness.arrive(LOOKUP);
    assert_eq!(calls(&second.actions).len(), 1);
    let third = harness.arrive(LOOKUP);
    assert!(calls(&third.actions).is_empty());
    harness.end_attempt(calls(&first.actions)[0].attempt, CallEnd::Broken);
    let actions = harness.advance(Duration::from_millis(1000));
    let refused = refusal(&actions, first.id).expect("refused at the deadline");
    assert_eq!(refused.outcome, Outcome::Unknown);
}
