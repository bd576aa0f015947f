//! How long work is taken to last before it has been measured.

use std::time::Duration;

use kingcuploft::entry::service_time::ServiceTime;

/// Guards against a route whose requests are all refused, as its target is far beyond what its callers wait.
#[test]
fn work_that_was_never_measured_is_not_taken_for_longer_than_callers_wait() {
    let caller_waits_ms = 4_000.0;
    for target in [
        Duration::from_secs(60),
        Duration::from_secs(3_600),
        Duration::MAX,
    ] {
        let work_ms = ServiceTime::default().work_ms(target);
        assert!(work_ms <= caller_waits_ms / 2.0, "{target:?}: {work_ms} ms");
    }
    let usual = ServiceTime::default().work_ms(Duration::from_millis(1_500));
    assert!((usual - 525.0).abs() < 1e-6, "{usual} ms");
}
