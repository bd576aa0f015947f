//! Callers' connections: pipelined requests, bodies in chunks, ambiguous requests, callers that disconnect.

use std::time::{Duration, Instant};

use kingcuploft::entry::vm_count::VmCount;
use kingcuploft::world::wire_text::RequestPath;
use kingcuploft_entry::reach;
use kingcuploft_entry::settings::EntrySettings;
use kingcuploft_entry::upstream::probe;

use crate::server::Behavior;
use crate::testbed::{
    Caller, MEMORY_BYTES, Testbed, booking, lookup, run_test, settings, start_servers, start_with,
    wait_until,
};

/// The most that the refusal of a connection may take.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Guards against pipelined lookups that wait until the ones before them have run.
#[test]
fn pipelined_requests_are_served_together_and_answered_in_order() {
    run_test(async {
        let slow = Behavior::AnswerAfter(Duration::from_millis(300));
        let testbed = Testbed::with(&[slow]).await;
        let mut caller = testbed.caller().await;
        let three = [lookup("r1"), lookup("r2"), lookup("r3")].concat();
        caller.send(&three).await;
        wait_until(|| testbed.run_count() == 3).await;
        for id in ["r1", "r2", "r3"] {
            let answer = caller.answer().await.unwrap();
            assert!(answer.has(&format!("x-id: {id}")), "{id}: {}", answer.head);
        }
    });
}

/// Guards against a server that goes on working on a request whose caller has disconnected.
#[test]
fn the_work_for_a_caller_that_disconnects_is_cancelled() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(Duration::from_secs(8))]).await;
        let mut caller = testbed.caller().await;
        caller.send(&lookup("r1")).await;
        wait_until(|| testbed.run_count() == 1).await;
        drop(caller);
        wait_until(|| testbed.servers[0].cancelled.get() == 1).await;
        assert_eq!(testbed.received_count(), 1);
    });
}

/// Guards against an attempt that is not counted because its caller disconnected before it ended.
#[test]
fn an_attempt_that_is_open_when_the_caller_disconnects_is_counted() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Hang]).await;
        let mut caller = testbed.caller().await;
        caller.send(&lookup("r1")).await;
        wait_until(|| testbed.run_count() == 1).await;
        drop(caller);
        let is_counted = || {
            let counters = testbed.vm.context.metrics_text();
            counters.contains("attempts_total{reason=\"cancelled\"} 1")
        };
        wait_until(is_counted).await;
    });
}

#[test]
fn a_body_in_chunks_reaches_the_server_whole() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let request = "POST /book/a HTTP/1.1\r\nHost: a.example\r\nx-id: c1\r\n\
             Transfer-Encoding: chunked\r\n\r\n3\r\nbed\r\n4;x=y\r\ntime\r\n0\r\n\r\n";
        let answer = testbed.ask(request).await;
        assert_eq!(answer.status, 200);
        let seen = testbed.servers[0].received.borrow()[0].clone();
        assert!(seen.text.ends_with("\r\n\r\nbedtime"), "{}", seen.text);
    });
}

/// Guards against request smuggling: a request whose length can be read in two ways carries a second one past a proxy.
#[test]
fn ambiguous_requests_are_refused_and_reach_no_server() {
    let head = "POST /book/a HTTP/1.1\r\nHost: a.example\r\n";
    let bad = [
        format!("{head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
        format!("{head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
        format!("{head}Content-Length: +3\r\n\r\nabc"),
        format!("{head}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"),
        format!("{head}Host: b.example\r\n\r\n"),
        "GET /look/a HTTP/1.1\r\n\r\n".to_owned(),
        "nonsense\r\n\r\n".to_owned(),
    ];
    run_test(async move {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        for request in &bad {
            let answer = testbed.ask(request).await;
            assert_eq!(answer.status, 400, "{request}");
            assert!(answer.has("connection: close"));
        }
        assert_eq!(testbed.received_count(), 0);
    });
}

#[test]
fn a_head_that_is_too_long_is_refused() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let filler = "x".repeat(20_000);
        let request = format!("GET /look/a HTTP/1.1\r\nHost: a.example\r\nx-f: {filler}\r\n\r\n");
        let mut caller = testbed.caller().await;
        caller.send(&request).await;
        assert_eq!(caller.answer().await.unwrap().status, 431);
    });
}

