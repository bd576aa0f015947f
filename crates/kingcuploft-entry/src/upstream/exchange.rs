//! One attempt at a request: sent to a server, its answer checked.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::attempts::AttemptOutcome;

use super::Upstream;
use crate::clock;
use crate::context::Context;
use crate::edge::request::Request;
use crate::http::client::{Connection, ReceiveError, Response, SendError};
use crate::http::headers::write_header;
use crate::limits;
use crate::peers::readings;

/// The most bytes of an answer that is passed on.
const MOST_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// How many answers to other requests are skipped on one connection before it is given up.
const MOST_SKIPPED: usize = 3;

/// The status of a server that is not the one that a request is meant for.
const MISDIRECTED: u16 = 421;

/// How one attempt ended, with the answer if there is a whole one.
#[derive(Debug)]
pub struct Ended {
    /// How it ended.
    pub end: AttemptOutcome,
    /// The server's whole answer.
    pub response: Option<Response>,
    /// How long it took.
    pub took: Duration,
    /// What is worth telling of a failure.
    pub detail: &'static str,
}

impl Ended {
    fn without_answer(end: AttemptOutcome, detail: &'static str, begun: Instant) -> Self {
        Self {
            end,
            response: None,
            took: clock::since(begun),
            detail,
        }
    }
}

/// Sends a request to a server and receives its answer. Dropping the future cancels the attempt:
/// its connection closes, and the server drops the work.
pub async fn attempt(
    context: &Rc<Context>,
    upstream: &Rc<Upstream>,
    request: &Request,
    left: Duration,
) -> Ended {
    let begun = clock::now();
    let _in_flight = upstream.sent(begun);
    readings::tell_sent(context, &upstream.server.name);
    let ended = tokio::time::timeout(left, run(context, upstream, request, left, begun)).await;
    let timed_out = || Ended::without_answer(AttemptOutcome::TimedOut, "deadline passed", begun);
    let ended = ended.unwrap_or_else(|_| timed_out());
    let failed = !matches!(ended.end, AttemptOutcome::Succeeded);
    upstream.ended(clock::now(), failed);
    ended
}

async fn run(
    context: &Rc<Context>,
    upstream: &Rc<Upstream>,
    request: &Request,
    left: Duration,
    begun: Instant,
) -> Ended {
    let Ok(mut connection) = upstream.connect(&*context.network).await else {
        return Ended::without_answer(AttemptOutcome::Unsent, "no connection", begun);
    };
    // A new connection may take a second, and the zone may have been evacuated meanwhile.
    if !context.takes_work(upstream) {
        upstream.keep(connection);
        return Ended::without_answer(
            AttemptOutcome::Unsent,
            "the server takes no more work",
            begun,
        );
    }
    let left = left.saturating_sub(clock::since(begun));
    let bytes = write_request(context, upstream, request, left);
    match connection.send(&bytes).await {
        Ok(()) => {}
        Err(SendError::Unsent(_)) => {
            return Ended::without_answer(AttemptOutcome::Unsent, "connection was closed", begun);
        }
        Err(SendError::Broke(_)) => {
            return Ended::without_answer(AttemptOutcome::Lost, "broke while sending", begun);
        }
    }
    let received = receive_own(context, &mut connection, request).await;
    let response = match received {
        Ok(response) => response,
        Err((end, detail)) => return Ended::without_answer(end, detail, begun),
    };
    let load = response.head.headers.get(context.vocabulary.load);
    if let Some(reading) = load.and_then(context.vocabulary.read_load) {
        upstream.told(clock::now(), reading);
        readings::tell(context, &upstream.server.name, reading, None);
    }
    upstream.keep(connection);
    let (end, detail) = judge(context, &response);
    if response.head.status != MISDIRECTED {
        let answer = match end {
            AttemptOutcome::Succeeded => limits::Answer::OfRequest,
            _ => limits::Answer::Other,
        };
        let server = &upstream.server.name;
        limits::heard(context, server, &response.head.headers, answer);
    }
    Ended {
        end,
        response: Some(response),
        took: clock::since(begun),
        detail,
    }
}

/// Receives the answer that bears the request's id. An answer to another request may come first:
/// the server gave one answer too many to whoever used the connection before.
async fn receive_own(
    context: &Context,
    connection: &mut Connection,
    request: &Request,
) -> Result<Response, (AttemptOutcome, &'static str)> {
    for _ in 0..MOST_SKIPPED {
        let received = connection.receive(&request.head.method, MOST_ANSWER_BYTES);
        let response = received.await.map_err(|error| match error {
            ReceiveError::Closed => (AttemptOutcome::Lost, "closed without an answer"),
            ReceiveError::Failed(_) => (AttemptOutcome::Lost, "connection failed"),
            ReceiveError::Truncated => (AttemptOutcome::Broken, "truncated answer"),
            ReceiveError::Malformed => (AttemptOutcome::Broken, "malformed answer"),
        })?;
        let echoed = response.head.headers.get(context.vocabulary.request_id);
        match (echoed, request.id.as_deref()) {
            (Some(echoed), Some(id)) if echoed != id => {
                connection.spoil();
                tracing::info!(event = "crossed_answer", request = id, answer = echoed);
            }
            _ => return Ok(response),
        }
    }
    Err((AttemptOutcome::Lost, "only answers to other requests"))
}

fn judge(context: &Context, response: &Response) -> (AttemptOutcome, &'static str) {
    let headers = &response.head.headers;
    let signed = headers.has(context.vocabulary.signature);
    if headers.has(context.vocabulary.not_run) {
        return (AttemptOutcome::NotRun, "server did not run it");
    }
    match response.head.status {
        MISDIRECTED => (AttemptOutcome::NotRun, "another server has the address"),
        200..300 if !signed => (AttemptOutcome::Broken, "unsigned answer"),
        200..300 if headers.has("content-encoding") => (AttemptOutcome::Broken, "encoded answer"),
        200..300 => (AttemptOutcome::Succeeded, "answered"),
        _ if signed => (AttemptOutcome::Failed, "server failed"),
        _ => (AttemptOutcome::Broken, "unsigned failure"),
    }
}

fn write_request(
    context: &Context,
    upstream: &Upstream,
    request: &Request,
    left: Duration,
) -> Vec<u8> {
    let words = context.vocabulary;
    let mut out = Vec::with_capacity(512 + request.body.len());
    out.extend_from_slice(request.head.method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(request.head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in request.head.headers.end_to_end() {
        let own = [words.deadline_ms, words.meant_for];
        if !own.iter().any(|own| name.eq_ignore_ascii_case(own)) {
            write_header(&mut out, name, value);
        }
    }
    let left_ms = left.as_millis().max(1).to_string();
    write_header(&mut out, words.deadline_ms, left_ms.as_bytes());
    write_header(&mut out, words.meant_for, upstream.server.name.as_bytes());
    let bodyless = matches!(
        request.head.method.as_str(),
        "GET" | "HEAD" | "DELETE" | "OPTIONS"
    );
    if !request.body.is_empty() || !bodyless {
        let length = request.body.len().to_string();
        write_header(&mut out, "Content-Length", length.as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    out
}
