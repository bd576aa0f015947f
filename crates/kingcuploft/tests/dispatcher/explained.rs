//! What an operator is told of why.

use std::time::Duration;

use kingcuploft::dispatcher::explain::{Decision, Query, SendReason};
use kingcuploft::world::backend_server::CallEnd;

use crate::harness::{LOOKUP, TestDispatcher, calls, refusal, service};

fn by_caller(caller: &str) -> Query {
    Query {
        caller: Some(caller.into()),
        ..Query::default()
    }
}

/// A manager asks why an itinerary took long. The decisions of that request are found, newest
/// first, with what they were made from, and no one else's.
#[test]
fn the_decisions_of_a_request_are_found_with_their_inputs() {
    let mut world = TestDispatcher::new(service(&["one", "two"]));
    let first = world.arrive_from("squad", LOOKUP, Duration::from_millis(1000));
    world.arrive_from("school", LOOKUP, Duration::from_millis(1000));
    let call = calls(&first.actions)[0].clone();
    world.pass(Duration::from_millis(30));
    world.end(call.attempt, CallEnd::Broken);
    let found = world
        .dispatcher
        .find_explanations(world.now, &by_caller("squad"));
    assert!(found.iter().all(|e| e.request == first.id));
    let sent = &found[found.len() - 1];
    assert_eq!((sent.ago_ms, sent.waited_ms), (30, 0));
    let Decision::Sent {
        backend_server,
        why,
        ..
    } = &sent.decided
    else {
        panic!("{sent:?}");
    };
    assert_eq!(*backend_server, call.backend_server);
    assert_eq!(*why, SendReason::Turn);
}

/// A request is refused. The record names the reason that its caller was given, and the load.
#[test]
fn a_refusal_is_explained_by_the_load_it_met() {
    let mut world = TestDispatcher::new(service(&["one"]));
    world.arrive(LOOKUP);
    let late = world.arrive_from("squad", LOOKUP, Duration::from_millis(10));
    let actions = world.pass(Duration::from_millis(10));
    let told = refusal(&actions, late.id).expect("refused at its deadline");
    let found = world.dispatcher.find_explanations(
        world.now,
        &Query {
            request: Some(late.id),
            ..Query::default()
        },
    );
    let text = serde_json::to_value(&found[0]).unwrap();
    assert_eq!(text["decided"]["refused"]["reason"], told.reason.label());
    assert_eq!(text["decided"]["refused"]["outcome"], "not_run");
    assert_eq!(text["load"]["in_flight"], 1);
    assert_eq!(text["waited_ms"], 10);
}

/// A VM is asked for millions of requests. The memory for explanations is bounded.
#[test]
fn only_the_last_decisions_are_kept() {
    let mut world = TestDispatcher::new(service(&["one"]));
    for _ in 0..5_000 {
        let arrived = world.arrive(LOOKUP);
        let attempt = calls(&arrived.actions)[0].attempt;
        world.end(attempt, CallEnd::Answered { status: 200 });
    }
    let found = world
        .dispatcher
        .find_explanations(world.now, &Query::default());
    assert_eq!(found.len(), 4096);
}
