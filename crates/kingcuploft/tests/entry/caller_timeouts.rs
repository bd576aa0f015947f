use std::time::Duration;

use kingcuploft::entry::caller_timeouts::CallerTimeouts;

const SECOND: Duration = Duration::from_millis(1000);

fn known(count: usize) -> CallerTimeouts {
    let mut patience = CallerTimeouts::default();
    for _ in 0..count {
        assert_eq!(patience.record(SECOND), Duration::ZERO);
    }
    patience
}

/// A caller was refused and comes back with 400 of its 1,000 ms. It has waited 600, and its answer is late already.
#[test]
fn a_caller_that_comes_back_has_waited_what_it_says_less_than_others() {
    let mut patience = known(20);
    let left = Duration::from_millis(400);
    assert_eq!(patience.record(left), Duration::from_millis(600));
    let first = Duration::from_millis(980);
    assert_eq!(
        patience.record(first),
        Duration::ZERO,
        "the way here takes some of it"
    );
}

#[test]
fn nothing_is_concluded_from_a_few_callers() {
    let mut patience = known(5);
    assert_eq!(patience.record(Duration::from_millis(100)), Duration::ZERO);
}

/// One caller waits for an hour. If that were taken for usual, all others would count as late.
#[test]
fn callers_that_wait_for_ever_mislead_nobody() {
    let mut patience = known(20);
    for _ in 0..4 {
        assert_eq!(patience.record(Duration::from_secs(3600)), Duration::ZERO);
        assert_eq!(patience.record(SECOND), Duration::ZERO);
    }
}

/// Under overload every second caller comes back. They are still told from those that come for the first time.
#[test]
fn many_that_come_back_mislead_nobody() {
    let mut patience = known(20);
    for _ in 0..50 {
        let left = Duration::from_millis(300);
        assert_eq!(patience.record(left), Duration::from_millis(700));
        assert_eq!(patience.record(SECOND), Duration::ZERO);
    }
}

/// The operator's callers now wait for two seconds instead of one: for a while none of them counts as late.
#[test]
fn what_is_usual_follows_the_callers() {
    let mut patience = known(20);
    let longer = 2 * SECOND;
    for _ in 0..30 {
        assert_eq!(patience.record(longer), Duration::ZERO);
    }
    assert_eq!(patience.record(SECOND), SECOND);
}
