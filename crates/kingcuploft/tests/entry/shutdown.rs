//! What a stopping VM still takes, and what it still sends.

use std::time::Duration;

use kingcuploft::entry::shutdown::{ConnectionUse, LateRequest, ShutdownPhase};

/// A request whose work usually takes 0.4 s and whose caller waits for 3 s, more than a second before the exit.
const LATE: LateRequest = LateRequest {
    until_exit: Duration::from_millis(1_200),
    left: Duration::from_secs(3),
    work_ms: 400.0,
    came_after: Duration::from_secs(2),
};

/// Guards against a connection that takes requests which the exit cuts, or leaves one that its caller can't know to be unread.
#[test]
fn a_stopping_vm_takes_only_requests_that_it_can_answer() {
    use ConnectionUse::{Idle, RequestArriving, Unanswered};
    let taken = |phase: ShutdownPhase| {
        [Idle, RequestArriving, Unanswered].map(|connection| phase.takes_request(connection))
    };
    assert_eq!(taken(ShutdownPhase::Running), [true; 3]);
    assert_eq!(taken(ShutdownPhase::Announced), [true; 3]);
    assert_eq!(taken(ShutdownPhase::Closing), [false, true, false]);
    assert_eq!(taken(ShutdownPhase::Exiting), [false; 3]);
    assert_eq!(taken(ShutdownPhase::Ended), [false; 3]);
}

/// Guards against a request that is sent to a server shortly before the exit cuts it, and against refusals long before it.
#[test]
fn a_request_is_sent_while_long_work_or_its_deadline_ends_before_the_exit() {
    let sends = |request: LateRequest| request.has_time_to_answer();
    let until_exit = Duration::from_millis(1_100);
    let left = Duration::from_secs(1);
    assert!(sends(LATE));
    assert!(!sends(LateRequest { until_exit, ..LATE }));
    assert!(sends(LateRequest {
        until_exit,
        left,
        ..LATE
    }));
}

/// Guards against a request that is refused so late that the refusal is not written before the exit.
#[test]
fn a_request_of_short_work_is_refused_while_the_refusal_can_be_written() {
    let short = LateRequest {
        work_ms: 1.0,
        ..LATE
    };
    let until_exit = Duration::from_millis(90);
    assert!(short.has_time_to_answer());
    assert!(
        !LateRequest {
            until_exit,
            ..short
        }
        .has_time_to_answer()
    );
}

/// Guards against a request that arrives late and is cut as its work takes unusually long.
#[test]
fn a_request_that_came_late_is_sent_only_if_its_deadline_comes_before_the_exit() {
    let late = LateRequest {
        came_after: Duration::from_millis(2_900),
        ..LATE
    };
    let left = Duration::from_secs(1);
    assert!(!late.has_time_to_answer());
    assert!(LateRequest { left, ..late }.has_time_to_answer());
}
