//! The cases of the review that are scripts: `standins CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case could not run. `TROUBLE=0` in the environment leaves out the disruption.

mod drain;
mod net;
mod pipeline;
mod rejected;
mod store;
mod upstream;
mod vm;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use net::{Record, read_message};

/// What a case has found.
pub struct Found {
    pub broken: usize,
    pub summary: Vec<String>,
}

/// A request of a client and what became of it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub is_safe: bool,
    pub sent_at: f64,
    /// The status of its complete answer; 0 if the connection ended without one.
    pub status: u16,
    pub is_signed: bool,
    pub ended_at: f64,
}

pub type Requests = Arc<Mutex<Vec<Request>>>;

/// Returns the text of a request.
pub fn request_text(id: &str, path: &str, is_safe: bool, deadline_ms: u32) -> String {
    let head =
        format!("Host: trips.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n");
    match is_safe {
        true => format!("GET {path} HTTP/1.1\r\n{head}\r\n"),
        false => format!("POST {path} HTTP/1.1\r\n{head}Content-Length: 4\r\n\r\nhold"),
    }
}

/// Sends one request on a connection of its own and waits for its answer.
pub fn send_fresh(
    record: &Record,
    to: SocketAddr,
    id: &str,
    path: &str,
    is_safe: bool,
    deadline_ms: u32,
) -> Request {
    let text = request_text(id, path, is_safe, deadline_ms);
    let deadline = Duration::from_millis(u64::from(deadline_ms));
    let sent_at = record.add(format!("client sends {id} ({path}) to {to}"));
    let mut answer = None;
    if let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
        let _ = stream.set_read_timeout(Some(deadline + Duration::from_millis(500)));
        if stream.write_all(text.as_bytes()).is_ok() {
            answer = read_message(&mut stream, &mut Vec::new());
        }
    }
    let status = answer.as_ref().map_or(0, |(head, _)| head.status());
    let signature = answer
        .as_ref()
        .and_then(|(head, _)| head.header("x-response-signature"));
    let is_signed = signature.is_some();
    let ended_at = record.add(format!(
        "client gets {status} for {id}, signature {}",
        signature.unwrap_or("none")
    ));
    Request {
        id: id.into(),
        is_safe,
        sent_at,
        status,
        is_signed,
        ended_at,
    }
}

/// Returns a configuration with one service; routes are (name, kind, target, timeout).
pub fn configuration(service: &str, routes: &[(&str, &str, f64, f64)]) -> String {
    let rules = routes.iter().map(|(name, kind, target, timeout)| {
        format!(
            "{{\"name\":\"r-{name}\",\"kind\":\"{kind}\",\"targetLatencyS\":{target},\"priority\":1,\
             \"match\":{{\"pathPrefix\":\"/{name}/\"}},\
             \"action\":{{\"service\":\"{service}\",\"timeoutS\":{timeout},\"maxAttempts\":2}}}}"
        )
    });
    let rules: Vec<_> = rules.collect();
    format!(
        "{{\"version\":\"r7\",\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\
         \"idleTimeoutS\":15}},\"listeners\":[{{\"host\":\"trips.example\",\"rules\":[{}]}}],\
         \"clusters\":[{{\"name\":\"{service}\",\"healthPath\":\"/health\",\"maxConns\":220,\"protocol\":\"h1\",\"tls\":false}}]}}",
        rules.join(",")
    )
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standins drain|pipeline|rejected RECORD");
        return ExitCode::from(2);
    };
    vm::end_after(Duration::from_secs(115));
    let record = Arc::new(Record::new());
    let found = match case.as_str() {
        "drain" => drain::run(&record),
        "pipeline" => pipeline::run(&record),
        "rejected" => rejected::run(&record),
        _ => Err(format!("no case {case}")),
    };
    let (code, mut summary) = match found {
        Ok(found) => (u8::from(found.broken > 0), found.summary),
        Err(why) => (2, vec![format!("the case could not run: {why}")]),
    };
    summary.insert(
        0,
        format!("case {case}, disruption: {}, exit {code}", has_trouble()),
    );
    println!("{}", summary.join("\n"));
    if let Err(error) = record.write(path, &summary) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
