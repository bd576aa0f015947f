//! Tests of the decision log that explains to operators why requests were sent or refused.

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

/// An operator asks why a caller's request took long. The query returns the decisions on that caller's requests, newest
/// first, with their inputs, and no others.
#[test]
fn the_decisions_of_a_request_are_found_with_their_inputs() {
    let mut harness = TestDispatcher::new(service(&["one", "two"]));
    let first = harness.arrive_from("squad", LOOKUP, Duration::from_millis(1000));
    harness.arrive_from("school", LOOKUP, Duration::from_millis(1000));
    let call = calls(&first.actions)[0].clone();
    harness.advance(Duration::from_millis(30));
    harness.end_attempt(call.attempt, CallEnd::Broken);
    let found = harness
        .dispatcher
        .find_explanations(harness.now, &by_caller("squad"));
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

/// The record of a refusal holds the reason given to the caller and the load at that time.
#[test]
fn a_refusal_is_explained_with_its_reason_and_the_load() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    harness.arrive(LOOKUP);
    let late = harness.arrive_from("squad", LOOKUP, Duration::from_millis(10));
    let actions = harness.advance(Duration::from_millis(10));
    let refused = refusal(&actions, late.id).expect("refused at its deadline");
    let found = harness.dispatcher.find_explanations(
        harness.now,
        &Query {
            request: Some(late.id),
            ..Query::default()
        },
    );
    let text = serde_json::to_value(&found[0]).unwrap();
    assert_eq!(text["decided"]["refused"]["reason"], refused.reason.label());
    assert_eq!(text["decided"]["refused"]["outcome"], "not_run");
    assert_eq!(text["load"]["in_flight"], 1);
    assert_eq!(text["waited_ms"], 10);
}

/// Failure: the decision log grows with every request until the VM runs out of memory.
#[test]
fn only_the_last_decisions_are_kept() {
    let mut harness = TestDispatcher::new(service(&["one"]));
    for _ in 0..5_000 {
        let arrived = harness.arrive(LOOKUP);
        let attempt = calls(&arrived.actions)[0].attempt;
        harness.end_attempt(attempt, CallEnd::Answered { status: 200 });
    }
    let found = harness
        .dispatcher
        .find_explanations(harness.now, &Query::default());
    assert_eq!(found.len(), 4096);
}
