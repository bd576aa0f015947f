//! Tests of what follows a failed attempt: retries, refusals and kept claims.

use kingcuploft::dispatcher::{Action, ClaimResult};
use kingcuploft::world::backend_server::CallEnd;
use kingcuploft::world::refusal::{Outcome, RefusalReason};

use crate::harness::{HOLD, LOOKUP, TestDispatcher, calls, refusal, released, service};

/// Failure: a backend server crashes during a lookup. The retry goes to the same backend server, which appears least
/// loaded, and fails again.
#[test]
fn a_retry_goes_to_another_backend_server() {
    for _ in 0..8 {
        let mut harness = TestDispatcher::new(service(&["one", "two", "three"]));
        let first = harness.arrive(LOOKUP);
        let call = calls(&first.actions)[0].clone();
        let mut actions = harness.end_attempt(call.attempt, CallEnd::Broken);
        actions.extend(harness.advance(std::time::Duration::from_millis(50)));
        let again = calls(&actions);
        assert_eq!(again.len(), 1);
        assert_ne!(again[0].backend_server, call.backend_server);
    }
}

/// Failure: every backend server refuses a hold, and its caller waits until the deadline. The hold must be refused at
/// once and its claim released.
#[test]
fn a_request_that_all_backend_servers_refuse_is_refused_at_once() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    let hold = harness.arrive(HOLD);
    let actions = harness.end_claim(hold.id, ClaimResult::Held);
    let attempt = calls(&actions)[0].attempt;
    let actions = harness.end_attempt(attempt, CallEnd::Refused);
    let refused = refusal(&actions, hold.id).expect("refused at once");
    assert_eq!(refused.reason, RefusalReason::BackendServerRefused);
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert!(released(&actions, hold.id));
}

/// Failure: the connection breaks during a hold, which may have run, and the hold runs a second time. It must not be
/// sent again, its outcome is "unknown", and its claim is kept, so that the caller's next retry does not run it.
#[test]
fn a_hold_that_may_have_been_sent_is_never_sent_again_nor_released() {
    let mut harness = TestDispatcher::new(service(&["one", "two"]));
    let hold = harness.arrive(HOLD);
    let actions = harness.end_claim(hold.id, ClaimResult::Held);
    let attempt = calls(&actions)[0].attempt;
    let actions = harness.end_attempt(attempt, CallEnd::Broken);
    assert!(calls(&actions).is_empty());
    assert_eq!(
        refusal(&actions, hold.id).unwrap().outcome,
        Outcome::Unknown
    );
    assert!(!released(&actions, hold.id));
    let kept = |action: &Action| matches!(action, Action::Acknowledge(id, None) if *id == hold.id);
    assert!(actions.iter().any(kept));
}
