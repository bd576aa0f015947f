//! What follows an attempt that failed.

use kingcuploft::dispatcher::{Action, ClaimResult};
use kingcuploft::world::backend_server::CallEnd;
use kingcuploft::world::refusal::{Outcome, RefusalReason};

use crate::harness::{HOLD, LOOKUP, TestDispatcher, calls, refusal, released, service};

/// A backend server dies. The lookup that it cut is sent again, to the very same backend server,
/// because that one looks least loaded, and fails again.
#[test]
fn a_retry_goes_to_another_backend_server() {
    for _ in 0..8 {
        let mut world = TestDispatcher::new(service(&["one", "two", "three"]));
        let first = world.arrive(LOOKUP);
        let call = calls(&first.actions)[0].clone();
        let mut actions = world.end(call.attempt, CallEnd::Broken);
        actions.extend(world.pass(std::time::Duration::from_millis(50)));
        let again = calls(&actions);
        assert_eq!(again.len(), 1);
        assert_ne!(again[0].backend_server, call.backend_server);
    }
}

/// Every backend server refuses a hold. Its caller is told so at once, with the claim released,
/// and not left waiting for its deadline.
#[test]
fn a_request_refused_by_all_is_told_at_once() {
    let mut world = TestDispatcher::new(service(&["one"]));
    let hold = world.arrive(HOLD);
    let actions = world.claimed(hold.id, ClaimResult::Held);
    let attempt = calls(&actions)[0].attempt;
    let actions = world.end(attempt, CallEnd::Refused);
    let told = refusal(&actions, hold.id).expect("told at once");
    assert_eq!(told.reason, RefusalReason::BackendServerRefused);
    assert_eq!(told.outcome, Outcome::NotRun);
    assert!(released(&actions, hold.id));
}

/// The connection dies under a hold. It may have run: it is not sent again, its caller is told
/// "unknown", and the claim stays, so that the caller's next try does not run it twice.
#[test]
fn a_hold_that_may_have_been_sent_is_never_sent_again_nor_released() {
    let mut world = TestDispatcher::new(service(&["one", "two"]));
    let hold = world.arrive(HOLD);
    let actions = world.claimed(hold.id, ClaimResult::Held);
    let attempt = calls(&actions)[0].attempt;
    let actions = world.end(attempt, CallEnd::Broken);
    assert!(calls(&actions).is_empty());
    assert_eq!(
        refusal(&actions, hold.id).unwrap().outcome,
        Outcome::Unknown
    );
    assert!(!released(&actions, hold.id));
    let kept = |action: &Action| matches!(action, Action::Acknowledge(id, None) if *id == hold.id);
    assert!(actions.iter().any(kept));
}
