//! Second attempts at lookups in flight.

use std::time::Duration;

use kingcuploft::decisions::hedge::HedgeStep;
use kingcuploft::dispatcher::{Action, ClaimResult};
use kingcuploft::world::backend_server::CallEnd;
use kingcuploft::world::ids::AttemptId;

use crate::harness::{HOLD, LOOKUP, TestDispatcher, calls, service};

const OK: CallEnd = CallEnd::Answered { status: 200 };

/// A world in which lateness is a reason, and whose hundred lookups have taken 5 ms each.
fn measured() -> TestDispatcher {
    let mut service = service(&["one", "two", "three"]);
    service.policy.hedge.late = true;
    let mut world = TestDispatcher::new(service);
    for _ in 0..100 {
        let arrived = world.arrive(LOOKUP);
        let attempt = calls(&arrived.actions)[0].attempt;
        world.pass(Duration::from_millis(1));
        world.end(attempt, OK);
    }
    world
}

/// Lets time pass in steps, as ticks do, and returns the calls that were sent.
fn calls_within(world: &mut TestDispatcher, ms: u64) -> Vec<AttemptId> {
    let mut attempts = Vec::new();
    for _ in 0..ms {
        let actions = world.pass(Duration::from_millis(1));
        attempts.extend(calls(&actions).iter().map(|call| call.attempt));
    }
    attempts
}

fn steps(actions: &[Action]) -> Vec<HedgeStep> {
    let steps = actions.iter().filter_map(|action| match action {
        Action::CountHedge(_, step) => Some(*step),
        _ => None,
    });
    steps.collect()
}

/// A backend server stalls with a lookup on it. The lookup goes to another one too, its answer is
/// passed on once, and the first attempt is cancelled.
#[test]
fn a_lookup_that_takes_long_is_hedged_once_and_the_loser_cancelled() {
    let mut world = measured();
    let lookup = world.arrive(LOOKUP);
    let first = calls(&lookup.actions)[0].attempt;
    let hedges = calls_within(&mut world, 100);
    assert_eq!(hedges.len(), 1);
    let actions = world.end(hedges[0], OK);
    assert_eq!(steps(&actions), [HedgeStep::Won]);
    let cancelled = |action: &Action| matches!(action, Action::Cancel(id) if *id == first);
    assert!(actions.iter().any(cancelled));
    let late = world.end(first, CallEnd::Cancelled);
    assert!(late.is_empty(), "{late:?}");
}

/// The first attempt answers after all. The hedge has lost and is cancelled.
#[test]
fn a_hedge_that_loses_is_cancelled() {
    let mut world = measured();
    let lookup = world.arrive(LOOKUP);
    let first = calls(&lookup.actions)[0].attempt;
    let hedges = calls_within(&mut world, 100);
    let actions = world.end(first, OK);
    assert_eq!(steps(&actions), [HedgeStep::Cancelled]);
    let cancelled = |action: &Action| matches!(action, Action::Cancel(id) if *id == hedges[0]);
    assert!(actions.iter().any(cancelled));
}

/// The first attempt breaks while the hedge is in flight: the hedge's answer is waited for, and no
/// retry is paid for.
#[test]
fn an_attempt_that_breaks_leaves_the_answer_to_its_hedge() {
    let mut world = measured();
    let lookup = world.arrive(LOOKUP);
    let first = calls(&lookup.actions)[0].attempt;
    let hedges = calls_within(&mut world, 100);
    let actions = world.end(first, CallEnd::Broken);
    assert!(calls(&actions).is_empty() && steps(&actions).is_empty());
    let actions = world.end(hedges[0], OK);
    let answered = |action: &Action| matches!(action, Action::Answer(id, _) if *id == lookup.id);
    assert!(actions.iter().any(answered));
}

#[test]
fn a_hold_is_never_hedged() {
    let mut world = measured();
    let hold = world.arrive(HOLD);
    let actions = world.claimed(hold.id, ClaimResult::Held);
    assert_eq!(calls(&actions).len(), 1);
    assert!(calls_within(&mut world, 100).is_empty());
}

/// All slots are taken and lookups wait. A second attempt would take a slot from one of them.
#[test]
fn nothing_is_hedged_while_requests_wait() {
    let mut world = measured();
    world.pass(Duration::from_millis(300));
    let lookups: Vec<_> = (0..4).map(|_| world.arrive(LOOKUP)).collect();
    let sent: usize = lookups.iter().map(|l| calls(&l.actions).len()).sum();
    assert_eq!(sent, 3);
    assert!(calls_within(&mut world, 100).is_empty());
}

/// Every lookup takes long, again and again. The hedges stay within the budget's fiftieth, and
/// the few that were saved up.
#[test]
fn hedges_stay_within_their_budget() {
    let mut world = measured();
    let mut hedges = 0;
    for _ in 0..300 {
        let lookup = world.arrive(LOOKUP);
        let first = calls(&lookup.actions)[0].attempt;
        let sent = calls_within(&mut world, 20);
        hedges += sent.len();
        world.end(first, OK);
        for hedge in sent {
            world.end(hedge, CallEnd::Cancelled);
        }
    }
    assert!((1..=6 + 5).contains(&hedges), "{hedges} hedges of 300");
}
