//! The first VM's side: passes a request to another VM and validates its answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::attempts::AttemptEnd;

use super::wire::{self, RELAY_HEADER, RelayedAnswer, RelayedRequest};
use crate::context::Context;
use crate::edge::request::Request;
use crate::http::client::{Connection, Response, SendError};
use crate::http::headers::write_header;
use crate::reach::RelayGuard;
use crate::upstream::exchange::{self, SERVED_STATUSES};
use crate::upstream::server_signals;

/// How long opening a connection to another VM may take: many round trips of a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The status by which a VM says that a request has not run.
const NOT_RUN_STATUS: u16 = 503;

/// How a request that was passed to another VM ended.
#[derive(Debug)]
pub struct RelayOutcome {
    /// How it ended, as an attempt of this VM.
    pub end: AttemptEnd,
    /// The answer, if it is complete and of this request.
    pub response: Option<Response>,
    /// What the other VM tells of it; what must be assumed if it tells nothing.
    pub answer: RelayedAnswer,
    /// The details of the end, for logs and for the answer to the caller.
    pub detail: &'static str,
}

impl RelayOutcome {
    /// An end without an answer.
    fn without_answer(end: AttemptEnd, told: &RelayedRequest, detail: &'static str) -> Self {
        let ran = match end.may_have_run() {
            true => told.attempts,
            false => 0,
        };
        let answer = RelayedAnswer {
            server: None,
            arrived: ran,
            ran,
        };
        Self {
            end,
            response: None,
            answer,
            detail,
        }
    }
}

/// Passes a request to the VM at `address`. Dropping the future closes the connection, and the other VM cancels the
/// request.
pub async fn send(
    context: &Rc<Context>,
    address: SocketAddr,
    request: &Request,
    told: &RelayedRequest,
    left: Duration,
) -> RelayOutcome {
    let _in_flight = RelayGuard::begin(context, &told.service, address);
    let exchange = exchange(context, address, request, told, left);
    match tokio::time::timeout(left, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => RelayOutcome::without_answer(AttemptEnd::TimedOut, told, "deadline passed"),
    }
}

async fn exchange(
    context: &Rc<Context>,
    address: SocketAddr,
    request: &Request,
    told: &RelayedRequest,
    left: Duration,
) -> RelayOutcome {
    let started_at = crate::clock::now();
    let without_answer = |end, detail| RelayOutcome::without_answer(end, told, detail);
    let opening = Connection::open_to_vm(&*context.network, address);
    let Ok(Ok(mut connection)) = tokio::time::timeout(CONNECT_TIMEOUT, opening).await else {
        return without_answer(AttemptEnd::Unsent, "no connection to the other VM");
    };
    let left = left.saturating_sub(crate::clock::since(started_at));
    let bytes = write_request(context, request, told, left);
    match connection.send(&bytes).await {
        Ok(()) => {}
        Err(SendError::NothingSent(_)) => {
            return without_answer(AttemptEnd::Unsent, "the other VM closed the connection");
        }
        Err(SendError::PartlySent(_)) => {
            return without_answer(AttemptEnd::Lost, "broke while sending to the other VM");
        }
    }
    let sender = address.to_string();
    let received = exchange::receive_own(context, &mut connection, &sender, request).await;
    match received {
        Ok(response) => classify(context, response, told),
        Err((end, detail)) => without_answer(end, detail),
    }
}

fn write_request(
    context: &Context,
    request: &Request,
    told: &RelayedRequest,
    left: Duration,
) -> Vec<u8> {
    let mut out = exchange::write_forwarded_head(context, request, left);
    write_header(&mut out, RELAY_HEADER, &wire::encode(told));
    write_header(&mut out, "Connection", b"close");
    exchange::write_body(&mut out, request);
    out
}

/// Returns the outcome that an answer stands for. An answer that doesn't say how it came about proves nothing.
fn classify(context: &Context, response: Response, told: &RelayedRequest) -> RelayOutcome {
    let Some(answer) = wire::decode::<RelayedAnswer>(&response.head.headers) else {
        let detail = "the other VM's answer is unreadable";
        return RelayOutcome::without_answer(AttemptEnd::Broken, told, detail);
    };
    let is_signed = response.head.headers.contains(context.wire_names.signature);
    let (end, detail) = match response.head.status {
        status if is_signed && SERVED_STATUSES.contains(&status) => {
            (AttemptEnd::Succeeded, "answered")
        }
        _ if is_signed => (AttemptEnd::Failed, "server failed"),
        _ if answer.ran == 0 && answer.arrived == 0 => {
            (AttemptEnd::Unsent, "the other VM did not send it")
        }
        NOT_RUN_STATUS if answer.ran == 0 => (AttemptEnd::NotRun, "no server ran it"),
        _ => (AttemptEnd::Broken, "no answer at the other VM"),
    };
    if let Some(upstream) = answer
        .server
        .as_ref()
        .and_then(|name| context.upstream(name))
    {
        server_signals::apply_answer(context, &upstream, &response);
    }
    RelayOutcome {
        end,
        response: Some(response),
        answer,
        detail,
    }
}
