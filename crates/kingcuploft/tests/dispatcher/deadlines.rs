//! Every request ends by its deadline, whatever the other duties do.

use std::time::Duration;

use kingcuploft::dispatcher::{Action, ClaimResult, Event};
use kingcuploft::world::backend_server::CallEnd;
use kingcuploft::world::refusal::{Outcome, RefusalReason};

use crate::harness::{HOLD, LOOKUP, TestDispatcher, calls, refusal, released, service};

/// A worker hangs in a call. Its caller hears nothing and the slot is lost for good: only the
/// worker's report ended a request.
#[test]
fn an_attempt_that_never_reports_ends_at_the_deadline_and_frees_its_slot() {
    let mut world = TestDispatcher::new(service(&["one"]));
    let first = world.arrive(LOOKUP);
    let attempt = calls(&first.actions)[0].attempt;
    assert_eq!(
        world.dispatcher.next_tick(),
        Some(world.now + Duration::from_millis(1000))
    );
    let actions = world.pass(Duration::from_millis(1000));
    let told = refusal(&actions, first.id).expect("told at the deadline");
    assert_eq!(told.reason, RefusalReason::DeadlinePassed);
    assert_eq!(told.outcome, Outcome::Unknown);
    let cancelled = |action: &Action| matches!(action, Action::Cancel(id) if *id == attempt);
    assert!(actions.iter().any(cancelled));
    world.pass(Duration::from_secs(2));
    let second = world.arrive(LOOKUP);
    assert_eq!(calls(&second.actions).len(), 1, "the slot is free again");
    let late = world.end(attempt, CallEnd::Answered { status: 200 });
    assert!(late.is_empty(), "the late end changes nothing");
}

/// The store is slow. A hold's deadline passes while its claim is asked for: the caller is told
/// that nothing ran, and the claim that comes after all is given back.
#[test]
fn a_claim_that_comes_after_the_deadline_is_released() {
    let mut world = TestDispatcher::new(service(&["one"]));
    let hold = world.arrive(HOLD);
    let actions = world.pass(Duration::from_millis(1000));
    let told = refusal(&actions, hold.id).expect("told at the deadline");
    assert_eq!(told.outcome, Outcome::NotRun);
    let actions = world.claimed(hold.id, ClaimResult::Held);
    assert!(released(&actions, hold.id));
    assert!(calls(&actions).is_empty());
}

/// A caller leaves while its hold is being claimed. The claim comes and must not stay: the
/// caller's next try would be told "in progress" until the window ends.
#[test]
fn a_claim_for_a_caller_who_left_is_released() {
    let mut world = TestDispatcher::new(service(&["one"]));
    let hold = world.arrive(HOLD);
    world.event(Event::CallerDisconnected(hold.id));
    let actions = world.claimed(hold.id, ClaimResult::Held);
    assert!(released(&actions, hold.id));
    assert!(calls(&actions).is_empty());
}

/// A hold is in flight at its deadline. Its caller is told "unknown"; the answer that arrives a
/// little later is still recorded, so that the caller's next try gets it.
#[test]
fn a_protected_answer_after_the_deadline_is_recorded() {
    let mut world = TestDispatcher::new(service(&["one"]));
    let hold = world.arrive(HOLD);
    let actions = world.claimed(hold.id, ClaimResult::Held);
    let attempt = calls(&actions)[0].attempt;
    let actions = world.pass(Duration::from_millis(1000));
    assert_eq!(
        refusal(&actions, hold.id).unwrap().outcome,
        Outcome::Unknown
    );
    assert!(!released(&actions, hold.id));
    let actions = world.end(attempt, CallEnd::Answered { status: 200 });
    let recorded =
        |action: &Action| matches!(action, Action::Acknowledge(id, Some(_)) if *id == hold.id);
    assert!(actions.iter().any(recorded));
    let answered = |action: &Action| matches!(action, Action::Answer(..) | Action::Refuse(..));
    assert!(!actions.iter().any(answered), "its caller was told already");
}

/// A lookup's first answer was cut; it waits for its second try when the deadline passes. The
/// first may have run, so the caller must not be told that nothing ran.
#[test]
fn a_lookup_that_was_sent_once_is_not_called_not_run() {
    let mut world = TestDispatcher::new(service(&["one", "two"]));
    let first = world.arrive(LOOKUP);
    let second = world.arrive(LOOKUP);
    assert_eq!(calls(&second.actions).len(), 1);
    let third = world.arrive(LOOKUP);
    assert!(calls(&third.actions).is_empty());
    world.end(calls(&first.actions)[0].attempt, CallEnd::Broken);
    let actions = world.pass(Duration::from_millis(1000));
    let told = refusal(&actions, first.id).expect("told at the deadline");
    assert_eq!(told.outcome, Outcome::Unknown);
}
