//! Planned stops drain connections and cut off no request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::shutdown::ShutdownPhase;
use kingcuploft_entry::edge::connection;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;

use crate::server::Behavior;
use crate::testbed::{Caller, Testbed, booking, lookup, run_in_virtual_time, run_test, wait_until};

/// How long a lookup takes at the servers of these tests.
const WORK_TIME: Duration = Duration::from_millis(400);

/// How many bytes a caller's connection holds that its caller has not read.
const SHORT_BUFFER_BYTES: usize = 64;

/// The time between two lookups of a caller that does not wait for answers.
const PIPELINING_INTERVAL: Duration = Duration::from_millis(150);

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
        context.begin_shutdown(ends_at());
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
        testbed.vm.context.begin_shutdown(ends_at());
        for (id, closes) in [("r1", false), ("r2", false), ("r3", true)] {
            let answer = caller.answer().await.unwrap();
            assert_eq!(answer.status, 200, "{id}");
            assert_eq!(answer.has("connection: close"), closes, "{id}");
        }
    });
}

/// Sends a lookup after the other, without waiting for answers, until told to stop.
async fn send_lookups(mut connection: OwnedWriteHalf, is_told_to_stop: Rc<Cell<bool>>) {
    for number in 0.. {
        let request = lookup(&format!("r{number}"));
        if is_told_to_stop.get() || connection.write_all(request.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(PIPELINING_INTERVAL).await;
    }
}

/// Guards against a planned stop that goes on taking requests of a connection that is never idle, until its exit cuts them.
#[test]
fn a_planned_stop_cuts_no_request_of_a_connection_that_is_never_idle() {
    run_in_virtual_time(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(WORK_TIME); 3]).await;
        let (mut answers, requests) = testbed.caller().await.split();
        let is_told_to_stop = Rc::new(Cell::new(false));
        tokio::task::spawn_local(send_lookups(requests, is_told_to_stop.clone()));
        let context = testbed.vm.context.clone();
        let servers = testbed.servers;
        let reading = tokio::task::spawn_local(async move {
            let mut answered = 0;
            while let Some(answer) = answers.answer().await {
                assert_eq!(answer.status, 200);
                answered += 1;
                is_told_to_stop.set(answer.has("connection: close"));
            }
            (answered, is_told_to_stop.get())
        });
        tokio::time::sleep(Duration::from_secs(2)).await;
        testbed.vm.stop().await;
        assert_eq!(context.unanswered_requests.get(), 0, "cut by the exit");
        let ran: u32 = servers.iter().map(|server| server.runs.get()).sum();
        assert_eq!(reading.await.unwrap(), (ran, true));
    });
}

/// Guards against a planned stop that drops a request whose first bytes have come when it closes idle connections.
#[test]
fn a_planned_stop_answers_a_request_that_is_arriving_when_it_closes_idle_connections() {
    run_in_virtual_time(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(WORK_TIME)]).await;
        let mut caller = testbed.caller().await;
        caller.send(&lookup("first")).await;
        assert_eq!(caller.answer().await.unwrap().status, 200);
        let context = testbed.vm.context.clone();
        let stopping = tokio::task::spawn_local(testbed.vm.stop());
        tokio::time::sleep(Duration::from_secs(2)).await;
        let request = lookup("arriving");
        let (begin, rest) = request.split_at(request.len() / 2);
        caller.send(begin).await;
        while context.shutdown.phase() != ShutdownPhase::Closing {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        caller.send(rest).await;
        let answer = caller.answer().await.unwrap();
        assert_eq!(answer.status, 200);
        assert!(answer.has("connection: close"));
        stopping.await.unwrap();
        assert_eq!(context.unanswered_requests.get(), 0);
    });
}

/// Guards against a booking that runs though its caller, to whom the answer ahead of it announces the close, sends it again.
#[test]
fn a_booking_whose_body_comes_behind_an_announced_close_does_not_run() {
    run_in_virtual_time(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(WORK_TIME)]).await;
        let context = testbed.vm.context.clone();
        // The answer is longer than the caller's end holds: its last bytes wait until the caller reads.
        let (mut caller, end) = tokio::io::duplex(SHORT_BUFFER_BYTES);
        tokio::task::spawn_local(connection::serve(context.clone(), end));
        let (lookup, booking) = (lookup("ahead"), booking("behind"));
        let (head, body) = booking.split_at(booking.len() - 3);
        let sent = [&lookup, head].concat();
        caller.write_all(sent.as_bytes()).await.unwrap();
        wait_until(|| testbed.run_count() == 1).await;
        context.begin_shutdown(ends_at());
        tokio::time::sleep(2 * WORK_TIME).await;
        caller.write_all(body.as_bytes()).await.unwrap();
        tokio::time::sleep(2 * WORK_TIME).await;
        let mut answer = String::new();
        caller.read_to_string(&mut answer).await.unwrap();
        assert!(answer.contains("Connection: close"));
        assert_eq!(testbed.run_count(), 1);
    });
}

/// Guards against a request that waits for a server until the exit of its VM cuts it.
#[test]
fn a_request_that_waits_for_a_server_is_refused_before_the_exit() {
    run_in_virtual_time(async {
        let testbed = Testbed::with(&[]).await;
        let context = testbed.vm.context.clone();
        let mut caller = testbed.caller().await;
        let stopping = tokio::task::spawn_local(testbed.vm.stop());
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        let request = lookup("waits").replace("x-deadline-ms: 4000", "x-deadline-ms: 5000");
        caller.send(&request).await;
        stopping.await.unwrap();
        assert_eq!(context.unanswered_requests.get(), 0, "cut by the exit");
        let answer = caller.answer().await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after"));
    });
}

/// Guards against a lookup that arrives slowly, is sent to a server shortly before the exit, and is cut by it.
#[test]
fn a_request_that_may_take_longer_than_until_the_exit_is_refused() {
    run_in_virtual_time(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(WORK_TIME)]).await;
        let context = testbed.vm.context.clone();
        for number in 0..20 {
            let answer = testbed.ask(&lookup(&format!("usual-{number}"))).await;
            assert_eq!(answer.status, 200);
        }
        let behavior = testbed.servers[0].behavior.clone();
        let mut caller = testbed.caller().await;
        let stopping = tokio::task::spawn_local(testbed.vm.stop());
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        let request = lookup("late");
        let (begin, rest) = request.split_at(request.len() / 2);
        caller.send(begin).await;
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        behavior.set(Behavior::AnswerAfter(2 * WORK_TIME));
        caller.send(rest).await;
        stopping.await.unwrap();
        assert_eq!(context.unanswered_requests.get(), 0, "cut by the exit");
        assert_eq!(caller.answer().await.unwrap().status, 503);
    });
}
