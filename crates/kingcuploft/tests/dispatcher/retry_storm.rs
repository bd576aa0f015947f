//! Test that retries do not amplify an outage of all backend servers (retry storm).

use std::time::Duration;

use kingcuploft::world::backend_server::CallEnd;

use crate::harness::{LOOKUP, TestDispatcher, calls, service};

const OUTAGE_MS: u64 = 2_000;

/// Answers every call with success for one second and with `end` for two; returns the calls sent per request received in
/// those two seconds.
fn calls_per_request(end: CallEnd, budget_most: u32) -> f64 {
    let mut service = service(&["one", "two", "three"]);
    service.policy.retry.budget_most = budget_most;
    if budget_most > 100 {
        service.policy.retry.budget_at_start = budget_most;
    }
    let mut harness = TestDispatcher::new(service);
    let mut in_flight = Vec::new();
    let (mut sent, mut received) = (0, 0);
    for ms in 0..1_000 + OUTAGE_MS {
        let in_outage = ms >= 1_000;
        let end = if in_outage {
            end
        } else {
            CallEnd::Answered { status: 200 }
        };
        let mut actions = Vec::new();
        for attempt in std::mem::take(&mut in_flight) {
            actions.extend(harness.end_attempt(attempt, end));
        }
        if ms % 2 == 0 {
            actions.extend(harness.arrive(LOOKUP).actions);
            received += u32::from(in_outage);
        }
        actions.extend(harness.advance(Duration::from_millis(1)));
        let called: Vec<u64> = calls(&actions).iter().map(|call| call.attempt).collect();
        sent += if in_outage { called.len() as u32 } else { 0 };
        in_flight.extend(called);
    }
    f64::from(sent) / f64::from(received)
}

/// Load pattern: every backend server fails for two seconds. Without a retry budget each failed lookup is retried
/// several times, and the recovering servers get three times the load and fail again.
#[test]
fn retries_do_not_amplify_an_outage() {
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
        assert!(ratio > 1.5, "{end:?}: only the budget limits the retries");
    }
}
