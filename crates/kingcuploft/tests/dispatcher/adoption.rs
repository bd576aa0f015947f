//! Tests of a new manifest that comes into force while requests wait and calls are in flight.

use std::time::Duration;

use kingcuploft::dispatcher::ClaimResult;
use kingcuploft::manifest::routing::Route;
use kingcuploft::world::backend_server::CallEnd;
use kingcuploft::world::refusal::{Outcome, RefusalReason};

use crate::harness::{HOLD, LOOKUP, TestDispatcher, calls, refusal, released, service};

/// Failure: an operator applies a manifest while a request waits for a full backend server. The new state starts with
/// an empty queue, and the request is never answered.
#[test]
fn a_waiting_request_outlives_a_new_manifest() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    let first = harness.arrive(LOOKUP);
    let attempt = calls(&first.actions)[0].attempt;
    let second = harness.arrive(LOOKUP);
    assert!(calls(&second.actions).is_empty());
    harness.adopt(Some(service(&["one"])));
    let actions = harness.end_attempt(attempt, CallEnd::Answered { status: 200 });
    assert_eq!(calls(&actions)[0].request, second.id);
}

/// Failure: a call in flight ends shortly after an apply. The new state's count of calls starts at zero, underflows,
/// and the daemon panics.
#[test]
fn calls_in_flight_are_counted_across_a_new_manifest() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    let first = harness.arrive(LOOKUP);
    let attempt = calls(&first.actions)[0].attempt;
    harness.adopt(Some(service(&["one"])));
    let second = harness.arrive(LOOKUP);
    assert!(calls(&second.actions).is_empty(), "its one slot is taken");
    let actions = harness.end_attempt(attempt, CallEnd::Answered { status: 200 });
    assert_eq!(calls(&actions)[0].request, second.id);
}

/// Failure: two applies during a call remove a backend server and restore it. If the call's slot does not count as
/// taken from then on, the backend server gets more calls than it has slots.
#[test]
fn a_backend_server_that_left_and_came_back_keeps_its_calls() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    let first = harness.arrive(LOOKUP);
    let attempt = calls(&first.actions)[0].attempt;
    harness.adopt(Some(service(&[])));
    harness.adopt(Some(service(&["one"])));
    let second = harness.arrive(LOOKUP);
    assert!(calls(&second.actions).is_empty(), "its one slot is taken");
    let actions = harness.end_attempt(attempt, CallEnd::Answered { status: 200 });
    assert_eq!(calls(&actions)[0].request, second.id);
}

/// Failure: a generated manifest lists the backend servers in another order and lacks a rule listed before the
/// request's. Calls and requests that are tracked by index then count at another backend server or rule.
#[test]
fn calls_and_requests_keep_their_server_and_rule_when_indices_change() {
    let mut harness = TestDispatcher::new(service(&["one", "two"]));
    let first = harness.arrive(LOOKUP);
    let held = calls(&first.actions)[0].backend_server.clone();
    let attempt = calls(&first.actions)[0].attempt;
    let second = harness.arrive(LOOKUP);
    assert_eq!(calls(&second.actions).len(), 1);
    let hold = harness.arrive(HOLD);
    harness.end_claim(hold.id, ClaimResult::Held);
    let mut shifted = service(&["two", "one"]);
    shifted.rules.remove(0);
    shifted.backend_servers[0].address = "127.0.0.1:9001".parse().unwrap();
    shifted.backend_servers[1].address = "127.0.0.1:9000".parse().unwrap();
    harness.adopt(Some(shifted));
    let actions = harness.end_attempt(attempt, CallEnd::Answered { status: 200 });
    assert_eq!(calls(&actions)[0].request, hold.id);
    assert_eq!(calls(&actions)[0].backend_server, held);
    assert_eq!(&*calls(&actions)[0].route.rule().name, HOLD);
}

/// An operator removes a service from the manifest. Waiting requests are refused at once as not run, and protected ones
/// release their claims; requests in flight are still answered.
#[test]
fn a_removed_service_refuses_waiting_requests_and_answers_those_in_flight() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    let first = harness.arrive(LOOKUP);
    let attempt = calls(&first.actions)[0].attempt;
    let hold = harness.arrive(HOLD);
    harness.end_claim(hold.id, ClaimResult::Held);
    let actions = harness.adopt(None);
    let refused = refusal(&actions, hold.id).expect("refused at once");
    assert_eq!(refused.reason, RefusalReason::NoSuchService);
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert!(released(&actions, hold.id));
    let actions = harness.end_attempt(attempt, CallEnd::Answered { status: 200 });
    assert_eq!(actions.len(), 1);
    assert_eq!(harness.dispatcher.in_flight(), 0);
}

/// Failure: the caller edge routes a request under one manifest, and it reaches the dispatcher after the next one,
/// which lacks the rule. The rule's index is then out of bounds.
#[test]
fn a_request_routed_under_the_previous_manifest_is_served() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    let old = harness.service.clone().unwrap();
    let mut fewer = service(&["one"]);
    fewer.rules.truncate(1);
    harness.adopt(Some(fewer));
    let route = Route {
        service: old,
        rule: 2,
    };
    let arrived = harness.arrive_on(route, "squad", Duration::from_millis(100));
    assert_eq!(calls(&arrived.actions).len(), 1);
}
