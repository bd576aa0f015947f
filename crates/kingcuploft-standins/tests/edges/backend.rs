//! The backend edge: a request is sent at most once, its caller receives the complete answer to this request and no
//! other, and a lookup is cancelled when its caller disconnects.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kingcuploft::world::refusal::RefusalReason;
use kingcuploft_standins::backend_server::{AnswerFault, BackendServer, Work};

use crate::harness::{
    Bench, answer_of, bench, bench_with, connect, exchange, plain_server, read_answer, read_head,
    wait_until,
};

fn work() -> Work {
    Work {
        slots: 8,
        mean: Duration::ZERO,
        connect_cost: Duration::ZERO,
        ..Work::default()
    }
}

/// A daemon whose policy allows no retry, in front of one simulated backend server.
struct Pair {
    server: BackendServer,
    bench: Bench,
}

fn pair(rule: &str) -> Pair {
    let runtime = Bench::runtime();
    let server = BackendServer::start(&runtime, work()).unwrap();
    let bench = bench_with(&[server.address()], "{}", rule);
    Pair {
        server,
        bench: bench.with_runtime(runtime),
    }
}

impl Pair {
    fn address(&self) -> SocketAddr {
        self.bench.daemon.address()
    }

    /// Sends one request with an idempotency key and a deadline of 400 ms, and returns the answer.
    fn call(&self, method: &str, key: &str) -> String {
        let path = if method == "POST" {
            "/holds"
        } else {
            "/lookup"
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: trip.example\r\nconnection: close\r\nidempotency-key: {key}\r\nx-deadline-ms: 400\r\ncontent-length: 4\r\n\r\nbeds"
        );
        exchange(self.address(), request.as_bytes())
    }
}

/// Guards against an HTTP library that resends a hold although a part of it may have been sent.
#[test]
fn however_a_connection_fails_a_request_is_sent_once_and_its_outcome_is_true() {
    let faults = [
        AnswerFault::CutRequest,
        AnswerFault::CutBeforeHead,
        AnswerFault::CutInHead,
        AnswerFault::CutInBody,
        AnswerFault::CutInChunks,
        AnswerFault::NoLength,
        AnswerFault::Garbage,
        AnswerFault::Crossed,
        AnswerFault::Never,
        AnswerFault::Late(Duration::from_secs(2)),
    ];
    let pair = pair("");
    for warm in [false, true] {
        for (i, fault) in faults.into_iter().enumerate() {
            for method in ["POST", "GET"] {
                pair.server.change(|faults| faults.answers.clear());
                if warm {
                    assert!(pair.call("GET", "warm").starts_with("HTTP/1.1 200"));
                } else {
                    pair.server.close_connections();
                }
                pair.server.change(|faults| faults.set_answer_fault(fault));
                let key = format!("{method}-{i}-{warm}");
                let before = pair.server.counts().requests;
                let answer = pair.call(method, &key);
                let runs = pair.server.runs(&key);
                let reached = pair.server.counts().requests > before;
                // On a busy machine the daemon may refuse the request because its deadline is too near. Then nothing was
                // sent.
                let outcome = match answer.contains("outcome: not_run") {
                    true => !reached && runs == 0,
                    false => answer.contains("outcome: unknown"),
                };
                assert!(!answer.starts_with("HTTP/1.1 200"), "{fault:?}: {answer}");
                assert!(outcome, "{fault:?} {method} {warm}: {answer}");
                assert!(runs <= 1, "{fault:?} {method} {warm}: ran {runs} times");
            }
        }
    }
}

/// Guards against the outcome `not_run` for a hold of which a part was written to a connection.
#[test]
fn not_run_is_said_only_where_it_did_not_run() {
    let pair = pair("");
    pair.server.change(|faults| faults.shed_share = 1.0);
    let shed = pair.call("POST", "shed");
    assert!(shed.contains("outcome: not_run"), "{shed}");
    pair.server
        .change(|faults| faults.refuse_connections = true);
    wait_until("the port closes", || {
        std::net::TcpStream::connect(pair.server.address()).is_err()
    });
    pair.server.close_connections();
    let refused = pair.call("POST", "refused");
    assert!(refused.contains("outcome: not_run"), "{refused}");
    assert_eq!(pair.server.counts().runs, 0);
}

/// Guards against a caller that receives the answer to an earlier request, left unread on a keepalive
/// connection.
#[test]
fn a_connection_with_an_unread_answer_is_never_reused() {
    let pair = pair("");
    for fault in [
        AnswerFault::Duplicated,
        AnswerFault::Late(Duration::from_millis(600)),
    ] {
        pair.server.change(|faults| faults.set_answer_fault(fault));
        drop(pair.call("GET", "left-over"));
        pair.server.change(|faults| faults.answers.clear());
        for i in 0..20 {
            let request =
                format!("GET /own/{i} HTTP/1.1\r\nhost: trip.example\r\nconnection: close\r\n\r\n");
            let answer = exchange(pair.address(), request.as_bytes());
            assert!(answer.ends_with(&format!("GET /own/{i}\n")), "{answer}");
        }
    }
}

