//! Sends one request to a backend server and reads its answer, completely or up to the rule's size limit.

use std::io::Read;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use kingcuploft::dispatcher::Call;
use ureq::http::{HeaderName, HeaderValue};
use ureq::{Agent, BodyReader};

use super::framing::{Framing, framing};
use super::registry::BackendConnection;
use crate::answer_stream::{BodySendError, BodySender, RemainingBody, body_channel};
use crate::message::{Answer, RequestParts};
use crate::shared::Shared;

/// The most bytes of a body that are read at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// Carries the time until the deadline to the backend server, in ms.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Why there is no complete answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The call was cancelled before it began.
    #[error("cancelled")]
    Cancelled,
    /// The deadline passed before the call began.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// The HTTP library's error.
    #[error(transparent)]
    Http(#[from] ureq::Error),
    /// The body ended too early.
    #[error("the body ended early: {0}")]
    Body(#[from] std::io::Error),
    /// The answer cannot be proved complete.
    #[error("the answer cannot be proved complete")]
    Incomplete,
}

/// An answer, read up to the rule's size limit.
pub(super) struct ReceivedAnswer {
    pub(super) answer: Answer,
    /// The unread rest of a longer body.
    pub(super) unread: Option<UnreadBody>,
}

/// The unread part of a body above the rule's size limit.
pub(super) struct UnreadBody {
    reader: BodyReader<'static>,
    framing: Framing,
    read_bytes: u64,
}

/// Why a streamed answer did not reach its caller completely.
#[derive(Debug, thiserror::Error)]
pub(super) enum ForwardError {
    /// The backend server ended it early.
    #[error("the backend server ended it: {0}")]
    Backend(#[from] ExchangeError),
    /// The caller did not read it.
    #[error("the caller did not read it: {0:?}")]
    Caller(BodySendError),
}

/// The least time until the deadline with which a call starts.
const MIN_CALL_TIME: Duration = Duration::from_millis(1);

/// Sends the request and reads its answer.
///
/// # Errors
///
/// Returns [`ExchangeError`] if there is no complete answer.
pub(super) fn exchange(
    shared: &Shared,
    agent: &Agent,
    call: &Call,
    parts: RequestParts,
    now: Instant,
) -> Result<ReceivedAnswer, ExchangeError> {
    let left = call.deadline.saturating_duration_since(now);
    // A VM that was paused between the claim and this call would otherwise send a protected action long after its
    // caller was answered that the outcome is unknown, possibly after the claim expired, and the action could run
    // twice.
    if left < MIN_CALL_TIME {
        return Err(ExchangeError::DeadlinePassed);
    }
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let method = parts.method.clone();
    let mut request = ureq::http::Request::builder()
        .method(parts.method)
        .uri(format!("http://{}{path}", call.address))
        .body(&parts.body[..])
        .map_err(ureq::Error::from)?;
    *request.headers_mut() = parts.headers;
    let headers = request.headers_mut();
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left.as_millis() as u64));
    let id_header = &call.route.service.signals.request_id_header;
    let id = HeaderValue::from_str(&shared.request_name(call.request));
    if let (Ok(name), Ok(id)) = (id_header.parse::<HeaderName>(), id) {
        headers.insert(name, id);
    }
    let request = agent
        .configure_request(request)
        .timeout_global(Some(left))
        .allow_non_standard_methods(true)
        .build();
    let (head, body) = agent.run(request)?.into_parts();
    let framing = framing(&method, head.status, &head.headers);
    let limit = call.route.rule().whole_answer_bytes;
    let reader = body.into_reader();
    let (body, unread) = read_body(reader, framing, limit)?;
    let answer = Answer {
        status: head.status,
        headers: head.headers,
        body,
        rest: None,
    };
    Ok(ReceivedAnswer { answer, unread })
}

/// Reads a body up to the size limit; the part above it stays unread.
fn read_body(
    mut reader: BodyReader<'static>,
    framing: Framing,
    limit: u64,
) -> Result<(Bytes, Option<UnreadBody>), ExchangeError> {
    let expected = match framing {
        Framing::Undelimited => return Err(ExchangeError::Incomplete),
        Framing::Empty => return Ok((Bytes::new(), None)),
        Framing::Length(length) if length > limit => 0,
        Framing::Length(length) => length,
        Framing::Chunked => limit.saturating_add(1),
    };
    let mut body = Vec::new();
    (&mut reader).take(expected).read_to_end(&mut body)?;
    let read_bytes = body.len() as u64;
    let above = match framing {
        Framing::Length(length) => length > limit,
        _ => read_bytes > limit,
    };
    if above {
        let unread = UnreadBody {
            reader,
            framing,
            read_bytes,
        };
        return Ok((body.into(), Some(unread)));
    }
    read_to_end(&mut reader, framing, read_bytes)?;
    Ok((body.into(), None))
}

/// Reads to the end of the body, which returns the connection to the pool, and checks that the body is complete.
fn read_to_end(
    reader: &mut BodyReader<'static>,
    framing: Framing,
    read_bytes: u64,
) -> Result<(), ExchangeError> {
    let mut byte = [0];
    let more = reader.read(&mut byte)? as u64;
    match framing {
        Framing::Length(length) if length != read_bytes + more => Err(ExchangeError::Incomplete),
        _ => Ok(()),
    }
}

/// Forwards the unread part of a long answer to the caller edge.
pub(super) struct BodyForwarder {
    unread: UnreadBody,
    sender: BodySender,
}

impl BodyForwarder {
    /// Opens the channel for an unread part. Its connection is retired from further calls, so that it can be shut down
    /// at any moment when the caller disconnects.
    pub(super) fn new(
        unread: Option<UnreadBody>,
        connection: Option<Arc<BackendConnection>>,
    ) -> Option<(RemainingBody, Self)> {
        let unread = unread?;
        if let Some(connection) = &connection {
            connection.retire();
        }
        let (sender, rest) = body_channel(connection);
        Some((rest, Self { unread, sender }))
    }

    /// Forwards the unread part to the caller edge.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardError`]; the channel then closes without its end mark, which closes the caller's connection.
    pub(super) fn forward(self, deadline: Instant) -> Result<(), ForwardError> {
        let Self { mut unread, sender } = self;
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let read = unread.reader.read(&mut buffer);
            let read = read.map_err(ExchangeError::from)?;
            if read == 0 {
                break;
            }
            unread.read_bytes += read as u64;
            let data = Bytes::copy_from_slice(&buffer[..read]);
            sender.send(data, deadline).map_err(ForwardError::Caller)?;
        }
        match unread.framing {
            Framing::Length(length) if length != unread.read_bytes => {
                Err(ExchangeError::Incomplete.into())
            }
            _ => sender.end(deadline).map_err(ForwardError::Caller),
        }
    }
}
