//! The caller edge refuses requests that are malformed, ambiguous, oversized or slow, each sent on a raw socket.

use std::io::{Read, Write};
use std::time::{Duration, Instant};

use kingcuploft_standins::backend_server::{BackendServer, Work};

use crate::harness::{
    Bench, answer_of, bench, bench_with, connect, exchange, plain_server, read_head, wait_until,
};

const TIMEOUTS: &str = "{header_timeout_ms: 300, body_timeout_ms: 300}";

/// Sends each request on a connection of its own, followed by a second one. Each must be answered with this status, the
/// connection be closed, and the bytes after it not be read as a request.
fn assert_all_refused(status: &str, requests: &[&str]) {
    let runtime = Bench::runtime();
    let server = BackendServer::start(&runtime, Work::default()).unwrap();
    let bench = bench(&[server.address()], TIMEOUTS).with_runtime(runtime);
    for request in requests {
        let smuggled = "GET /smuggled HTTP/1.1\r\nhost: trip.example\r\n\r\n";
        let bytes = format!("{request}{smuggled}");
        let answer = exchange(bench.daemon.address(), bytes.as_bytes());
        assert!(answer.starts_with(status), "{request:?}: {answer}");
        assert_eq!(
            answer.matches("HTTP/1.1 ").count(),
            1,
            "{request:?}: {answer}"
        );
        let closes = answer.to_lowercase().contains("connection: close");
        assert!(closes, "{request:?}: {answer}");
    }
    assert_eq!(server.counts().requests, 0);
}

