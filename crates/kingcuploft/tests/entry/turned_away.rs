use std::time::Duration;

use kingcuploft::entry::placement::LoadReport;
use kingcuploft::entry::turned_away::retry_delay;

const IDLE: LoadReport = LoadReport {
    running: 0,
    waiting: 0,
    slots: 2,
    slowness: 1.0,
};

const FULL: LoadReport = LoadReport {
    running: 2,
    waiting: 4,
    ..IDLE
};

const LATER: Duration = Duration::from_millis(250);

#[test]
fn a_caller_turned_away_by_a_server_with_room_comes_back_at_once() {
    assert!(retry_delay(Some(&IDLE), 200.0, 90.0) < Duration::from_millis(50));
}

/// Guards against callers that come back at once to servers that are full.
#[test]
fn a_caller_turned_away_by_a_full_server_comes_back_later() {
    assert_eq!(retry_delay(Some(&FULL), 200.0, 90.0), LATER);
    assert_eq!(retry_delay(None, 200.0, 90.0), LATER);
}

/// Guards against load by callers whose answer would be late in any case.
#[test]
fn a_caller_whose_target_can_not_be_met_comes_back_later() {
    assert_eq!(retry_delay(Some(&IDLE), 120.0, 90.0), LATER);
    assert_eq!(retry_delay(Some(&IDLE), -50.0, 90.0), LATER);
}
