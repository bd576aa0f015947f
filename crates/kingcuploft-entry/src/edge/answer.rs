//! Answers to callers: responses of backend servers that are passed on, and responses that this VM generates itself.

use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWrite, AsyncWriteExt};

use super::request::Request;
use crate::http::answer_account::AnswerReservation;
use crate::http::client::Response;
use crate::http::headers::write_header;
use crate::relay::wire::{self, RELAY_HEADER, RelayedAnswer};
use crate::settings::WireNames;

/// The status of a request of which it is unknown whether it has run.
pub(super) const UNKNOWN_OUTCOME_STATUS: u16 = 502;

/// The `Retry-After` of a request whose body exceeds the memory for bodies: the requests that hold it are normally
/// answered by then.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Up to which length a body is copied behind its head, so that both are written at once.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;

/// An answer, without the headers that concern its connection only.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status code.
    pub status: u16,
    /// Its header lines, as they are written.
    head: Vec<u8>,
    body: Vec<u8>,
    /// Whether the request was a `HEAD`, so that the body is left out.
    head_only: bool,
    /// Whether the connection must be closed after the answer.
    pub close: bool,
    /// The memory that is reserved for a server's response.
    _reservation: Option<Rc<AnswerReservation>>,
}

impl Answer {
    /// Builds the answer that passes a server's response on.
    pub fn from_server(request: &Request, response: Response) -> Self {
        let mut head = Vec::with_capacity(256);
        for (name, value) in response.head.headers.end_to_end() {
            if !name.eq_ignore_ascii_case(RELAY_HEADER) {
                write_header(&mut head, name, value);
            }
        }
        Self {
            status: response.head.status,
            head,
            body: response.body,
            head_only: request.head.method == "HEAD",
            close: !request.head.keep_alive,
            _reservation: response.reservation,
        }
    }

    /// Builds an answer of this VM itself to a request that was read.
    pub fn generated(
        request: &Request,
        wire_names: &WireNames,
        status: u16,
        reason: &str,
        retry_after: Option<Duration>,
    ) -> Self {
        let mut head = plain_text_head();
        if let Some(id) = &request.id_bytes {
            write_header(&mut head, wire_names.request_id, id);
        }
        if let Some(after) = retry_after {
            write_retry_after(&mut head, after);
        }
        Self {
            status,
            head,
            body: plain_text_body(reason),
            head_only: request.head.method == "HEAD",
            close: !request.head.keep_alive,
            _reservation: None,
        }
    }

    /// Builds an answer of this VM itself to bytes that are no valid request; the connection is closed after it.
    pub fn unreadable(status: u16, reason: &str) -> Self {
        let mut head = plain_text_head();
        if status == 503 {
            write_retry_after(&mut head, BODY_MEMORY_RETRY_AFTER);
        }
        Self {
            status,
            head,
            body: plain_text_body(reason),
            head_only: false,
            close: true,
            _reservation: None,
        }
    }

    /// Builds an answer of this VM, which exits, to a request of which it is unknown whether it has run or will run.
    pub(super) fn of_exiting_vm(
        wire_names: &WireNames,
        id: Option<&[u8]>,
        head_only: bool,
    ) -> Self {
        let mut head = plain_text_head();
        if let Some(id) = id {
            write_header(&mut head, wire_names.request_id, id);
        }
        Self {
            status: UNKNOWN_OUTCOME_STATUS,
            head,
            body: plain_text_body("this VM exits"),
            head_only,
            close: false,
            _reservation: None,
        }
    }

    /// Adds what the VM that passed the request here is told of its answer.
    pub fn add_relayed_answer(&mut self, told: &RelayedAnswer) {
        write_header(&mut self.head, RELAY_HEADER, &wire::encode(told));
    }

    /// Builds the interim response `100 Continue`, after which the caller sends its body.
    pub fn interim() -> Self {
        Self {
            status: 100,
            head: Vec::new(),
            body: Vec::new(),
            head_only: false,
            close: false,
            _reservation: None,
        }
    }

    /// Returns whether a final answer to the same request follows.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Writes the answer to the connection.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub async fn write_to<W>(&self, writer: &mut W, close: bool) -> std::io::Result<()>
    where
        W: AsyncWrite + Unpin,
    {
        let body: &[u8] = match self.head_only {
            true => &[],
            false => &self.body,
        };
        let mut head = self.head_bytes(close);
        if body.len() <= MAX_COPIED_BODY_BYTES {
            head.extend_from_slice(body);
            return writer.write_all(&head).await;
        }
        writer.write_all(&head).await?;
        writer.write_all(body).await
    }

    fn head_bytes(&self, close: bool) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.head.len() + 96);
        let line = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        out.extend_from_slice(line.as_bytes());
        out.extend_from_slice(&self.head);
        if self.status >= 200 && self.status != 204 && self.status != 304 {
            let length = self.body.len().to_string();
            write_header(&mut out, "Content-Length", length.as_bytes());
        }
        if close {
            write_header(&mut out, "Connection", b"close");
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

fn plain_text_head() -> Vec<u8> {
    let mut head = Vec::with_capacity(128);
    write_header(&mut head, "Content-Type", b"text/plain");
    head
}

fn plain_text_body(text: &str) -> Vec<u8> {
    format!("{text}\n").into_bytes()
}

fn write_retry_after(head: &mut Vec<u8>, after: Duration) {
    let seconds = format!("{:.3}", after.as_secs_f64());
    write_header(head, "Retry-After", seconds.as_bytes());
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
