//! Tests of hedged requests: second attempts at lookups in flight.

use std::time::Duration;

use kingcuploft::decisions::hedge::HedgeStep;
use kingcuploft::dispatcher::{Action, ClaimResult};
use kingcuploft::world::backend_server::CallEnd;
use kingcuploft::world::ids::AttemptId;

use crate::harness::{HOLD, LOOKUP, TestDispatcher, calls, service};

const OK: CallEnd = CallEnd::Answered { status: 200 };

/// Returns a harness that hedges late attempts and has measured 100 lookups of 5 ms each.
fn with_measured_latency() -> TestDispatcher {
    let mut service = service(&["one", "two", "three"]);
    service.policy.hedge.late = true;
    let mut harness = TestDispatcher::new(service);
    for _ in 0..100 {
        let arrived = harness.arrive(LOOKUP);
        let attempt = calls(&arrived.actions)[0].attempt;
        harness.advance(Duration::from_millis(1));
        harness.end_attempt(attempt, OK);
    }
    harness
}

/// Advances the clock in steps of 1 ms and returns the attempts that were sent.
fn calls_within(harness: &mut TestDispatcher, ms: u64) -> Vec<AttemptId> {
    let mut attempts = Vec::new();
    for _ in 0..ms {
        let actions = harness.advance(Duration::from_millis(1));
        attempts.extend(calls(&actions).iter().map(|call| call.attempt));
    }
    attempts
}

fn hedge_steps(actions: &[Action]) -> Vec<HedgeStep> {
    let steps = actions.iter().filter_map(|action| match action {
        Action::CountHedge(_, step) => Some(*step),
        _ => None,
    });
    steps.collect()
}

/// A backend server stalls during a lookup. The lookup is also sent to another one, whose answer is forwarded once, and
/// the first attempt is cancelled.
#[test]
fn a_slow_lookup_is_hedged_once_and_the_losing_attempt_cancelled() {
    let mut harness = with_measured_latency();
    let lookup = harness.arrive(LOOKUP);
    let first = calls(&lookup.actions)[0].attempt;
    let hedges = calls_within(&mut harness, 100);
    assert_eq!(hedges.len(), 1);
    let actions = harness.end_attempt(hedges[0], OK);
    assert_eq!(hedge_steps(&actions), [HedgeStep::Won]);
    let cancelled = |action: &Action| matches!(action, Action::Cancel(id) if *id == first);
    assert!(actions.iter().any(cancelled));
    let late = harness.end_attempt(first, CallEnd::Cancelled);
    assert!(late.is_empty(), "{late:?}");
}

/// The first attempt answers before its hedge, and the hedge is cancelled.
#[test]
fn a_hedge_that_loses_is_cancelled() {
    let mut harness = with_measured_latency();
    let lookup = harness.arrive(LOOKUP);
    let first = calls(&lookup.actions)[0].attempt;
    let hedges = calls_within(&mut harness, 100);
    let actions = harness.end_attempt(first, OK);
    assert_eq!(hedge_steps(&actions), [HedgeStep::Cancelled]);
    let cancelled = |action: &Action| matches!(action, Action::Cancel(id) if *id == hedges[0]);
    assert!(actions.iter().any(cancelled));
}

/// The first attempt breaks while its hedge is in flight: the hedge's answer is awaited, and no retry is spent.
#[test]
fn a_broken_attempt_leaves_the_answer_to_its_hedge() {
    let mut harness = with_measured_latency();
    let lookup = harness.arrive(LOOKUP);
    let first = calls(&lookup.actions)[0].attempt;
    let hedges = calls_within(&mut harness, 100);
    let actions = harness.end_attempt(first, CallEnd::Broken);
    assert!(calls(&actions).is_empty() && hedge_steps(&actions).is_empty());
    let actions = harness.end_attempt(hedges[0], OK);
    let answered = |action: &Action| matches!(action, Action::Answer(id, _) if *id == lookup.id);
    assert!(actions.iter().any(answered));
}

#[test]
fn a_hold_is_never_hedged() {
    let mut harness = with_measured_latency();
    let hold = harness.arrive(HOLD);
    let actions = harness.end_claim(hold.id, ClaimResult::Held);
    assert_eq!(calls(&actions).len(), 1);
    assert!(calls_within(&mut harness, 100).is_empty());
}

/// Failure: all slots are taken and lookups wait, and a hedge takes a slot from one of them.
#[test]
fn nothing_is_hedged_while_requests_wait() {
    let mut harness = with_measured_latency();
    harness.advance(Duration::from_millis(300));
    let lookups: Vec<_> = (0..4).map(|_| harness.arrive(LOOKUP)).collect();
    let sent: usize = lookups.iter().map(|l| calls(&l.actions).len()).sum();
    assert_eq!(sent, 3);
    assert!(calls_within(&mut harness, 100).is_empty());
}

/// Load pattern: every lookup is slow. The hedges stay within the budget of 2 % and the saved-up tokens.
#[test]
fn hedges_stay_within_their_budget() {
    let mut harness = with_measured_latency();
    let mut hedges = 0;
    for _ in 0..300 {
        let lookup = harness.arrive(LOOKUP);
        let first = calls(&lookup.actions)[0].attempt;
        let sent = calls_within(&mut harness, 20);
        hedges += sent.len();
        harness.end_attempt(first, OK);
        for hedge in sent {
            harness.end_attempt(hedge, CallEnd::Cancelled);
        }
    }
    assert!((1..=6 + 5).contains(&hedges), "{hedges} hedges of 300");
}
