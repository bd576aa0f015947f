use std::time::{Duration, Instant};

use kingcuploft::entry::log_rate_limiter::{LogDecision, LogRateLimiter};

/// Plays lines at an even pace and returns how many were written, and how many were told as left out.
fn play(per_s: u64, seconds: u64) -> (u64, u64) {
    let (start, mut budget) = (Instant::now(), LogRateLimiter::default());
    let (mut written, mut told) = (0, 0);
    for line in 0..per_s * seconds {
        let now = start + Duration::from_secs_f64(line as f64 / per_s as f64);
        match budget.admit(now) {
            LogDecision::Write => written += 1,
            LogDecision::Drop => {}
            LogDecision::DropAndReport(left_out) => told += left_out,
        }
    }
    (written, told)
}

/// A VM of today sees ten to fifty requests a second; on-call engineers find each of them.
#[test]
fn every_line_is_written_at_the_load_of_today() {
    assert_eq!(play(50, 60), (3000, 0));
}

/// Thousands of requests a second go well. Their lines would take the processor and hide the failures.
#[test]
fn ordinary_lines_are_bounded_under_load_and_those_left_out_are_told() {
    let (written, told) = play(5000, 30);
    assert!((3000..=3300).contains(&written), "{written}");
    let left_out = 150_000 - written;
    assert!(
        told <= left_out && told > left_out * 4 / 5,
        "{told} of {left_out}"
    );
}