/// Guards against request smuggling: two servers disagree about the end of a body, and so about the start of
/// the next request.
#[test]
fn a_body_with_two_lengths_or_codings_is_refused() {
    assert_all_refused(
        "HTTP/1.1 400",
        &[
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ncontent-length: 3, 3\r\n\r\nabc",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ncontent-length: +3\r\n\r\nabc",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ntransfer-encoding: identity\r\n\r\nabc",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ntransfer-encoding : chunked\r\n\r\n0\r\n\r\n",
            "POST /a HTTP/1.1\r\nhost: trip.example\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n\r\n",
            "POST /a HTTP/1.0\r\nhost: trip.example\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        ],
    );
}

#[test]
fn lines_and_bytes_that_servers_read_differently_are_refused() {
    assert_all_refused(
        "HTTP/1.1 400",
        &[
            "GET /a HTTP/1.1\r\nhost: trip.example\r\nx: a\rb\r\n\r\n",
            "GET /a HTTP/1.1\r\nhost: trip.example\r\nx: a\r\n b\r\n\r\n",
            "GET /a HTTP/1.1\r\nhost: trip.example\r\nx: a\0b\r\n\r\n",
            "GET /a HTTP/1.1\r\nhost: trip.example\r\nx y: a\r\n\r\n",
            "GET /a HTTP/1.1\r\nhost: trip.example\r\n: a\r\n\r\n",
            "GET /a HTTP/1.1\nhost: trip.example\n\n",
            "GET /a\u{1} HTTP/1.1\r\nhost: trip.example\r\n\r\n",
            "GET /a HTTP/2.0\r\nhost: trip.example\r\n\r\n",
            "\u{16}\u{3}\u{1}\u{2}",
        ],
    );
}

#[test]
fn a_request_with_no_host_two_hosts_or_a_host_in_its_target_is_refused() {
    assert_all_refused(
        "HTTP/1.1 400",
        &[
            "GET /a HTTP/1.1\r\n\r\n",
            "GET /a HTTP/1.1\r\nhost: trip.example\r\nhost: trip.example\r\n\r\n",
            "GET /a HTTP/1.1\r\nhost: trip.example\r\nhost: other.example\r\n\r\n",
            "GET http://trip.example/a HTTP/1.1\r\nhost: trip.example\r\n\r\n",
            "GET http://other.example/a HTTP/1.1\r\nhost: trip.example\r\n\r\n",
            "OPTIONS * HTTP/1.1\r\nhost: trip.example\r\n\r\n",
            "CONNECT trip.example:443 HTTP/1.1\r\nhost: trip.example\r\n\r\n",
            "GET /a HTTP/1.1\r\nhost: trip.example\r\nx-deadline-ms: soon\r\n\r\n",
            "GET /a HTTP/1.1\r\nhost: trip.example\r\nx-deadline-ms: 9\r\nx-deadline-ms: 8\r\n\r\n",
        ],
    );
}

#[test]
fn oversized_heads_are_refused_with_431() {
    let long_header = format!(
        "GET / HTTP/1.1\r\nhost: trip.example\r\nx: {}\r\n\r\n",
        "a".repeat(40_000)
    );
    let many_headers = format!(
        "GET / HTTP/1.1\r\nhost: trip.example\r\n{}\r\n",
        "x: y\r\n".repeat(200)
    );
    let long_target = format!(
        "GET /{} HTTP/1.1\r\nhost: trip.example\r\n\r\n",
        "a".repeat(40_000)
    );
    let many_long_headers = format!(
        "GET / HTTP/1.1\r\nhost: trip.example\r\n{}\r\n",
        format!("x: {}\r\n", "y".repeat(1000)).repeat(50)
    );
    assert_all_refused(
        "HTTP/1.1 431",
        &[
            &long_header,
            &many_headers,
            &long_target,
            &many_long_headers,
        ],
    );
}

/// Guards against a body over the limit that is accepted with `100 Continue`, or read to its end, before it is refused.
#[test]
fn a_long_body_is_refused_before_it_is_read() {
    let server = plain_server(Duration::ZERO, answer_of(1));
    let bench = bench_with(&[server], TIMEOUTS, ", body_limit_bytes: 10");
    let address = bench.daemon.address();
    let long_body = "POST /a HTTP/1.1\r\nhost: trip.example\r\ncontent-length: 11\r\nexpect: 100-continue\r\n\r\n";
    let answer = exchange(address, long_body.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(
        answer.contains("x-kingcuploft-outcome: not_run"),
        "{answer}"
    );
    let chunked = "POST /a HTTP/1.1\r\nhost: trip.example\r\ntransfer-encoding: chunked\r\n\r\n6\r\nabcdef\r\n5\r\nabcde\r\n0\r\n\r\n";
    let answer = exchange(address, chunked.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    let mut stream = connect(address);
    let expected = "POST /a HTTP/1.1\r\nhost: trip.example\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n";
    stream.write_all(expected.as_bytes()).unwrap();
    assert!(read_head(&mut stream).starts_with("HTTP/1.1 100"));
    stream.write_all(b"beds").unwrap();
    assert!(read_head(&mut stream).starts_with("HTTP/1.1 200"));
}

/// Guards against connections that stay open for callers that stop sending in the middle of a request.
#[test]
fn slow_heads_and_bodies_end_and_idle_connections_stay() {
    let server = plain_server(Duration::ZERO, answer_of(1));
    let bench = bench(
        &[server],
        "{header_timeout_ms: 200, body_timeout_ms: 200, idle_timeout_ms: 3000}",
    );
    let address = bench.daemon.address();
    let mut idle = connect(address);
    idle.write_all(b"GET /a HTTP/1.1\r\nhost: trip.example\r\n\r\n")
        .unwrap();
    assert!(read_head(&mut idle).starts_with("HTTP/1.1 200"));
    idle.read_exact(&mut [0]).unwrap();
    let began = Instant::now();
    for part in ["", "GET /a HTTP/1.1\r\nhost: trip.ex"] {
        assert_eq!(exchange(address, part.as_bytes()), "");
    }
    let body = "POST /a HTTP/1.1\r\nhost: trip.example\r\ncontent-length: 100\r\n\r\nab";
    let answer = exchange(address, body.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("body_timeout"), "{answer}");
    assert!(began.elapsed() >= Duration::from_millis(600));
    assert_eq!(bench.daemon.shared().metrics.slow_callers.get(), 2);
    idle.write_all(b"GET /a HTTP/1.1\r\nhost: trip.example\r\n\r\n")
        .unwrap();
    let again = read_head(&mut idle);
    assert!(again.starts_with("HTTP/1.1"), "{again}");
}

/// Guards against connections above the limit that are closed without an answer.
#[test]
fn a_connection_above_the_limit_is_refused_with_an_answer() {
    let server = plain_server(Duration::ZERO, answer_of(1));
    let bench = bench(&[server], "{connections: 1}");
    let address = bench.daemon.address();
    let request = b"GET /a HTTP/1.1\r\nhost: trip.example\r\nconnection: close\r\n\r\n";
    let first = connect(address);
    let metrics = &bench.daemon.shared().metrics;
    let answer = exchange(address, request);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(
        answer.contains("x-kingcuploft-reason: overloaded"),
        "{answer}"
    );
    assert!(
        answer.contains("x-kingcuploft-retry-after-ms: 1000"),
        "{answer}"
    );
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    assert_eq!(metrics.connections_refused.get(), 1);
    drop(first);
    wait_until("the connection is accepted", || {
        exchange(address, request).starts_with("HTTP/1.1 200")
    });
}

/// Pipelined requests, and requests split into single bytes: the inspector must find the same request boundaries as the
/// HTTP library.
#[test]
fn well_formed_requests_are_served_however_their_bytes_arrive() {
    let runtime = Bench::runtime();
    let server = BackendServer::start(&runtime, Work::default()).unwrap();
    let bench = bench(&[server.address()], "{}").with_runtime(runtime);
    let requests = "POST /1 HTTP/1.1\r\nhost: trip.example\r\ncontent-length: 23\r\n\r\nhost: a\r\nhost: b\r\n\r\n\r\n\r\nPOST /2 HTTP/1.1\r\nhost: trip.example\r\ntransfer-encoding: Chunked\r\n\r\n5;a=b\r\nabcde\r\n0\r\nx: y\r\n\r\n\r\nGET /3 HTTP/1.1\r\nhost: trip.example\r\nconnection: close\r\n\r\n";
    let whole = exchange(bench.daemon.address(), requests.as_bytes());
    assert_eq!(whole.matches("HTTP/1.1 200").count(), 3, "{whole}");
    let mut stream = connect(bench.daemon.address());
    for byte in requests.as_bytes().chunks(1) {
        stream.write_all(byte).unwrap();
    }
    let mut answers = String::new();
    stream.read_to_string(&mut answers).unwrap();
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 3, "{answers}");
}
