//! Graceful shutdown: a planned stop interrupts no request.

use std::io::{Read, Write};
use std::process::Command;
use std::time::{Duration, Instant};

use kingcuploft_standins::platform::Platform;

use crate::harness::{
    KillOnDrop, answer_of, bench, bench_with, binary, connect, free_port, manifest_text,
    plain_server, read_head, wait_until,
};

const LOOKUP: &[u8] = b"GET /itinerary HTTP/1.1\r\nhost: trip.example\r\n\r\n";

/// Guards against a shutdown that closes connections whose answers are still being written.
#[test]
fn an_answer_that_is_still_being_written_is_not_cut_by_a_stop() {
    const BYTES: usize = 24 * 1024 * 1024;
    let server = plain_server(Duration::ZERO, answer_of(BYTES));
    let bench = bench_with(&[server], "{}", ", whole_answer_bytes: 50000000");
    let mut stream = connect(bench.daemon.address());
    stream.write_all(LOOKUP).unwrap();
    assert!(read_head(&mut stream).starts_with("HTTP/1.1 200"));
    let stopped = std::thread::spawn(move || bench.daemon.stop());
    std::thread::sleep(Duration::from_millis(300));
    let mut body = Vec::new();
    drop(stream.read_to_end(&mut body));
    assert_eq!(body.len(), BYTES);
    stopped.join().unwrap();
}

/// Guards against a shutdown that interrupts a request in flight at a slow backend server.
#[test]
fn a_request_in_flight_is_answered_and_its_connection_closed() {
    let server = plain_server(Duration::from_millis(300), answer_of(10));
    let bench = bench(&[server], "{not_ready_ms: 20}");
    let mut stream = connect(bench.daemon.address());
    stream.write_all(LOOKUP).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let stopped = std::thread::spawn(move || bench.daemon.stop());
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("xxxxxxxxxx"), "{answer}");
    stopped.join().unwrap();
}

/// Guards against connections that are refused before the load balancer in front of the VM sees that the VM stops.
#[test]
fn the_not_ready_time_serves_new_connections_and_ends_idle_ones() {
    let server = plain_server(Duration::ZERO, answer_of(3));
    let bench = bench(&[server], "{not_ready_ms: 400}");
    let address = bench.daemon.address();
    let admin = bench.daemon.admin_address();
    let mut idle = connect(address);
    let mut fresh = connect(address);
    idle.write_all(LOOKUP).unwrap();
    assert!(read_head(&mut idle).starts_with("HTTP/1.1 200"));
    let started_at = Instant::now();
    let stopped = std::thread::spawn(move || bench.daemon.stop());
    wait_until("the daemon reports not ready", || {
        let mut ready = connect(admin);
        ready
            .write_all(b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n")
            .unwrap();
        read_head(&mut ready).starts_with("HTTP/1.1 503")
    });
    let mut late = connect(address);
    late.write_all(LOOKUP).unwrap();
    assert!(read_head(&mut late).starts_with("HTTP/1.1 200"));
    assert!(started_at.elapsed() < Duration::from_millis(400));
    for stream in [&mut idle, &mut fresh] {
        let mut rest = Vec::new();
        drop(stream.read_to_end(&mut rest));
    }
    stopped.join().unwrap();
    assert!(started_at.elapsed() < Duration::from_secs(5));
}

/// Guards against a shutdown that never ends because one caller does not read its answer.
#[test]
fn a_stop_ends_at_its_timeout() {
    let server = plain_server(Duration::ZERO, answer_of(24 * 1024 * 1024));
    let bench = bench_with(
        &[server],
        "{stop_timeout_ms: 300}",
        ", whole_answer_bytes: 50000000",
    );
    let mut stream = connect(bench.daemon.address());
    stream.write_all(LOOKUP).unwrap();
    assert!(read_head(&mut stream).starts_with("HTTP/1.1 200"));
    let started_at = Instant::now();
    bench.daemon.stop();
    assert!(started_at.elapsed() >= Duration::from_millis(300));
    assert!(started_at.elapsed() < Duration::from_secs(5));
}

/// Guards against a planned stop that interrupts a request or exits with an error, as a crash does.
#[test]
fn sigterm_to_the_process_cuts_nothing_and_ends_with_0() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let platform = Platform::start(&runtime).unwrap();
    let server = plain_server(Duration::from_millis(200), answer_of(10));
    let folder = tempfile::tempdir().unwrap();
    let manifest = folder.path().join("manifest.json");
    std::fs::write(&manifest, manifest_text(server)).unwrap();
    let (port, admin) = (free_port(), free_port());
    let settings = folder.path().join("settings.yaml");
    let text = format!(
        "vm: entry-1\navailability_zone: a\nlisten: 127.0.0.1:{port}\nadmin_listen: 127.0.0.1:{admin}\nplatform: {}\nlimits: {{not_ready_ms: 50}}\n",
        platform.address()
    );
    std::fs::write(&settings, text).unwrap();
    let mut apply = Command::new(binary("kingcuploftctl"));
    apply.arg("--platform").arg(platform.address().to_string());
    let applied = apply.args(["manifest", "apply"]).arg(&manifest).output();
    assert!(applied.unwrap().status.success());
    let mut daemon = Command::new(binary("kingcuploftd"));
    let mut daemon = KillOnDrop(daemon.arg("--settings").arg(&settings).spawn().unwrap());
    let admin = std::net::SocketAddr::from(([127, 0, 0, 1], admin));
    wait_until("the daemon is ready", || {
        std::net::TcpStream::connect(admin).is_ok_and(|mut ready| {
            drop(ready.write_all(b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n"));
            read_head(&mut ready).starts_with("HTTP/1.1 200")
        })
    });
    let mut stream = connect(([127, 0, 0, 1], port).into());
    stream.write_all(LOOKUP).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let kill = Command::new("kill").arg(daemon.0.id().to_string()).status();
    assert!(kill.unwrap().success());
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.ends_with("xxxxxxxxxx"), "{answer}");
    assert_eq!(daemon.0.wait().unwrap().code(), Some(0));
}
