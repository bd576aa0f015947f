//! One attempt at a request: sends it to a server, receives the response and validates it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::attempts::AttemptEnd;
use kingcuploft::entry::shutdown::ShutdownPhase;
use kingcuploft::world::ids::BackendServerName;

use super::own_answer::{self, AwaitedAnswer, NoOwnAnswer};
use super::server_signals::{self, MISDIRECTED_STATUS};
use super::{ConnectError, ReportSource, Upstream};
use crate::clock;
use crate::context::Context;
use crate::edge::caller_key::KEY_HEADER;
use crate::edge::request::{CallerIdentity, Request};
use crate::http::client::{Connection, LastArrival, ReceiveError, Response, SendError};
use crate::http::headers::write_header;
use crate::limits;
use crate::peers::load_reports;
use crate::reach;
use crate::relay::wire::RELAY_HEADER;

/// The most bytes of a response that is passed on.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// The statuses of a request that was served.
pub(crate) const SERVED_STATUSES: std::ops::Range<u16> = 200..300;

/// How one attempt ended, with the response if it is complete.
#[derive(Debug)]
pub struct AttemptOutcome {
    /// How it ended.
    pub end: AttemptEnd,
    /// The server's complete response.
    pub response: Option<Response>,
    /// How long it took.
    pub took: Duration,
    /// The details of the end, for logs and for the answer to the caller.
    pub detail: &'static str,
    /// The server that has answered, if it has.
    pub server: Option<BackendServerName>,
    /// Why there was no connection, for logs.
    pub no_connection: Option<&'static str>,
}

impl AttemptOutcome {
    fn without_answer(end: AttemptEnd, detail: &'static str, started_at: Instant) -> Self {
        Self {
            end,
            response: None,
            took: clock::since(started_at),
            detail,
            server: None,
            no_connection: None,
        }
    }

    fn without_connection(error: &ConnectError, started_at: Instant) -> Self {
        Self {
            no_connection: Some(error.label()),
            ..Self::without_answer(AttemptEnd::Unsent, "no connection", started_at)
        }
    }
}

/// Sends a request to a server and receives its response; `last_arrival` tells when bytes of it arrive. Dropping the future cancels the attempt: its connection
/// closes, and the server drops the work.
pub async fn attempt(
    context: &Rc<Context>,
    upstream: &Rc<Upstream>,
    request: &Request,
    last_arrival: &LastArrival,
    left: Duration,
) -> AttemptOutcome {
    let started_at = clock::now();
    let _in_flight = upstream.track_in_flight(started_at);
    load_reports::share_sent(context, &upstream.server.name);
    let outcome = tokio::time::timeout(
        left,
        run(context, upstream, request, last_arrival, left, started_at),
    )
    .await;
    let timed_out =
        || AttemptOutcome::without_answer(AttemptEnd::TimedOut, "deadline passed", started_at);
    let outcome = outcome.unwrap_or_else(|_| timed_out());
    let failed = !matches!(outcome.end, AttemptEnd::Succeeded);
    upstream.record_outcome(clock::now(), failed);
    outcome
}

async fn run(
    context: &Rc<Context>,
    upstream: &Rc<Upstream>,
    request: &Request,
    last_arrival: &LastArrival,
    left: Duration,
    started_at: Instant,
) -> AttemptOutcome {
    let mut connection = match reach::connect(context, upstream).await {
        Ok(connection) => connection,
        Err(error) => return AttemptOutcome::without_connection(&error, started_at),
    };
    connection.track_arrivals(last_arrival);
    // Opening a connection may take a second, and the zone may have been evacuated meanwhile.
    if !context.takes_work(upstream) {
        upstream.release(connection);
        return AttemptOutcome::without_answer(
            AttemptEnd::Unsent,
            "the server takes no more work",
            started_at,
        );
    }
    if context.shutdown.phase() >= ShutdownPhase::Exiting {
        upstream.release(connection);
        let detail = "the process exits";
        return AttemptOutcome::without_answer(AttemptEnd::Unsent, detail, started_at);
    }
    let left = left.saturating_sub(clock::since(started_at));
    let bytes = write_request(context, upstream, request, left);
    match connection.send(&bytes).await {
        Ok(()) => {}
        Err(SendError::NothingSent(_)) => {
            return AttemptOutcome::without_answer(
                AttemptEnd::Unsent,
                "connection was closed",
                started_at,
            );
        }
        Err(SendError::PartlySent(_)) => {
            return AttemptOutcome::without_answer(
                AttemptEnd::Lost,
                "broke while sending",
                started_at,
            );
        }
    }
    let received = receive_own(context, &mut connection, &upstream.server.name, request).await;
    let response = match received {
        Ok(response) => response,
        Err((end, detail)) => return AttemptOutcome::without_answer(end, detail, started_at),
    };
    context.reach.record_contact(&upstream.server.service);
    server_signals::apply_answer(context, upstream, &response);
    let load = response.head.headers.get(context.wire_names.load);
    if let Some(reading) = load.and_then(context.wire_names.parse_load) {
        upstream.record_load_report(clock::now(), reading, ReportSource::Own);
        load_reports::share_report(context, &upstream.server.name, reading, None);
    }
    upstream.release(connection);
    let (end, detail) = classify(context, &response);
    if response.head.status != MISDIRECTED_STATUS {
        let answer = match end {
            AttemptEnd::Succeeded => limits::AnswerKind::ExecutedRequest,
            _ => limits::AnswerKind::Other,
        };
        let server = &upstream.server.name;
        limits::apply_header(context, server, &response.head.headers, answer);
    }
    AttemptOutcome {
        end,
        response: Some(response),
        took: clock::since(started_at),
        detail,
        server: Some(upstream.server.name.clone()),
        no_connection: None,
    }
}

