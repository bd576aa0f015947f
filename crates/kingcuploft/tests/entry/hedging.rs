use std::time::Duration;

use kingcuploft::entry::hedging::{HedgeCheck, hedge_delay, should_hedge};

const CALM: HedgeCheck = HedgeCheck {
    server_answers: true,
    probe_budget_left: 0.9,
    deadline_left_ms: 300.0,
    work_ms: 60.0,
};

#[test]
fn a_lookup_is_looked_at_after_twice_the_expected_time() {
    assert_eq!(hedge_delay(60.0), Duration::from_millis(120));
    assert_eq!(hedge_delay(1.0), Duration::from_millis(30));
}

/// Guards against second sends that double an overload.
#[test]
fn a_late_lookup_is_sent_twice_in_calm_only() {
    assert!(should_hedge(&CALM));
    assert!(!should_hedge(&HedgeCheck {
        probe_budget_left: 0.2,
        ..CALM
    }));
}

#[test]
fn a_silent_server_is_not_waited_for_even_under_overload() {
    let silent = HedgeCheck {
        server_answers: false,
        probe_budget_left: 0.2,
        ..CALM
    };
    assert!(should_hedge(&silent));
}

#[test]
fn a_lookup_whose_time_is_over_is_not_sent_again() {
    assert!(!should_hedge(&HedgeCheck {
        deadline_left_ms: 50.0,
        ..CALM
    }));
}