#[test]
fn a_connection_closes_behind_the_answer_if_the_caller_asks_for_it() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let mut caller = testbed.caller().await;
        let last = lookup("r1").replace("x-id", "Connection: close\r\nx-id");
        caller.send(&last).await;
        let answer = caller.answer().await.unwrap();
        assert_eq!(answer.status, 200);
        assert!(answer.has("connection: close"));
        assert!(caller.answer().await.is_none());
    });
}

#[test]
fn a_caller_that_expects_100_continue_gets_it() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let mut caller = testbed.caller().await;
        let head = "POST /book/a HTTP/1.1\r\nHost: a.example\r\nx-id: e1\r\n\
             Expect: 100-continue\r\nContent-Length: 3\r\n\r\n";
        caller.send(head).await;
        assert_eq!(caller.answer().await.unwrap().status, 100);
        caller.send("bed").await;
        assert_eq!(caller.answer().await.unwrap().status, 200);
    });
}

/// Guards against a VM that opens more connections to a hanging server than its share.
#[test]
fn a_server_that_hangs_gets_no_more_connections_than_its_share() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Hang]).await;
        testbed.vm.context.vm_count.set(VmCount::Counted(1));
        let mut callers = Vec::new();
        for id in 0..40 {
            let mut caller = testbed.caller().await;
            caller.send(&lookup(&format!("r{id}"))).await;
            callers.push(caller);
        }
        for caller in &mut callers {
            let status = caller.answer().await.unwrap().status;
            assert!(matches!(status, 503 | 504), "{status}");
        }
        let most = testbed.servers[0].max_open_connections.get();
        assert!((1..=16).contains(&most), "{most}");
    });
}

/// Guards against a probe that opens a connection after requests have taken the last one of the VM's share.
#[test]
fn a_probe_opens_no_connection_beyond_the_share_that_requests_have_used_since_it_began() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Hang]).await;
        let context = &testbed.vm.context;
        context.vm_count.set(VmCount::Counted(1));
        let upstream = context.upstream("s0").unwrap();
        let share = context.connection_share(&upstream.server.service);
        let mut held = Vec::new();
        for _ in 1..share {
            held.push(reach::connect(context, &upstream).await.unwrap());
        }
        let health_path = RequestPath::parse("/health").unwrap();
        probe::start(context, &upstream, &health_path);
        held.push(reach::connect(context, &upstream).await.unwrap());
        wait_until(|| !upstream.is_probe_in_flight()).await;
        assert_eq!(testbed.servers[0].opened_connections.get() as usize, share);
        assert!(!upstream.is_unresponsive(Instant::now()));
    });
}

/// Guards against a VM that runs out of memory because of long bodies that stall.
#[test]
fn bodies_beyond_the_memory_are_refused_and_others_served() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let (whole, held) = (900_000, 300_000);
        let begin = |id: &str| {
            let head =
                booking(id).replace("Content-Length: 3", &format!("Content-Length: {whole}"));
            head.replace("bed", &"b".repeat(held))
        };
        let mut first = testbed.caller().await;
        first.send(&begin("r1")).await;
        wait_until(|| testbed.vm.context.body_memory.reserved_bytes() == held).await;
        let mut second = testbed.caller().await;
        second.send(&begin("r2")).await;
        let refused = second.answer().await.unwrap();
        assert_eq!(refused.status, 503);
        assert!(refused.has("retry-after: "));
        assert_eq!(testbed.ask(&booking("r3")).await.status, 200);
        assert_eq!(testbed.run_count(), 1);
        drop(first);
        wait_until(|| testbed.vm.context.body_memory.reserved_bytes() == 0).await;
    });
}

/// Guards against a VM that runs out of memory because of requests that wait for their servers.
#[test]
fn requests_beyond_the_memory_are_refused_and_others_answered() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Hang]).await;
        let memory = &testbed.vm.context.request_memory;
        let mut callers = Vec::new();
        let mut refused = 0;
        while refused < 3 {
            let mut caller = testbed.caller().await;
            caller.send(&lookup(&format!("r{}", callers.len()))).await;
            let soon = tokio::time::timeout(Duration::from_millis(20), caller.answer());
            if let Ok(answer) = soon.await {
                let answer = answer.unwrap();
                assert_eq!(answer.status, 503);
                assert!(answer.has("retry-after: "));
                refused += 1;
            }
            callers.push(caller);
            assert!(memory.reserved_bytes() <= MEMORY_BYTES / 8);
            assert!(callers.len() < 1_000, "nothing is refused");
        }
        assert!(callers.len() > 3, "all are refused");
        drop(callers);
        wait_until(|| memory.reserved_bytes() == 0).await;
        testbed.servers[0].behavior.set(Behavior::Answer);
        assert_eq!(testbed.ask(&lookup("after")).await.status, 200);
    });
}