/// Guards against slots of a backend server that stay in use for work whose caller has disconnected.
#[test]
fn a_caller_disconnect_cancels_its_lookup_at_the_backend_server() {
    let pair = pair("");
    let mut stream = connect(pair.address());
    let request = "GET /lookup HTTP/1.1\r\nhost: trip.example\r\nx-work-us: 4000000\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    wait_until("the request runs", || pair.server.counts().runs == 1);
    drop(stream);
    wait_until("the lookup is cancelled", || {
        pair.server.counts().cancelled == 1
    });
    assert_eq!(pair.server.in_flight(), 0);
    assert!(pair.call("GET", "next").starts_with("HTTP/1.1 200"));
}

/// The caller of a hold disconnects: the hold must still run to its end, once, so that its outcome can be recorded.
#[test]
fn a_caller_disconnect_does_not_cancel_a_protected_action() {
    let pair = pair("");
    let mut stream = connect(pair.address());
    let request = "POST /holds HTTP/1.1\r\nhost: trip.example\r\nidempotency-key: k\r\nx-work-us: 200000\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    wait_until("the request runs", || pair.server.runs("k") == 1);
    drop(stream);
    wait_until("the hold ends", || pair.server.in_flight() == 0);
    assert_eq!(pair.server.counts().cancelled, 0);
}

/// Guards against a long answer that is truncated and looks complete to the caller.
#[test]
fn a_long_answer_is_streamed_and_a_truncated_one_is_seen_as_incomplete() {
    let pair = pair(", whole_answer_bytes: 1000");
    for fault in [None, Some(AnswerFault::Chunked)] {
        pair.server.change(|faults| {
            faults.answers = fault.into_iter().map(|fault| (fault, 1.0)).collect();
        });
        let mut stream = connect(pair.address());
        let request = "GET /list HTTP/1.1\r\nhost: trip.example\r\nx-answer-bytes: 5000000\r\n\r\n";
        stream.write_all(request.as_bytes()).unwrap();
        let (head, body) = read_answer(&mut stream);
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(body.map(|body| body.len()), Some(5_000_000), "{fault:?}");
    }
    let metrics = &pair.bench.daemon.shared().metrics;
    assert_eq!(metrics.streams_cut.get(), 0);
    for fault in [AnswerFault::CutInBody, AnswerFault::CutInChunks] {
        pair.server.change(|faults| faults.set_answer_fault(fault));
        let mut stream = connect(pair.address());
        let request = "GET /list HTTP/1.1\r\nhost: trip.example\r\nx-answer-bytes: 5000000\r\n\r\n";
        stream.write_all(request.as_bytes()).unwrap();
        let (head, body) = read_answer(&mut stream);
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        assert_eq!(body, None, "{fault:?}");
    }
    wait_until("both cut streams are counted", || {
        metrics.streams_cut.get() == 2
    });
}

/// A caller stops reading a streamed answer and disconnects: the worker that sends it must become free.
#[test]
fn a_streamed_answer_ends_when_its_caller_disconnects() {
    let pair = pair(", whole_answer_bytes: 1000");
    let mut stream = connect(pair.address());
    let request = "GET /list HTTP/1.1\r\nhost: trip.example\r\nx-answer-bytes: 30000000\r\n\r\n";
    stream.write_all(request.as_bytes()).unwrap();
    drop(read_head(&mut stream));
    drop(stream);
    let metrics = &pair.bench.daemon.shared().metrics;
    wait_until("the stream is cut", || metrics.streams_cut.get() == 1);
}

