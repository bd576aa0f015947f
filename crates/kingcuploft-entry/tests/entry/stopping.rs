//! Planned stops drain connections and cut off no request.

use std::time::Duration;

use crate::server::Behavior;
use crate::testbed::{Caller, Testbed, lookup, run_test, wait_until};

/// Returns when a process that is asked to stop now exits at the latest.
fn ends_at() -> std::time::Instant {
    std::time::Instant::now() + Duration::from_secs(5)
}

async fn ready_status(testbed: &Testbed) -> u16 {
    let mut platform = Caller::connect(testbed.vm.readiness_address).await;
    platform
        .send("GET /ready HTTP/1.1\r\nHost: vm\r\n\r\n")
        .await;
    platform.answer().await.unwrap().status
}

/// Guards against a planned stop that cuts off a lookup, or closes an idle connection too early.
#[test]
fn a_planned_stop_answers_what_it_has_read() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(Duration::from_millis(500))]).await;
        let (mut busy, mut idle) = (testbed.caller().await, testbed.caller().await);
        idle.send(&lookup("first")).await;
        assert_eq!(idle.answer().await.unwrap().status, 200);
        busy.send(&lookup("r1")).await;
        wait_until(|| testbed.run_count() == 2).await;
        let context = testbed.vm.context.clone();
        assert_eq!(ready_status(&testbed).await, 200);
        context.shutdown.begin(ends_at());
        assert_eq!(ready_status(&testbed).await, 503);
        let stopping = tokio::task::spawn_local(testbed.vm.stop());
        let answer = busy.answer().await.unwrap();
        assert_eq!(answer.status, 200);
        assert!(answer.has("connection: close"));
        // A request that still arrives on the idle connection is answered as well.
        idle.send(&lookup("late")).await;
        let answer = idle.answer().await.unwrap();
        assert_eq!(answer.status, 200);
        assert!(answer.has("connection: close"));
        assert!(idle.answer().await.is_none());
        stopping.await.unwrap();
        assert_eq!(context.caller_connections.get(), 0);
    });
}

/// Guards against a planned stop that drops pipelined requests behind the first answer.
#[test]
fn a_planned_stop_closes_a_connection_behind_its_last_request_only() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(Duration::from_millis(400))]).await;
        let mut caller = testbed.caller().await;
        caller
            .send(&[lookup("r1"), lookup("r2"), lookup("r3")].concat())
            .await;
        wait_until(|| testbed.run_count() == 3).await;
        testbed.vm.context.shutdown.begin(ends_at());
        for (id, closes) in [("r1", false), ("r2", false), ("r3", true)] {
            let answer = caller.answer().await.unwrap();
            assert_eq!(answer.status, 200, "{id}");
            assert_eq!(answer.has("connection: close"), closes, "{id}");
        }
    });
}
