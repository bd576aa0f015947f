use std::time::{Duration, Instant};

use kingcuploft::entry::server_pauses::{PauseDecision, ServerPauses, decide};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a shorter pause, asked for by a later refusal, that ends an earlier one.
#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut pauses = ServerPauses::default();
    assert!(pauses.record(now, &"a".into(), 3 * SECOND));
    assert!(!pauses.record(now + SECOND, &"a".into(), SECOND / 2));
    assert_eq!(pauses.remaining(now + SECOND, "a"), 2 * SECOND);
    assert_eq!(pauses.remaining(now + 3 * SECOND, "a"), Duration::ZERO);
    assert!(pauses.record(now + 3 * SECOND, &"a".into(), SECOND));
}

/// Guards against a table that grows with each server that ever refused a request.
#[test]
fn pauses_that_are_over_are_forgotten() {
    let now = Instant::now();
    let mut pauses = ServerPauses::default();
    pauses.record(now, &"a".into(), SECOND);
    pauses.record(now, &"b".into(), 2 * SECOND);
    pauses.expire(now + SECOND);
    assert_eq!(pauses.len(), 1);
    assert_eq!(pauses.remaining(now + SECOND, "b"), SECOND);
}

/// Guards against a request that is held although no server will take it in time, and one that is refused although one
/// will.
#[test]
fn a_request_is_refused_only_if_no_server_takes_it_in_time() {
    let refused = PauseDecision::Refuse(2 * SECOND);
    assert_eq!(
        decide([3 * SECOND, 2 * SECOND].into_iter(), SECOND),
        refused
    );
    let in_time = [3 * SECOND, SECOND].into_iter();
    assert_eq!(decide(in_time, SECOND), PauseDecision::Select);
    let one_takes_requests = [3 * SECOND, Duration::ZERO].into_iter();
    let selected = decide(one_takes_requests, Duration::ZERO);
    assert_eq!(selected, PauseDecision::Select);
    let no_servers = decide([].into_iter(), SECOND);
    assert_eq!(no_servers, PauseDecision::Select);
}
