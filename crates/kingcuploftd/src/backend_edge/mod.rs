//! The backend edge: worker threads that call backend servers and report how each call ended.
//!
//! A worker sends a request once and never retries by itself. The dispatcher decides on a retry from the report,
//! because only it knows whether the action is idempotent and what the retry budget allows.

mod exchange;
mod framing;
mod registry;
mod transport;

use std::sync::Arc;
use std::time::Instant;

use crossbeam_channel::Receiver;
use kingcuploft::manifest::Signals;
use kingcuploft::world::backend_server::{CallEnd, CallReport, LoadReport};
use ureq::Agent;
use ureq::http::HeaderMap;

use crate::message::{Answer, CallTask, Message};
use crate::shared::Shared;
use exchange::{BodyForwarder, ExchangeError, ReceivedAnswer};

pub use registry::{BackendConnection, CallRegistry};

/// The most idle connections in the pool, to all backend servers.
const MAX_IDLE_CONNECTIONS: usize = 4096;

/// The most idle connections in the pool to one backend server.
const MAX_IDLE_CONNECTIONS_PER_SERVER: usize = 64;

/// Runs one worker until the dispatch thread ends.
pub fn run(shared: &Arc<Shared>, tasks: &Receiver<CallTask>, agent: &Agent) {
    for task in tasks {
        let deadline = task.call.deadline;
        let (message, forwarder) = call(shared, agent, task);
        if shared.dispatch.send(message).is_err() {
            return;
        }
        if let Some(forwarder) = forwarder
            && let Err(error) = forwarder.forward(deadline)
        {
            shared.metrics.streams_cut.inc();
            tracing::debug!("backend: a streamed answer ended early: {error}.");
        }
    }
}

/// Builds the HTTP client that all workers share.
pub fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .max_idle_connections(MAX_IDLE_CONNECTIONS)
        .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS_PER_SERVER)
        .build();
    Agent::with_parts(
        config,
        transport::TrackingConnector,
        ureq::unversioned::resolver::DefaultResolver::default(),
    )
}

/// Calls a backend server; returns the message for the dispatch thread, and the forwarder of a body that is not read to
/// its end.
fn call(shared: &Arc<Shared>, agent: &Agent, task: CallTask) -> (Message, Option<BodyForwarder>) {
    let began = Instant::now();
    let call = task.call;
    let attempt = call.attempt;
    transport::begin_call(shared, attempt, shared.connection_share(&call));
    let result = match shared.calls.is_cancelled(attempt) {
        true => Err(ExchangeError::Cancelled),
        false => exchange::exchange(shared, agent, &call, task.parts, began),
    };
    let cancelled = shared.calls.is_cancelled(attempt);
    let connection = shared.calls.remove(attempt);
    let signals = &call.route.service.signals;
    let (end, received) = match result {
        Ok(received) => {
            let own_id = shared.request_name(call.request);
            (
                classify_answer(&received.answer, signals, &own_id),
                Some(received),
            )
        }
        Err(_) if cancelled => (CallEnd::Cancelled, None),
        Err(error) => (classify_error(&error), None),
    };
    let headers = received.as_ref().map(|received| &received.answer.headers);
    let report = CallReport {
        end,
        latency: began.elapsed(),
        load: headers.and_then(|headers| parse_load(signals, headers)),
        draining: headers.is_some_and(|headers| headers.contains_key(&signals.drain_header)),
    };
    // Only an answer that belongs to this request is passed on, and only then the rest of its body.
    let received = received.filter(|_| matches!(end, CallEnd::Answered { .. }));
    let (answer, forwarder) = received.map_or((None, None), |received| {
        let ReceivedAnswer { answer, unread } = received;
        let (rest, forwarder) = BodyForwarder::new(unread, connection).unzip();
        let answer = Answer { rest, ..answer };
        (Some(Box::new(answer)), forwarder)
    });
    let ended = Message::AttemptEnded {
        attempt,
        report,
        answer,
    };
    (ended, forwarder)
}

/// Classifies an answer; one that carries another request's id counts as broken.
fn classify_answer(answer: &Answer, signals: &Signals, own_id: &str) -> CallEnd {
    let echoed = answer.headers.get(&signals.request_id_header);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != own_id.as_bytes()) {
        return CallEnd::Broken;
    }
    let refused = answer.headers.contains_key(&signals.refused_header);
    if refused && answer.status.as_u16() == 503 {
        return CallEnd::Refused;
    }
    CallEnd::Answered {
        status: answer.status.as_u16(),
    }
}

/// Classifies an error; the transport knows whether any byte of the request was written to a connection.
fn classify_error(error: &ExchangeError) -> CallEnd {
    if !transport::was_sent() {
        return CallEnd::NeverSent;
    }
    match error {
        ExchangeError::Http(ureq::Error::Timeout(_)) => CallEnd::TimedOut,
        ExchangeError::Cancelled => CallEnd::Cancelled,
        ExchangeError::DeadlinePassed
        | ExchangeError::Http(_)
        | ExchangeError::Body(_)
        | ExchangeError::Incomplete => CallEnd::Broken,
    }
}

fn parse_load(signals: &Signals, headers: &HeaderMap) -> Option<LoadReport> {
    let value = headers.get(&signals.load_header)?.to_str().ok()?;
    let in_flight = value.trim().parse().ok()?;
    Some(LoadReport { in_flight })
}
