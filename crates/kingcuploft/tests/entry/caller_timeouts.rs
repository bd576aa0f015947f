use std::time::Duration;

use kingcuploft::entry::caller_timeouts::CallerTimeouts;

const SECOND: Duration = Duration::from_millis(1000);

fn known(count: usize) -> CallerTimeouts {
    let mut timeouts = CallerTimeouts::default();
    for _ in 0..count {
        assert_eq!(timeouts.record(SECOND), Duration::ZERO);
    }
    timeouts
}

/// A refused caller retries with 400 of its 1,000 ms left: it has waited 600 ms, and its answer is already late.
#[test]
fn a_retry_has_waited_the_difference_to_the_usual_timeout() {
    let mut timeouts = known(20);
    let left = Duration::from_millis(400);
    assert_eq!(timeouts.record(left), Duration::from_millis(600));
    let first = Duration::from_millis(980);
    assert_eq!(
        timeouts.record(first),
        Duration::ZERO,
        "the way here takes some of it"
    );
}

#[test]
fn nothing_is_concluded_from_a_few_callers() {
    let mut timeouts = known(5);
    assert_eq!(timeouts.record(Duration::from_millis(100)), Duration::ZERO);
}

/// Failure: one caller waits for an hour; if that counted as usual, all others would count as late.
#[test]
fn callers_with_very_long_timeouts_do_not_distort_the_estimate() {
    let mut timeouts = known(20);
    for _ in 0..4 {
        assert_eq!(timeouts.record(Duration::from_secs(3600)), Duration::ZERO);
        assert_eq!(timeouts.record(SECOND), Duration::ZERO);
    }
}

/// Under overload every second request is a retry; retries are still told apart from first attempts.
#[test]
fn many_retries_do_not_distort_the_estimate() {
    let mut timeouts = known(20);
    for _ in 0..50 {
        let left = Duration::from_millis(300);
        assert_eq!(timeouts.record(left), Duration::from_millis(700));
        assert_eq!(timeouts.record(SECOND), Duration::ZERO);
    }
}

/// The callers' timeout changes from one second to two: for a while none of them counts as late.
#[test]
fn the_usual_timeout_follows_the_callers() {
    let mut timeouts = known(20);
    let longer = 2 * SECOND;
    for _ in 0..30 {
        assert_eq!(timeouts.record(longer), Duration::ZERO);
    }
    assert_eq!(timeouts.record(SECOND), SECOND);
}
