use std::time::Duration;

use kingcuploft::entry::hedging::{HedgeCheck, hedge_delay, should_hedge};

const CALM: HedgeCheck = HedgeCheck {
    server_answers: true,
    probe_budget_left: 0.9,
    deadline_left_ms: 300.0,
    work_ms: 60.0,
};

#[test]
fn a_hedge_is_considered_after_twice_the_expected_time() {
    assert_eq!(hedge_delay(60.0), Duration::from_millis(120));
    assert_eq!(hedge_delay(1.0), Duration::from_millis(30));
}

/// Failure: hedged requests double an overload.
#[test]
fn a_late_lookup_is_hedged_only_with_probe_budget_left() {
    assert!(should_hedge(&CALM));
    assert!(!should_hedge(&HedgeCheck {
        probe_budget_left: 0.2,
        ..CALM
    }));
}

#[test]
fn a_lookup_at_an_unresponsive_server_is_hedged_even_under_overload() {
    let silent = HedgeCheck {
        server_answers: false,
        probe_budget_left: 0.2,
        ..CALM
    };
    assert!(should_hedge(&silent));
}

#[test]
fn a_lookup_without_enough_time_left_is_not_hedged() {
    assert!(!should_hedge(&HedgeCheck {
        deadline_left_ms: 50.0,
        ..CALM
    }));
}
