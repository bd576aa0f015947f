use std::time::Duration;

use kingcuploft::entry::hedging::{HedgeCheck, look_after, wants_second};

const CALM: HedgeCheck = HedgeCheck {
    answers: true,
    probes_left: 0.9,
    left_ms: 300.0,
    work_ms: 60.0,
};

#[test]
fn a_lookup_is_looked_at_after_twice_the_expected_time() {
    assert_eq!(look_after(60.0), Duration::from_millis(120));
    assert_eq!(look_after(1.0), Duration::from_millis(30));
}

/// Guards against second sends that double an overload.
#[test]
fn a_late_lookup_is_sent_twice_in_calm_only() {
    assert!(wants_second(&CALM));
    assert!(!wants_second(&HedgeCheck {
        probes_left: 0.2,
        ..CALM
    }));
}

#[test]
fn a_silent_server_is_not_waited_for_even_under_overload() {
    let silent = HedgeCheck {
        answers: false,
        probes_left: 0.2,
        ..CALM
    };
    assert!(wants_second(&silent));
}

#[test]
fn a_lookup_whose_time_is_over_is_not_sent_again() {
    assert!(!wants_second(&HedgeCheck {
        left_ms: 50.0,
        ..CALM
    }));
}