/// Guards against a VM whose callers take the descriptors that it needs for servers, the store and readiness.
#[test]
fn callers_beyond_the_descriptors_are_refused_at_once_and_others_served() {
    run_test(async {
        let (store, _servers) = start_servers(&[Behavior::Answer]).await;
        let few = EntrySettings {
            max_descriptors: 16,
            ..settings("vm")
        };
        let vm = start_with(few, &store).await;
        let mut callers = Vec::new();
        for at in 0..12 {
            let mut caller = Caller::connect(vm.caller_address).await;
            caller.send(&lookup(&format!("r{at}"))).await;
            assert_eq!(caller.answer().await.unwrap().status, 200);
            callers.push(caller);
        }
        let refused_at = Instant::now();
        assert!(
            Caller::connect(vm.caller_address)
                .await
                .answer()
                .await
                .is_none()
        );
        assert!(refused_at.elapsed() < MAX_REFUSAL_TIME);
        callers[0].send(&lookup("kept")).await;
        assert_eq!(callers[0].answer().await.unwrap().status, 200);
        callers.pop();
        wait_until(|| vm.context.caller_connections.get() < 12).await;
        let mut next = Caller::connect(vm.caller_address).await;
        next.send(&lookup("next")).await;
        assert_eq!(next.answer().await.unwrap().status, 200);
    });
}

/// Guards against callers that connect at the same moment and are all let in, as none of them is counted yet.
#[test]
fn callers_that_connect_at_once_are_bounded_too() {
    run_test(async {
        let (store, _servers) = start_servers(&[Behavior::Answer]).await;
        let few = EntrySettings {
            max_descriptors: 16,
            ..settings("vm")
        };
        let vm = start_with(few, &store).await;
        let connect = |_| std::net::TcpStream::connect(vm.caller_address).unwrap();
        let callers: Vec<_> = (0..60).map(connect).collect();
        wait_until(|| vm.context.caller_limit.refused() > 0).await;
        assert_eq!(vm.context.caller_connections.get(), 12);
        drop(callers);
    });
}

/// Guards against a VM that runs out of memory because of long heads that stall.
#[test]
fn heads_beyond_the_memory_are_refused() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let memory = &testbed.vm.context.head_memory;
        let head = format!("GET /look/a HTTP/1.1\r\nx-long: {}", "y".repeat(12_000));
        let mut callers = Vec::new();
        for _ in 0..64 {
            let mut caller = testbed.caller().await;
            caller.send(&head).await;
            callers.push(caller);
        }
        let last = callers.last_mut().unwrap();
        assert_eq!(last.answer().await.unwrap().status, 503);
        assert!(memory.reserved_bytes() <= MEMORY_BYTES / 8);
        assert_eq!(testbed.ask(&lookup("r")).await.status, 200);
    });
}

/// Guards against probes that are given up while a full server has not served their new connection yet, and are sent
/// anew on another one.
#[test]
fn a_probe_at_a_full_server_waits_on_the_connection_that_it_has_opened() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let server = &testbed.servers[0];
        server.accept_delay.set(Duration::from_millis(400));
        let mut callers = Vec::new();
        for at in 0..4 {
            let mut caller = testbed.caller().await;
            caller.send(&lookup(&format!("r{at}"))).await;
            callers.push(caller);
            tokio::time::sleep(Duration::from_millis(90)).await;
        }
        let counters = testbed.vm.context.metrics_text();
        let given_up = counters
            .lines()
            .find(|l| l.contains("probes_total{reason=\"failed\"}"));
        let given_up = given_up.and_then(|line| line.rsplit(' ').next());
        assert_eq!(
            given_up,
            Some("1"),
            "{} connections",
            server.opened_connections.get()
        );
        for caller in &mut callers {
            assert_eq!(caller.answer().await.unwrap().status, 200);
        }
    });
}
