//! Protected requests run at most once, and an answer that says "not run" is true.

use crate::server::{Behavior, LateExtra};
use crate::testbed::{Testbed, booking, run_test};

/// Guards against a booking that runs again because its first answer was lost.
#[test]
fn a_booking_whose_answer_is_lost_is_not_sent_again() {
    for fault in [Behavior::LoseAnswer, Behavior::Truncate, Behavior::Unsigned] {
        run_test(async move {
            let testbed = Testbed::with(&[fault, fault, fault]).await;
            let answer = testbed.ask(&booking("b1")).await;
            assert_eq!(answer.status, 502, "{fault:?}");
            assert!(!answer.has("retry-after"));
            assert_eq!(testbed.run_count(), 1, "{fault:?}");
        });
    }
}

/// Guards against a booking that fails at a full server, which says that it did not run it, while another server has
/// capacity.
#[test]
fn a_booking_that_provably_did_not_run_goes_to_another_server() {
    for refusal in [Behavior::Shed, Behavior::Misdirected] {
        run_test(async move {
            let testbed = Testbed::with(&[refusal, Behavior::Answer, refusal]).await;
            let answer = testbed.ask(&booking("b1")).await;
            assert_eq!(answer.status, 200, "{refusal:?}");
            assert_eq!(testbed.run_count(), 1);
        });
    }
}

/// Guards against a booking that is held, or whose outcome is left unknown, where all servers are full.
#[test]
fn a_booking_that_all_servers_refuse_is_refused_as_not_run() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Shed, Behavior::Shed]).await;
        let answer = testbed.ask(&booking("b1")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after: "));
        assert_eq!(testbed.run_count(), 0);
    });
}

/// Guards against a booking that runs twice, or is refused though it runs, as a full server's refusal of a probe comes a
/// second time in front of the booking's answer.
#[test]
fn a_refused_probe_is_no_proof_that_a_booking_did_not_run() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer, Behavior::Answer]).await;
        for server in &testbed.servers {
            server.late_extra.set(LateExtra::ProbeRefusals);
        }
        let extra_count = || -> u32 {
            let counts = testbed.servers.iter();
            counts
                .map(|server| server.extras_before_answers.get())
                .sum()
        };
        let mut asked = 0;
        while extra_count() < 3 {
            asked += 1;
            let answer = testbed.ask(&booking(&format!("b{asked}"))).await;
            assert_eq!((answer.status, testbed.run_count()), (200, asked));
            assert!(asked < 100, "no refusal came in front of an answer");
        }
    });
}

#[test]
fn a_failure_of_the_server_is_final_for_a_booking() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Fail, Behavior::Fail]).await;
        let answer = testbed.ask(&booking("b1")).await;
        assert_eq!(answer.status, 500);
        assert_eq!(testbed.run_count(), 1);
    });
}

/// Guards against an unknown outcome for a booking that was never sent because no server listens.
#[test]
fn a_booking_that_reached_no_server_is_refused_as_not_run() {
    run_test(async {
        let testbed = Testbed::with(&[]).await;
        let answer = testbed.ask(&booking("b1").replace("4000", "200")).await;
        assert_eq!(answer.status, 503);
    });
}

/// Guards against a booking that is hedged when its server stops responding: it may have run there.
#[test]
fn a_booking_at_a_silent_server_is_not_hedged() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Hang, Behavior::Hang]).await;
        let answer = testbed.ask(&booking("b1").replace("4000", "900")).await;
        assert_eq!(answer.status, 504);
        assert_eq!(testbed.run_count(), 1);
    });
}
