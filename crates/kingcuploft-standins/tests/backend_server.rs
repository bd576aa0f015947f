//! Checks the simulated backend server: its counts, and how each fault appears on the wire.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use kingcuploft_standins::backend_server::{AnswerFault, BackendServer, LoadReporting, Work};
use tokio::runtime::Runtime;

const HOLD: &str = "POST /holds HTTP/1.1\r\nhost: a\r\nidempotency-key: k\r\nx-request-id: 7\r\nx-work-us: 0\r\ncontent-length: 4\r\n\r\nbeds";

fn start(runtime: &Runtime) -> BackendServer {
    let work = Work {
        slots: 1,
        connect_cost: Duration::ZERO,
        ..Work::default()
    };
    BackendServer::start(runtime, work).unwrap()
}

/// Sends a request on a new connection and returns all bytes that arrive until the connection closes or nothing arrives
/// for 300 ms.
fn call(server: &BackendServer, request: &str) -> String {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    let timeout = Some(Duration::from_millis(300));
    stream.set_read_timeout(timeout).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    drop(stream.read_to_end(&mut answer));
    String::from_utf8(answer).unwrap_or_default()
}

/// Waits until a condition holds.
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn an_answer_carries_load_and_request_id_and_its_run_is_counted() {
    let runtime = Runtime::new().unwrap();
    let server = start(&runtime);
    let answer = call(&server, HOLD);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("x-load-in-flight: 0\r\n"), "{answer}");
    assert!(answer.contains("x-request-id: 7\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nPOST /holds\n"), "{answer}");
    assert_eq!(server.runs("k"), 1);
}

#[test]
fn each_answer_fault_shows_on_the_wire_and_in_the_run_count() {
    let runtime = Runtime::new().unwrap();
    let server = start(&runtime);
    let cases = [
        (AnswerFault::CutRequest, "", "", 0),
        (AnswerFault::CutBeforeHead, "", "", 1),
        (AnswerFault::CutInHead, "HTTP/1.1 200", "", 1),
        (AnswerFault::CutInBody, "HTTP/1.1 200", "POST /", 1),
        (
            AnswerFault::CutInChunks,
            "HTTP/1.1 200",
            "c\r\nPOST /holds\n\r\n",
            1,
        ),
        (AnswerFault::Chunked, "HTTP/1.1 200", "\r\n0\r\n\r\n", 1),
        (AnswerFault::NoLength, "HTTP/1.1 200", "POST /holds\n", 1),
        (AnswerFault::Oversized(3), "HTTP/1.1 200", "\r\n\r\nxxx", 1),
        (AnswerFault::Redirect, "HTTP/1.1 302", "POST /holds\n", 1),
        (AnswerFault::Never, "", "", 1),
    ];
    for (fault, start, end, runs) in cases {
        server.change(|faults| faults.set_answer_fault(fault));
        let before = server.runs("k");
        let answer = call(&server, HOLD);
        assert!(answer.starts_with(start), "{fault:?}: {answer}");
        assert!(answer.ends_with(end), "{fault:?}: {answer}");
        assert_eq!(server.runs("k") - before, runs, "{fault:?}");
    }
    server.change(|faults| faults.set_answer_fault(AnswerFault::Duplicated));
    assert_eq!(call(&server, HOLD).matches("HTTP/1.1 200").count(), 2);
    server.change(|faults| faults.set_answer_fault(AnswerFault::Crossed));
    assert!(!call(&server, HOLD).contains("x-request-id: 7"));
}

#[test]
fn shed_failed_and_refused_requests_do_not_run() {
    let runtime = Runtime::new().unwrap();
    let server = start(&runtime);
    server.change(|faults| faults.shed_at = Some(0));
    assert!(call(&server, HOLD).contains("x-not-run: 1"));
    server.change(|faults| {
        faults.fail_fast_share = 1.0;
        faults.draining = true;
        faults.load = LoadReporting::Always(9);
    });
    let answer = call(&server, HOLD);
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
    assert!(answer.contains("x-draining: 1"), "{answer}");
    assert!(answer.contains("x-load-in-flight: 9"), "{answer}");
    server.change(|faults| faults.refuse_connections = true);
    until("the port closes", || {
        TcpStream::connect(server.address()).is_err()
    });
    assert_eq!(server.counts().runs, 0);
    server.change(|faults| *faults = Default::default());
    until("the port opens", || {
        TcpStream::connect(server.address()).is_ok()
    });
    assert!(call(&server, HOLD).starts_with("HTTP/1.1 200"));
}

#[test]
fn a_closed_connection_cancels_the_work_and_a_deadline_ends_it() {
    let runtime = Runtime::new().unwrap();
    let server = start(&runtime);
    let long = "GET /long HTTP/1.1\r\nhost: a\r\nx-work-us: 60000000\r\n\r\n";
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.write_all(long.as_bytes()).unwrap();
    until("it runs", || server.counts().runs == 1);
    drop(stream);
    until("it is cancelled", || server.counts().cancelled == 1);
    assert_eq!(server.in_flight(), 0);
    let short = "GET /long HTTP/1.1\r\nhost: a\r\nx-work-us: 60000000\r\nx-deadline-ms: 5\r\n\r\n";
    assert!(call(&server, short).starts_with("HTTP/1.1 504"));
    assert!(call(&server, HOLD).starts_with("HTTP/1.1 200"));
}

#[test]
fn a_probe_takes_slot_time_and_reports_the_delayed_load() {
    let runtime = Runtime::new().unwrap();
    let server = start(&runtime);
    let probe = "GET /load HTTP/1.1\r\nhost: a\r\n\r\n";
    let answer = call(&server, probe);
    assert!(answer.ends_with("{\"in_flight\":0}\n"), "{answer}");
    assert_eq!((server.counts().probes, server.counts().runs), (1, 0));
    assert_eq!(server.counts().probe_us, 6000);
}
