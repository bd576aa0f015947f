//! Encodes answers as HTTP/1.1 and writes them, complete or with a fault.

use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;

use super::connection::{self, Request};
use super::faults::{AnswerFault, LoadReporting};
use super::state::State;

/// The size limit of the answers that are remembered for [`AnswerFault::Crossed`].
const MAX_REMEMBERED_BYTES: usize = 256;

/// An answer before any fault is applied.
#[derive(Debug)]
pub(super) struct Answer {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

impl Answer {
    pub(super) fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub(super) fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// What happens to the connection after an answer.
pub(super) enum AfterAnswer {
    /// It is kept for further requests.
    KeepAlive,
    /// It is closed.
    Close,
}

/// Returns the load that the server reports, if any, given its true load.
pub(super) fn reported_load(state: &State, truth: u32) -> Option<u32> {
    match state.faults.borrow().load {
        LoadReporting::Truthful => Some(truth),
        LoadReporting::Always(load) => Some(load),
        LoadReporting::Silent => None,
    }
}

/// Writes an answer, with the fault applied.
pub(super) async fn write(
    state: &State,
    stream: &mut TcpStream,
    request: &Request,
    answer: Answer,
    fault: Option<AnswerFault>,
) -> AfterAnswer {
    let encoded = EncodedAnswer::new(state, request, answer, fault);
    let whole = encoded.bytes();
    let head = encoded.head.len();
    let (bytes, next) = match fault {
        Some(AnswerFault::Late(late)) => {
            tokio::time::sleep(late).await;
            (&whole[..], AfterAnswer::KeepAlive)
        }
        Some(AnswerFault::Never) => std::future::pending().await,
        Some(AnswerFault::CutRequest | AnswerFault::CutBeforeHead) => return AfterAnswer::Close,
        Some(AnswerFault::CutInHead) => (&whole[..head / 2], AfterAnswer::Close),
        Some(AnswerFault::CutInBody) => (
            &whole[..head + (whole.len() - head) / 2],
            AfterAnswer::Close,
        ),
        Some(AnswerFault::CutInChunks) => (&whole[..whole.len() - 5], AfterAnswer::Close),
        Some(AnswerFault::NoLength) => (&whole[..], AfterAnswer::Close),
        Some(AnswerFault::Garbage) => (
            &b"\x16\x03\x01\x02\x00garbage\r\n\r\n"[..],
            AfterAnswer::Close,
        ),
        Some(AnswerFault::Dripped(pause)) => return drip(stream, &whole, pause).await,
        Some(AnswerFault::Duplicated) => {
            let two_copies = [&whole[..], &whole[..]].concat();
            return match connection::write(stream, &two_copies).await {
                true => AfterAnswer::KeepAlive,
                false => AfterAnswer::Close,
            };
        }
        Some(
            AnswerFault::Crossed
            | AnswerFault::Oversized(_)
            | AnswerFault::Chunked
            | AnswerFault::Redirect,
        )
        | None => (&whole[..], AfterAnswer::KeepAlive),
    };
    match connection::write(stream, bytes).await {
        true => next,
        false => AfterAnswer::Close,
    }
}

/// Writes bytes one by one, with a pause after each.
async fn drip(stream: &mut TcpStream, bytes: &[u8], pause: Duration) -> AfterAnswer {
    for byte in bytes.chunks(1) {
        if !connection::write(stream, byte).await {
            return AfterAnswer::Close;
        }
        tokio::time::sleep(pause).await;
    }
    AfterAnswer::KeepAlive
}

/// The head and body of an answer as sent.
struct EncodedAnswer {
    head: Vec<u8>,
    body: Bytes,
}

impl EncodedAnswer {
    fn new(state: &State, request: &Request, answer: Answer, fault: Option<AnswerFault>) -> Self {
        let answer = with_signals(state, answer);
        let answer = with_content(state, request, answer, fault);
        let chunked = matches!(fault, Some(AnswerFault::Chunked | AnswerFault::CutInChunks));
        let bodyless = matches!(answer.status, 204 | 304);
        let length = answer.body.len();
        let answer = match fault {
            _ if chunked => answer.header("transfer-encoding", "chunked"),
            Some(AnswerFault::NoLength) => answer.header("connection", "close"),
            _ if bodyless => answer,
            _ => answer.header("content-length", length.to_string()),
        };
        let body = match chunked {
            _ if request.method == "HEAD" || bodyless => Bytes::new(),
            true => chunk(&answer.body),
            false => answer.body.clone(),
        };
        let head = answer.head();
        Self { head, body }
    }

    fn bytes(&self) -> Vec<u8> {
        [&self.head[..], &self.body[..]].concat()
    }
}

impl Answer {
    fn head(&self) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} Answer\r\n", self.status);
        for (name, value) in &self.headers {
            head.extend([name, ": ", value, "\r\n"]);
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// Adds the load and drain headers that the server reports.
fn with_signals(state: &State, answer: Answer) -> Answer {
    let answer = match reported_load(state, state.load.now()) {
        Some(load) => answer.header("x-load-in-flight", load.to_string()),
        None => answer,
    };
    match state.faults.borrow().draining {
        true => answer.header("x-draining", "1"),
        false => answer,
    }
}

/// Adds the id of the request, or replaces the content as the fault requires.
fn with_content(
    state: &State,
    request: &Request,
    answer: Answer,
    fault: Option<AnswerFault>,
) -> Answer {
    let id = request.header("x-request-id");
    match fault {
        Some(AnswerFault::Crossed) => {
            let (id, body) = state.last_answer();
            let answer = answer.header("x-request-id", id);
            return Answer {
                body: body.into(),
                ..answer
            };
        }
        None if answer.body.len() < MAX_REMEMBERED_BYTES => {
            let body = String::from_utf8_lossy(&answer.body);
            state.remember(id.unwrap_or_default(), &body);
        }
        _ => {}
    }
    let answer = match id {
        Some(id) => answer.header("x-request-id", id),
        None => answer,
    };
    match fault {
        Some(AnswerFault::Oversized(bytes)) => Answer {
            body: vec![b'x'; bytes].into(),
            ..answer
        },
        Some(AnswerFault::Redirect) => Answer {
            status: 302,
            ..answer
                .header("location", "/elsewhere")
                .header("set-cookie", "session=1")
                .header("content-encoding", "gzip")
        },
        _ => answer,
    }
}

/// Encodes a body as one chunk and the final empty one.
fn chunk(body: &[u8]) -> Bytes {
    let size = format!("{:x}\r\n", body.len());
    [size.as_bytes(), body, b"\r\n0\r\n\r\n"].concat().into()
}
