//! Everything fails for a while.

use std::time::Duration;

use kingcuploft::world::backend_server::CallEnd;

use crate::harness::{LOOKUP, TestDispatcher, calls, service};

const STORM_MS: u64 = 2_000;

/// Serves callers well for a second and then, for two, answers every call with `end`; returns the
/// calls sent in the storm over the requests received in it.
fn calls_per_request(end: CallEnd, budget_most: u32) -> f64 {
    let mut service = service(&["one", "two", "three"]);
    service.policy.retry.budget_most = budget_most;
    if budget_most > 100 {
        service.policy.retry.budget_at_start = budget_most;
    }
    let mut world = TestDispatcher::new(service);
    let mut in_flight = Vec::new();
    let (mut sent, mut received) = (0, 0);
    for ms in 0..1_000 + STORM_MS {
        let storm = ms >= 1_000;
        let end = if storm {
            end
        } else {
            CallEnd::Answered { status: 200 }
        };
        let mut actions = Vec::new();
        for attempt in std::mem::take(&mut in_flight) {
            actions.extend(world.end(attempt, end));
        }
        if ms % 2 == 0 {
            actions.extend(world.arrive(LOOKUP).actions);
            received += u32::from(storm);
        }
        actions.extend(world.pass(Duration::from_millis(1)));
        let called: Vec<u64> = calls(&actions).iter().map(|call| call.attempt).collect();
        sent += if storm { called.len() as u32 } else { 0 };
        in_flight.extend(called);
    }
    f64::from(sent) / f64::from(received)
}

/// Every backend server fails for two seconds. Each failed lookup is tried again, and again, and
/// when the servers come back they meet three times the load and fail once more.
#[test]
fn a_storm_of_failures_is_not_made_greater_by_retries() {
    let ends = [
        CallEnd::Broken,
        CallEnd::Refused,
        CallEnd::NeverSent,
        CallEnd::Answered { status: 503 },
    ];
    for end in ends {
        let ratio = calls_per_request(end, 10);
        assert!(ratio <= 1.1, "{end:?}: {ratio} calls for a request");
        let ratio = calls_per_request(end, 1_000_000);
        assert!(ratio > 1.5, "{end:?}: the budget is what holds it");
    }
}
