//! Requests whose id is no text.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::testbed::{entry_at, run_test, start, start_servers, wait_until};

/// An id that is no UTF-8, and one with a blank of Unicode at its end.
const IDS: [&[u8]; 2] = [b"b\xFF\xFE", "b\u{a0}".as_bytes()];

const LOAD: &[u8] = b"HTTP/1.1 200 OK\r\nx-load: 0,0,4\r\nContent-Length: 0\r\n\r\n";

/// How a full server answers a health check.
const PROBE_REFUSAL: &[u8] =
    b"HTTP/1.1 503 Full\r\nx-load: 0,0,4\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n";

/// Reads the bytes of a head, and no more; the requests here have bodies of three bytes, which are left out.
async fn read_head(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Vec<u8>> {
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = bytes.drain(..end + 4).collect();
            bytes.clear();
            return Some(head);
        }
        if stream.read_buf(bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn answer(id: &[u8]) -> Vec<u8> {
    let head = b"HTTP/1.1 200 OK\r\nx-id: ";
    let rest = b"\r\nx-signed: s\r\nContent-Length: 5\r\n\r\nhello";
    [head, id, rest].concat()
}

/// Serves a connection; an answer to a probe comes again in front of the answer to the request that follows it.
async fn serve(mut stream: TcpStream, id: &[u8], runs: &Cell<u32>) -> Option<()> {
    let mut bytes = Vec::new();
    loop {
        let head = read_head(&mut stream, &mut bytes).await?;
        if head.starts_with(b"GET /health ") {
            stream.write_all(LOAD).await.ok()?;
            continue;
        }
        runs.set(runs.get() + 1);
        stream.write_all(PROBE_REFUSAL).await.ok()?;
        stream.write_all(&answer(id)).await.ok()?;
    }
}

async fn start_server(id: &'static [u8], runs: Rc<Cell<u32>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let runs = runs.clone();
            tokio::task::spawn_local(async move { serve(stream, id, &runs).await });
        }
    });
    address
}

/// Sends a booking with this id, and returns the bytes of the answer.
async fn book(callers: SocketAddr, id: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(callers).await.unwrap();
    let line = b"POST /book/a HTTP/1.1\r\nHost: a.example\r\nx-id: ";
    let rest = b"\r\nx-deadline-ms: 4000\r\nConnection: close\r\nContent-Length: 3\r\n\r\nbed";
    let request = [line, id, rest].concat();
    stream.write_all(&request).await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    bytes
}

/// Guards against a refusal of a health check that tells the caller of a running request that it has not run.
#[test]
fn a_request_whose_id_is_no_text_gets_its_own_answer() {
    for id in IDS {
        run_test(async move {
            let runs = Rc::default();
            let address = start_server(id, Rc::clone(&runs)).await;
            let (store, _) = start_servers(&[]).await;
            store.0.write_backend_server(entry_at(0, address));
            let vm = start("vm", &store).await;
            wait_until(|| vm.context.upstream("s0").is_some()).await;
            let answered = book(vm.caller_address, id).await;
            assert!(
                answered.starts_with(b"HTTP/1.1 200 "),
                "{}",
                answered.escape_ascii()
            );
            let echoed = [b"x-id: ", id, b"\r\n"].concat();
            assert!(answered.windows(echoed.len()).any(|w| w == echoed));
            assert_eq!(runs.get(), 1);
        });
    }
}

/// Guards against an answer of the VM itself that its caller can't tell from those to other requests.
#[test]
fn a_refusal_bears_the_id_as_it_came() {
    for id in IDS {
        run_test(async move {
            let (store, _) = start_servers(&[]).await;
            let vm = start("vm", &store).await;
            let answered = book(vm.caller_address, id).await;
            assert!(answered.starts_with(b"HTTP/1.1 503 "));
            let echoed = [b"x-id: ", id, b"\r\n"].concat();
            let is_echoed = answered
                .to_ascii_lowercase()
                .windows(echoed.len())
                .any(|w| w == echoed);
            assert!(is_echoed, "{}", answered.escape_ascii());
        });
    }
}
