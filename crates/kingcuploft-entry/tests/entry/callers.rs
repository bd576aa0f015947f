//! Callers' connections: pipelined, chunked, ambiguous, left.

use std::time::Duration;

use crate::server::Act;
use crate::world::{World, book, look, play, until};

/// Guards against pipelined lookups that wait for the work of those before them.
#[test]
fn pipelined_requests_are_served_together_and_answered_in_order() {
    play(async {
        let slow = Act::After(Duration::from_millis(300));
        let world = World::with(&[slow]).await;
        let mut caller = world.caller().await;
        let three = [look("r1"), look("r2"), look("r3")].concat();
        caller.send(&three).await;
        until(|| world.runs() == 3).await;
        for id in ["r1", "r2", "r3"] {
            let answer = caller.answer().await.unwrap();
            assert!(answer.has(&format!("x-id: {id}")), "{id}: {}", answer.head);
        }
    });
}

/// A caller gives up. The server must not work on for nobody.
#[test]
fn the_work_of_a_caller_that_left_is_cancelled() {
    play(async {
        let world = World::with(&[Act::After(Duration::from_secs(8))]).await;
        let mut caller = world.caller().await;
        caller.send(&look("r1")).await;
        until(|| world.runs() == 1).await;
        drop(caller);
        until(|| world.servers[0].cancelled.get() == 1).await;
        assert_eq!(world.seen(), 1);
    });
}

/// Guards against a log that leaves out where a request stood when its caller left.
#[test]
fn an_attempt_that_is_open_when_the_caller_leaves_is_told() {
    play(async {
        let world = World::with(&[Act::Hang]).await;
        let mut caller = world.caller().await;
        caller.send(&look("r1")).await;
        until(|| world.runs() == 1).await;
        drop(caller);
        let told = || {
            let counters = world.vm.context.metrics_text();
            counters.contains("attempts_total{reason=\"cancelled\"} 1")
        };
        until(told).await;
    });
}

#[test]
fn a_body_in_chunks_reaches_the_server_whole() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let request = "POST /book/a HTTP/1.1\r\nHost: a.example\r\nx-id: c1\r\n\
             Transfer-Encoding: chunked\r\n\r\n3\r\nbed\r\n4;x=y\r\ntime\r\n0\r\n\r\n";
        let answer = world.ask(request).await;
        assert_eq!(answer.status, 200);
        let seen = world.servers[0].seen.borrow()[0].clone();
        assert!(seen.text.ends_with("\r\n\r\nbedtime"), "{}", seen.text);
    });
}

/// A request whose length can be read in two ways carries a second one past a proxy.
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
    play(async move {
        let world = World::with(&[Act::Answer]).await;
        for request in &bad {
            let answer = world.ask(request).await;
            assert_eq!(answer.status, 400, "{request}");
            assert!(answer.has("connection: close"));
        }
        assert_eq!(world.seen(), 0);
    });
}

#[test]
fn a_head_that_is_too_long_is_refused() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let filler = "x".repeat(20_000);
        let request = format!("GET /look/a HTTP/1.1\r\nHost: a.example\r\nx-f: {filler}\r\n\r\n");
        let mut caller = world.caller().await;
        caller.send(&request).await;
        assert_eq!(caller.answer().await.unwrap().status, 431);
    });
}

#[test]
fn a_connection_closes_behind_the_answer_if_the_caller_asks_for_it() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let mut caller = world.caller().await;
        let last = look("r1").replace("x-id", "Connection: close\r\nx-id");
        caller.send(&last).await;
        let answer = caller.answer().await.unwrap();
        assert_eq!(answer.status, 200);
        assert!(answer.has("connection: close"));
        assert!(caller.answer().await.is_none());
    });
}

#[test]
fn a_caller_that_waits_for_leave_to_send_its_body_gets_it() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let mut caller = world.caller().await;
        let head = "POST /book/a HTTP/1.1\r\nHost: a.example\r\nx-id: e1\r\n\
             Expect: 100-continue\r\nContent-Length: 3\r\n\r\n";
        caller.send(head).await;
        assert_eq!(caller.answer().await.unwrap().status, 100);
        caller.send("bed").await;
        assert_eq!(caller.answer().await.unwrap().status, 200);
    });
}

/// Guards against a VM that takes more of a hanging server's connections than its share.
#[test]
fn a_server_that_hangs_gets_no_more_connections_than_its_share() {
    play(async {
        let world = World::with(&[Act::Hang]).await;
        world.vm.context.vm_count.set(1);
        let mut callers = Vec::new();
        for id in 0..40 {
            let mut caller = world.caller().await;
            caller.send(&look(&format!("r{id}"))).await;
            callers.push(caller);
        }
        for caller in &mut callers {
            let status = caller.answer().await.unwrap().status;
            assert!(matches!(status, 503 | 504), "{status}");
        }
        let most = world.servers[0].most_connections.get();
        assert!((1..=16).contains(&most), "{most}");
    });
}

/// Guards against a VM killed for memory by long bodies that stand still.
#[test]
fn bodies_beyond_the_memory_are_refused_and_others_served() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let (whole, held) = (900_000, 300_000);
        let begin = |id: &str| {
            let head = book(id).replace("Content-Length: 3", &format!("Content-Length: {whole}"));
            head.replace("bed", &"b".repeat(held))
        };
        let mut first = world.caller().await;
        first.send(&begin("r1")).await;
        until(|| world.vm.context.body_memory.reserved_bytes() == held).await;
        let mut second = world.caller().await;
        second.send(&begin("r2")).await;
        let refused = second.answer().await.unwrap();
        assert_eq!(refused.status, 503);
        assert!(refused.has("retry-after: "));
        assert_eq!(world.ask(&book("r3")).await.status, 200);
        assert_eq!(world.runs(), 1);
        drop(first);
        until(|| world.vm.context.body_memory.reserved_bytes() == 0).await;
    });
}

/// Guards against probes that are given up on new connections to full servers and sent anew.
#[test]
fn a_probe_at_a_full_server_waits_on_the_connection_that_it_has_opened() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let server = &world.servers[0];
        server.holds_new.set(Duration::from_millis(400));
        let mut callers = Vec::new();
        for at in 0..4 {
            let mut caller = world.caller().await;
            caller.send(&look(&format!("r{at}"))).await;
            callers.push(caller);
            tokio::time::sleep(Duration::from_millis(90)).await;
        }
        let counters = world.vm.context.metrics_text();
        let given_up = counters
            .lines()
            .find(|l| l.contains("probes_total{reason=\"failed\"}"));
        let given_up = given_up.and_then(|line| line.rsplit(' ').next());
        assert_eq!(given_up, Some("1"), "{} connections", server.opened.get());
        for caller in &mut callers {
            assert_eq!(caller.answer().await.unwrap().status, 200);
        }
    });
}