/// Receives the answer that belongs to the request, or returns how the attempt has ended without it. `sender`
/// names the server, or the VM, in logs.
pub(crate) async fn receive_own(
    context: &Context,
    connection: &mut Connection,
    sender: &str,
    request: &Request,
) -> Result<Response, (AttemptEnd, &'static str)> {
    let awaited = AwaitedAnswer {
        method: &request.head.method,
        request_id: request.id_bytes.as_deref(),
        max_bytes: MAX_RESPONSE_BYTES,
        sender,
    };
    let received = own_answer::receive(context, connection, awaited).await;
    received.map_err(|error| match error {
        NoOwnAnswer::OnlyOthers => (AttemptEnd::Lost, "only answers to other requests"),
        NoOwnAnswer::Receive(ReceiveError::GivenUp { reason, .. }) => {
            (AttemptEnd::Broken, reason.label())
        }
        NoOwnAnswer::Receive(ReceiveError::Closed) => {
            (AttemptEnd::Lost, "closed without an answer")
        }
        NoOwnAnswer::Receive(ReceiveError::Failed(_)) => (AttemptEnd::Lost, "connection failed"),
        NoOwnAnswer::Receive(ReceiveError::Truncated) => (AttemptEnd::Broken, "truncated answer"),
        NoOwnAnswer::Receive(ReceiveError::Malformed) => (AttemptEnd::Broken, "malformed answer"),
    })
}

fn classify(context: &Context, response: &Response) -> (AttemptEnd, &'static str) {
    let headers = &response.head.headers;
    let signed = headers.contains(context.wire_names.signature);
    if headers.contains(context.wire_names.not_run) {
        return (AttemptEnd::NotRun, "server did not run it");
    }
    match response.head.status {
        MISDIRECTED_STATUS => (AttemptEnd::NotRun, "another server has the address"),
        200..300 if !signed => (AttemptEnd::Broken, "unsigned answer"),
        200..300 if headers.contains("content-encoding") => (AttemptEnd::Broken, "encoded answer"),
        200..300 => (AttemptEnd::Succeeded, "answered"),
        _ if signed => (AttemptEnd::Failed, "server failed"),
        _ => (AttemptEnd::Broken, "unsigned failure"),
    }
}

fn write_request(
    context: &Context,
    upstream: &Upstream,
    request: &Request,
    left: Duration,
) -> Vec<u8> {
    let mut out = write_forwarded_head(context, request, left);
    let name = upstream.server.name.as_bytes();
    write_header(&mut out, context.wire_names.meant_for, name);
    write_body(&mut out, request);
    out
}

/// Returns the request line and the headers that are forwarded, with the time that is left.
pub(crate) fn write_forwarded_head(
    context: &Context,
    request: &Request,
    left: Duration,
) -> Vec<u8> {
    let wire_names = context.wire_names;
    let mut out = Vec::with_capacity(512 + request.body.len());
    out.extend_from_slice(request.head.method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(request.head.target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    let own = [wire_names.deadline_ms, wire_names.meant_for, RELAY_HEADER];
    let of_caller: &[&str] = match request.identity() {
        CallerIdentity::Unchecked => &[],
        CallerIdentity::Checked(_) => &[KEY_HEADER, wire_names.workspace],
    };
    for (name, value) in request.head.headers.end_to_end() {
        let mut replaced = own.iter().chain(of_caller);
        if !replaced.any(|replaced| name.eq_ignore_ascii_case(replaced)) {
            write_header(&mut out, name, value);
        }
    }
    if let CallerIdentity::Checked(Some(workspace)) = request.identity() {
        write_header(&mut out, wire_names.workspace, workspace.as_bytes());
    }
    let left_ms = left.as_millis().max(1).to_string();
    write_header(&mut out, wire_names.deadline_ms, left_ms.as_bytes());
    out
}

/// Ends the head and appends the body.
pub(crate) fn write_body(out: &mut Vec<u8>, request: &Request) {
    let bodyless = matches!(
        request.head.method.as_str(),
        "GET" | "HEAD" | "DELETE" | "OPTIONS"
    );
    if !request.body.is_empty() || !bodyless {
        let length = request.body.len().to_string();
        write_header(out, "Content-Length", length.as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
}
