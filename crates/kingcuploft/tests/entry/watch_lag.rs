//! Whether a watch of the store may be behind.

use std::time::{Duration, Instant};

use kingcuploft::entry::watch_lag::WatchLag;

/// Longer than a watch may be behind before the store is asked.
const LONG: Duration = Duration::from_millis(950);

const SHORT: Duration = Duration::from_millis(500);

#[test]
fn a_watch_that_is_behind_for_long_is_checked_from_what_it_has_brought() {
    let start = Instant::now();
    let mut lag = WatchLag::default();
    assert_eq!(lag.observe(start, 5, 6), None);
    assert_eq!(lag.observe(start + SHORT, 5, 7), None);
    assert_eq!(lag.observe(start + LONG, 5, 8), Some(5));
}

/// Guards against calls to the store for a watch that keeps up, however fast the store goes on.
#[test]
fn a_watch_that_follows_the_store_at_a_distance_is_not_checked() {
    let start = Instant::now();
    let mut lag = WatchLag::default();
    for round in 0..20 {
        let reached = 10 + u64::from(round);
        assert_eq!(
            lag.observe(start + SHORT * round, reached - 1, reached),
            None
        );
    }
}

/// Guards against a check with each probe for a collection that does not change.
#[test]
fn a_collection_without_changes_is_checked_once_for_what_the_store_has_reached() {
    let start = Instant::now();
    let mut lag = WatchLag::default();
    assert_eq!(lag.observe(start, 5, 9), None);
    assert_eq!(lag.observe(start + LONG, 5, 9), Some(5));
    lag.record_unchanged(9);
    assert_eq!(lag.observe(start + 2 * LONG, 5, 9), None);
    assert_eq!(lag.observe(start + 3 * LONG, 5, 12), None);
    assert_eq!(lag.observe(start + 4 * LONG, 5, 12), Some(9));
}

/// Guards against a check that got no answer and is not made again.
#[test]
fn a_check_without_an_outcome_stays_due() {
    let start = Instant::now();
    let mut lag = WatchLag::default();
    lag.observe(start, 5, 6);
    assert_eq!(lag.observe(start + LONG, 5, 6), Some(5));
    assert_eq!(lag.observe(start + LONG + SHORT, 5, 6), Some(5));
}

#[test]
fn a_repeated_watch_gets_the_whole_time_again() {
    let start = Instant::now();
    let mut lag = WatchLag::default();
    lag.observe(start, 5, 6);
    assert_eq!(lag.observe(start + LONG, 5, 6), Some(5));
    lag.record_repeated();
    assert_eq!(lag.observe(start + LONG + SHORT, 5, 6), None);
    assert_eq!(lag.observe(start + 2 * LONG + SHORT, 5, 6), Some(5));
}
