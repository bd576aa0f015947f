//! A manifest is accepted while requests wait and calls are in flight.

use std::time::Duration;

use kingcuploft::dispatcher::ClaimResult;
use kingcuploft::manifest::routing::Route;
use kingcuploft::world::backend_server::CallEnd;
use kingcuploft::world::refusal::{Outcome, RefusalReason};

use crate::harness::{HOLD, LOOKUP, TestDispatcher, calls, refusal, released, service};

/// A caller waits behind a full backend server when an operator applies a manifest. It never
/// hears again: the new manifest's state began with an empty queue.
#[test]
fn a_waiting_request_outlives_a_new_manifest() {
    let mut world = TestDispatcher::new(service(&["one"]));
    let first = world.arrive(LOOKUP);
    let attempt = calls(&first.actions)[0].attempt;
    let second = world.arrive(LOOKUP);
    assert!(calls(&second.actions).is_empty());
    world.adopt(Some(service(&["one"])));
    let actions = world.end(attempt, CallEnd::Answered { status: 200 });
    assert_eq!(calls(&actions)[0].request, second.id);
}

/// A daemon dies on an overflow some milliseconds after an apply: the call in flight ends, and
/// the new state, which counts from zero, subtracts one.
#[test]
fn calls_in_flight_are_counted_across_a_new_manifest() {
    let mut world = TestDispatcher::new(service(&["one"]));
    let first = world.arrive(LOOKUP);
    let attempt = calls(&first.actions)[0].attempt;
    world.adopt(Some(service(&["one"])));
    let second = world.arrive(LOOKUP);
    assert!(calls(&second.actions).is_empty(), "its one slot is taken");
    let actions = world.end(attempt, CallEnd::Answered { status: 200 });
    assert_eq!(calls(&actions)[0].request, second.id);
}

/// Two applies within a call's life take a backend server out and put it back. The call ends
/// then: its slot must be counted from the moment that the backend server is back.
#[test]
fn a_backend_server_that_left_and_came_back_keeps_its_calls() {
    let mut world = TestDispatcher::new(service(&["one"]));
    let first = world.arrive(LOOKUP);
    let attempt = calls(&first.actions)[0].attempt;
    world.adopt(Some(service(&[])));
    world.adopt(Some(service(&["one"])));
    let second = world.arrive(LOOKUP);
    assert!(calls(&second.actions).is_empty(), "its one slot is taken");
    let actions = world.end(attempt, CallEnd::Answered { status: 200 });
    assert_eq!(calls(&actions)[0].request, second.id);
}

/// The order of backend servers changes in the generated manifest, and a rule before the
/// caller's vanishes. The call in flight still ends at its own backend server, and the waiting
/// request is still one of the rule under which it came.
#[test]
fn indices_that_shift_do_not_shift_calls_or_rules() {
    let mut world = TestDispatcher::new(service(&["one", "two"]));
    let first = world.arrive(LOOKUP);
    let held = calls(&first.actions)[0].backend_server.clone();
    let attempt = calls(&first.actions)[0].attempt;
    let second = world.arrive(LOOKUP);
    assert_eq!(calls(&second.actions).len(), 1);
    let hold = world.arrive(HOLD);
    world.claimed(hold.id, ClaimResult::Held);
    let mut shifted = service(&["two", "one"]);
    shifted.rules.remove(0);
    shifted.backend_servers[0].address = "127.0.0.1:9001".parse().unwrap();
    shifted.backend_servers[1].address = "127.0.0.1:9000".parse().unwrap();
    world.adopt(Some(shifted));
    let actions = world.end(attempt, CallEnd::Answered { status: 200 });
    assert_eq!(calls(&actions)[0].request, hold.id);
    assert_eq!(calls(&actions)[0].backend_server, held);
    assert_eq!(&*calls(&actions)[0].route.rule().name, HOLD);
}

/// An operator takes a service out of the manifest. Who waits is told at once that nothing ran,
/// and a protected request gives its claim back; what is in flight still gets its answer.
#[test]
fn a_service_that_is_gone_refuses_who_waits_and_answers_who_is_in_flight() {
    let mut world = TestDispatcher::new(service(&["one"]));
    let first = world.arrive(LOOKUP);
    let attempt = calls(&first.actions)[0].attempt;
    let hold = world.arrive(HOLD);
    world.claimed(hold.id, ClaimResult::Held);
    let actions = world.adopt(None);
    let told = refusal(&actions, hold.id).expect("told at once");
    assert_eq!(told.reason, RefusalReason::NoSuchService);
    assert_eq!(told.outcome, Outcome::NotRun);
    assert!(released(&actions, hold.id));
    let actions = world.end(attempt, CallEnd::Answered { status: 200 });
    assert_eq!(actions.len(), 1);
    assert_eq!(world.dispatcher.in_flight(), 0);
}

/// A request is routed by the caller edge under one manifest and reaches the dispatcher just
/// after the next, which has no such rule any more. It is served as routed and no index fails.
#[test]
fn a_request_routed_under_the_manifest_before_is_served() {
    let mut world = TestDispatcher::new(service(&["one"]));
    let old = world.service.clone().unwrap();
    let mut fewer = service(&["one"]);
    fewer.rules.truncate(1);
    world.adopt(Some(fewer));
    let route = Route {
        service: old,
        rule: 2,
    };
    let arrived = world.arrive_on(route, "squad", Duration::from_millis(100));
    assert_eq!(calls(&arrived.actions).len(), 1);
}
