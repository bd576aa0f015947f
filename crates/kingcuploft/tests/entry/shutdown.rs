//! What a stopping VM still takes, and what it still sends.

use std::time::Duration;

use kingcuploft::entry::shutdown::{ConnectionUse, ShutdownPhase, has_time_to_answer};

/// How long the work of these requests usually takes.
const WORK_MS: f64 = 400.0;

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Guards against a connection that takes requests which the exit cuts, or leaves one that its caller can't know to be unread.
#[test]
fn a_stopping_vm_takes_only_requests_that_it_can_answer() {
    use ConnectionUse::{Idle, MayOutlastProcess, RequestArriving, Unanswered};
    let all = [Idle, RequestArriving, Unanswered, MayOutlastProcess];
    let taken = |phase: ShutdownPhase| all.map(|connection| phase.takes_request(connection));
    assert_eq!(taken(ShutdownPhase::Running), [true; 4]);
    assert_eq!(taken(ShutdownPhase::Announced), [true, true, true, false]);
    assert_eq!(taken(ShutdownPhase::Closing), [false, true, false, false]);
    assert_eq!(taken(ShutdownPhase::Ended), [false; 4]);
}

/// Guards against a request that is sent to a server shortly before the exit cuts it, and against refusals long before it.
#[test]
fn a_request_is_sent_while_long_work_or_its_deadline_ends_before_the_exit() {
    assert!(has_time_to_answer(seconds(1.2), seconds(3.0), WORK_MS));
    assert!(!has_time_to_answer(seconds(1.1), seconds(3.0), WORK_MS));
    assert!(has_time_to_answer(seconds(1.1), seconds(1.0), WORK_MS));
    assert!(!has_time_to_answer(seconds(0.0), seconds(1.0), WORK_MS));
}