/// A backend server receives only end-to-end headers, one host, one deadline and a request id unique in the fleet.
#[test]
fn only_end_to_end_headers_reach_the_backend_server() {
    let seen = Arc::new(Mutex::new(String::new()));
    let server = recording_server(&seen);
    let bench = bench(&[server], "{}");
    let request = "GET /a?b=c HTTP/1.1\r\nhost: trip.example\r\nconnection: keep-alive, x-hop\r\nx-hop: 1\r\nkeep-alive: 5\r\nte: trailers\r\nproxy-connection: close\r\nx-deadline-ms: 99999999\r\nx-request-id: forged\r\naccept: text/plain\r\n\r\n";
    let mut stream = connect(bench.daemon.address());
    stream.write_all(request.as_bytes()).unwrap();
    drop(read_head(&mut stream));
    let seen = seen.lock().unwrap().to_lowercase();
    let vm = &bench.daemon.shared().vm;
    let id = format!("x-request-id: entry-1-{:x}-1\r\n", vm.incarnation);
    assert!(seen.starts_with("get /a?b=c http/1.1\r\n"), "{seen}");
    assert_eq!(seen.matches("host: trip.example\r\n").count(), 1, "{seen}");
    assert_eq!(seen.matches("\r\nhost:").count(), 1, "{seen}");
    assert_eq!(seen.matches("x-deadline-ms: ").count(), 1, "{seen}");
    assert!(!seen.contains("99999999"), "{seen}");
    assert!(seen.contains(&id), "{seen}");
    assert!(seen.contains("accept: text/plain\r\n"), "{seen}");
    for removed in [
        "x-hop",
        "keep-alive",
        "\r\nte:",
        "proxy-connection",
        "forged",
        "user-agent",
    ] {
        assert!(!seen.contains(removed), "{removed}: {seen}");
    }
}

fn recording_server(seen: &Arc<Mutex<String>>) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Arc::clone(seen);
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        *seen.lock().unwrap() = read_head(&mut stream);
        drop(stream.write_all(&answer_of(1)));
    });
    address
}

/// Redirects, cookies and content codings are passed on to the caller: the daemon follows, stores and decodes none.
#[test]
fn redirects_cookies_and_codings_are_passed_on_to_the_caller() {
    let pair = pair("");
    pair.server
        .change(|faults| faults.set_answer_fault(AnswerFault::Redirect));
    let answer = pair.call("GET", "redirect").to_lowercase();
    assert!(answer.starts_with("http/1.1 302"), "{answer}");
    assert!(answer.contains("set-cookie: session=1"), "{answer}");
    assert!(answer.contains("content-encoding: gzip"), "{answer}");
    assert!(answer.contains("location: /elsewhere"), "{answer}");
    assert_eq!(pair.server.counts().requests, 1);
}

/// Answers to HEAD requests and with status 204 or 304 are complete without a body.
#[test]
fn answers_without_a_body_are_whole() {
    let pair = pair("");
    let head = exchange(
        pair.address(),
        b"HEAD /a HTTP/1.1\r\nhost: trip.example\r\nconnection: close\r\n\r\n",
    );
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert!(head.contains("content-length: 8\r\n"), "{head}");
    assert!(head.ends_with("\r\n\r\n"), "{head}");
    for status in [204, 304] {
        let request = format!(
            "GET /a HTTP/1.1\r\nhost: trip.example\r\nconnection: close\r\nx-answer-status: {status}\r\n\r\n"
        );
        let answer = exchange(pair.address(), request.as_bytes());
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
        assert!(answer.ends_with("\r\n\r\n"), "{answer}");
    }
}

/// An answer whose head contradicts itself, or would split the answer to the caller (response splitting), is rejected.
#[test]
fn contradictory_and_split_heads_are_rejected() {
    let heads = [
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nx",
        "HTTP/1.1 200 OK\r\ncontent-length: +1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nx-a: b\rset-cookie: c\r\ncontent-length: 1\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nx-a: b\0\r\ncontent-length: 1\r\n\r\nx",
    ];
    for head in heads {
        let server = plain_server(Duration::ZERO, head.as_bytes().to_vec());
        let bench = bench(&[server], "{}");
        let request = b"GET /a HTTP/1.1\r\nhost: trip.example\r\nconnection: close\r\nx-deadline-ms: 300\r\n\r\n";
        let answer = exchange(bench.daemon.address(), request);
        assert!(answer.starts_with("HTTP/1.1 502"), "{head:?}: {answer}");
    }
}

/// Guards against one VM that uses up all connections that a backend server allows.
#[test]
fn connections_to_a_backend_server_stay_within_this_vms_share() {
    let runtime = Bench::runtime();
    let server = BackendServer::start(&runtime, work()).unwrap();
    let bench = bench(&[server.address()], "{vms: 220}").with_runtime(runtime);
    let address = bench.daemon.address();
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let request = b"GET /a HTTP/1.1\r\nhost: trip.example\r\nconnection: close\r\nx-work-us: 30000\r\n\r\n";
                let answer = exchange(address, request);
                let refused = answer.contains("outcome: not_run");
                assert!(refused || answer.starts_with("HTTP/1.1 200"), "{answer}");
            });
        }
    });
    assert_eq!(server.counts().peak_connections, 1);
    assert_eq!(bench.daemon.shared().calls.connections(server.address()), 1);
    let metrics = &bench.daemon.shared().metrics;
    assert!(metrics.backend_connection_limit.get() > 0);
    assert_eq!(metrics.refusals(RefusalReason::AnswerBroken), 0);
}
