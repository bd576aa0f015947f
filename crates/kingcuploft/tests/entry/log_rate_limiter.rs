use std::time::{Duration, Instant};

use kingcuploft::entry::log_rate_limiter::{LogDecision, LogRateLimiter};

/// Admits lines at a steady rate and returns how many were written, and how many were reported as dropped.
fn admit_lines(per_s: u64, seconds: u64) -> (u64, u64) {
    let (start, mut budget) = (Instant::now(), LogRateLimiter::default());
    let (mut written, mut reported) = (0, 0);
    for line in 0..per_s * seconds {
        let now = start + Duration::from_secs_f64(line as f64 / per_s as f64);
        match budget.admit(now) {
            LogDecision::Write => written += 1,
            LogDecision::Drop => {}
            LogDecision::DropAndReport(dropped) => reported += dropped,
        }
    }
    (written, reported)
}

/// At the usual load of ten to fifty requests a second per VM, on-call engineers find each request.
#[test]
fn every_line_is_written_at_the_usual_load() {
    assert_eq!(admit_lines(50, 60), (3000, 0));
}

/// Failure: at thousands of successful requests a second their lines take the processor and hide the failures.
#[test]
fn routine_lines_are_bounded_under_load_and_dropped_ones_are_reported() {
    let (written, reported) = admit_lines(5000, 30);
    assert!((3000..=3300).contains(&written), "{written}");
    let dropped = 150_000 - written;
    assert!(
        reported <= dropped && reported > dropped * 4 / 5,
        "{reported} of {dropped}"
    );
}
