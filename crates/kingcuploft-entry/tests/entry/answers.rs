//! Every caller gets the complete answer to its own request, or a failure that says truthfully whether the request ran.

use std::time::{Duration, Instant};

use crate::server::{Behavior, LateExtra};
use crate::testbed::{Testbed, booking, lookup, run_test, wait_until};

/// The most that an immediate refusal may take: far less than a request may wait for a server.
const MAX_IMMEDIATE_WAIT: Duration = Duration::from_millis(500);

/// How late a server on a busy processor answers a probe.
const LATE_PROBE_ANSWER: Duration = Duration::from_millis(10);

#[test]
fn an_answer_is_forwarded_complete() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let answer = testbed.ask(&lookup("r1")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "hello"));
        assert!(answer.has("x-signed: s") && answer.has("x-id: r1"));
        let seen = testbed.servers[0].received.borrow()[0].clone();
        assert!(seen.text.starts_with("GET /look/a HTTP/1.1"));
        assert_eq!(seen.header("x-meant-for"), Some("s0"));
        let left: u64 = seen.header("x-deadline-ms").unwrap().parse().unwrap();
        assert!((1..=4000).contains(&left), "{left}");
    });
}

/// Guards against a truncated answer where a server closes the connection in the middle of it.
#[test]
fn a_broken_answer_to_a_lookup_is_replaced_by_another_servers() {
    for fault in [
        Behavior::Truncate,
        Behavior::LoseAnswer,
        Behavior::Unsigned,
        Behavior::Fail,
    ] {
        run_test(async move {
            let testbed = Testbed::with(&[fault, Behavior::Answer]).await;
            let mut caller = testbed.caller().await;
            for id in 0..6 {
                caller.send(&lookup(&format!("r{id}"))).await;
                let answer = caller.answer().await.unwrap();
                assert_eq!(
                    (answer.status, answer.body.as_str()),
                    (200, "hello"),
                    "{fault:?}"
                );
            }
        });
    }
}

/// Guards against an extra answer on a connection that is read as the answer to the next request.
#[test]
fn a_crossed_answer_is_skipped() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::AnswerOtherFirst]).await;
        let answer = testbed.ask(&lookup("mine")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "hello"));
        assert!(answer.has("x-id: mine"));
    });
}

/// Guards against a server that counts as silent as its answer to a lookup comes a second time, in front of its answer to
/// a probe.
#[test]
fn an_answer_to_a_lookup_is_not_taken_for_a_probes() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let server = &testbed.servers[0];
        server.late_extra.set(LateExtra::Answers);
        let context = &testbed.vm.context;
        let upstream = context.upstream("s0").unwrap();
        let mut asked = 0;
        while server.extras_before_probe_answers.get() < 3 {
            let answer = testbed.ask(&lookup(&format!("r{asked}"))).await;
            assert_eq!(answer.status, 200);
            asked += 1;
            assert!(asked < 100, "no answer came in front of a probe's");
            upstream.forget_load_report();
        }
        let counters = context.metrics_text();
        assert!(
            !counters.contains("probes_total{reason=\"failed\"}"),
            "{counters}"
        );
    });
}

#[test]
fn a_failure_of_all_servers_is_forwarded_unchanged() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Fail, Behavior::Fail]).await;
        let answer = testbed.ask(&lookup("r1")).await;
        assert_eq!(answer.status, 500);
        assert!(answer.has("x-signed: s"));
        assert_eq!(testbed.run_count(), 2, "tried as often as the route allows");
    });
}

/// Guards against a caller held beyond the route's timeout, and a server that goes on working on a request nobody waits
/// for.
#[test]
fn the_routes_timeout_ends_a_request_and_its_work() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Hang]).await;
        let started_at = Instant::now();
        let request = lookup("r1").replace("/look/", "/short/");
        let answer = testbed.ask(&request).await;
        assert_eq!(answer.status, 504);
        assert!(started_at.elapsed() < Duration::from_millis(800));
        wait_until(|| testbed.servers[0].cancelled.get() == 1).await;
    });
}

#[test]
fn paths_without_a_route_are_not_found() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let answer = testbed.ask(&lookup("r1").replace("/look/", "/none/")).await;
        assert_eq!(answer.status, 404);
        assert_eq!(testbed.run_count(), 0);
    });
}

/// Guards against a lookup that waits for a server that has stopped responding.
#[test]
fn a_lookup_at_a_silent_server_is_answered_by_another() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Hang, Behavior::Answer]).await;
        let silent = &testbed.servers[0];
        let mut asked = 0;
        // Each lookup may or may not be sent to the silent server first.
        while asked < 6 || silent.runs.get() == 0 {
            let request = lookup(&format!("r{asked}")).replace("/look/", "/short/");
            assert_eq!(testbed.ask(&request).await.status, 200, "r{asked}");
            asked += 1;
            assert!(asked < 100, "the silent server was never met");
        }
        wait_until(|| silent.cancelled.get() == silent.runs.get()).await;
    });
}

/// Guards against a lookup that waits for a silent server as the others' load reports come some milliseconds late.
#[test]
fn a_lookup_at_a_silent_server_is_answered_by_another_that_answers_probes_late() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Hang, Behavior::Answer]).await;
        testbed.servers[1].probe_delay.set(LATE_PROBE_ANSWER);
        let silent = &testbed.servers[0];
        for at in 0..100 {
            let request = lookup(&format!("r{at}")).replace("/look/", "/short/");
            assert_eq!(testbed.ask(&request).await.status, 200, "r{at}");
            if silent.runs.get() > 0 {
                return;
            }
        }
        panic!("the silent server was never met");
    });
}

/// Guards against a request that is held until its deadline after each server has refused it.
#[test]
fn a_request_that_each_server_has_refused_is_refused_at_once() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Shed, Behavior::Shed]).await;
        for request in [lookup("l"), booking("b")] {
            let asked_at = Instant::now();
            let answer = testbed.ask(&request).await;
            assert_eq!(answer.status, 503);
            assert!(answer.has("retry-after: "));
            assert!(asked_at.elapsed() < MAX_IMMEDIATE_WAIT);
        }
        assert_eq!(testbed.received_count(), 4);
    });
}
