//! Receives one response on a connection, within bounds on its memory.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::time::Instant;

use super::{Connection, Response, keepalive_timeout};
use crate::clock;
use crate::http::answer_account::{AnswerAccount, AnswerReservation, NoRoom};
use crate::http::body::{BodyError, BodyReader, Framing};
use crate::http::head::{self, ResponseHead};
use crate::http::head_scan::HeadScan;

/// The most bytes of the heads of a response and of the interim responses before it.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The most interim responses before a response: a server that reports its progress each second stays below it.
const MAX_INTERIM_RESPONSES: usize = 32;

/// How long the heads of a server's response and of the interim responses before it may take, each from its first byte
/// on, while bytes go on arriving. Servers write a head at once, so it arrives within a few round trips.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a response was given up that may have gone on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GiveUpReason {
    /// Too many interim responses came before it.
    InterimResponses,
    /// Its head, with those of interim responses, is too long.
    HeadTooLong,
    /// Its head took too long.
    SlowHead,
    /// Its body is, or is announced to be, too long.
    BodyTooLong,
    /// The framing of its body is many times as long as the body.
    Framing,
    /// The memory for responses is used up, and this one held most of it, or is announced to be longer.
    NoRoom,
}

impl GiveUpReason {
    /// Returns the name used in logs and counters.
    pub fn label(self) -> &'static str {
        match self {
            Self::InterimResponses => "too many interim answers",
            Self::HeadTooLong => "head without end",
            Self::SlowHead => "head too slow",
            Self::BodyTooLong => "body too long",
            Self::Framing => "framing without end",
            Self::NoRoom => "no memory for the answer",
        }
    }
}

/// Why no complete response was received.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The connection closed before a response began.
    #[error("the connection ended without a response")]
    Closed,
    /// The connection closed within a response.
    #[error("the connection ended within a response")]
    Truncated,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Failed(std::io::Error),
    /// The bytes received are no valid response.
    #[error("the bytes received are no HTTP response")]
    Malformed,
    /// The response was given up after so many bytes.
    #[error("the response was given up after {bytes} bytes: {}", reason.label())]
    GivenUp {
        /// Why.
        reason: GiveUpReason,
        /// How many bytes of it have arrived.
        bytes: usize,
    },
}

/// Why the receipt of a response ended.
enum Failure {
    GivenUp(GiveUpReason),
    Receive(ReceiveError),
}

impl From<BodyError> for Failure {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Malformed => Self::Receive(ReceiveError::Malformed),
            BodyError::TooLong => Self::GivenUp(GiveUpReason::BodyTooLong),
            BodyError::Framing => Self::GivenUp(GiveUpReason::Framing),
        }
    }
}

impl From<NoRoom> for Failure {
    fn from(_: NoRoom) -> Self {
        Self::GivenUp(GiveUpReason::NoRoom)
    }
}

impl From<ReceiveError> for Failure {
    fn from(error: ReceiveError) -> Self {
        Self::Receive(error)
    }
}

impl From<GiveUpReason> for Failure {
    fn from(reason: GiveUpReason) -> Self {
        Self::GivenUp(reason)
    }
}

impl Connection {
    /// Receives the response to a request with this method, and skips interim responses.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response is received.
    pub async fn receive(
        &mut self,
        method: &str,
        max_bytes: usize,
    ) -> Result<Response, ReceiveError> {
        let receiving = Receiving::begin(self, None, None);
        receiving.receive(method, max_bytes).await
    }

    /// Receives a server's response as [`Connection::receive`] does, with its memory reserved in an account, and its
    /// head in bounded time.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response is received.
    pub async fn receive_from_server(
        &mut self,
        method: &str,
        max_bytes: usize,
        account: &AnswerAccount,
    ) -> Result<Response, ReceiveError> {
        let reservation = Rc::new(account.reserve());
        let receiving = Receiving::begin(self, Some(reservation), Some(HEAD_TIMEOUT));
        receiving.receive(method, max_bytes).await
    }

    /// Frees the buffer of a connection on which the receipt of a response has failed.
    fn abandon(&mut self) {
        self.mark_unusable();
        self.buffer = BytesMut::new();
    }
}

/// A response in receipt.
struct Receiving<'a> {
    connection: &'a mut Connection,
    reservation: Option<Rc<AnswerReservation>>,
    /// How long the heads may still take, each from its first byte on.
    head_time_left: Option<Duration>,
    /// The bytes that have arrived.
    received_bytes: usize,
    /// The bytes of the heads so far.
    head_bytes: usize,
}

impl<'a> Receiving<'a> {
    fn begin(
        connection: &'a mut Connection,
        reservation: Option<Rc<AnswerReservation>>,
        head_time_left: Option<Duration>,
    ) -> Self {
        Self {
            received_bytes: connection.buffer.len(),
            connection,
            reservation,
            head_time_left,
            head_bytes: 0,
        }
    }

    async fn receive(mut self, method: &str, max_bytes: usize) -> Result<Response, ReceiveError> {
        let received = self.response(method, max_bytes).await;
        let bytes = self.received_bytes;
        received.map_err(|failure| {
            self.connection.abandon();
            match failure {
                Failure::Receive(error) => error,
                Failure::GivenUp(reason) => ReceiveError::GivenUp { reason, bytes },
            }
        })
    }

    async fn response(&mut self, method: &str, max_bytes: usize) -> Result<Response, Failure> {
        let head = self.final_head(method).await?;
        let body = self.body(&head, max_bytes).await?;
        if let Some(reservation) = &self.reservation {
            reservation.complete();
        }
        self.end(&head);
        Ok(Response {
            head,
            body,
            reservation: self.reservation.take(),
        })
    }

    async fn final_head(&mut self, method: &str) -> Result<ResponseHead, Failure> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.next_head(method).await?;
            if !head.is_interim() {
                return Ok(head);
            }
        }
        Err(GiveUpReason::InterimResponses.into())
    }

    async fn next_head(&mut self, method: &str) -> Result<ResponseHead, Failure> {
        let mut scan = HeadScan::default();
        let mut begun_at = None;
        loop {
            if self.skip_empty_lines() > 0 {
                begun_at.get_or_insert_with(Instant::now);
            }
            let parsed = match scan.is_parse_due(&self.connection.buffer) {
                true => head::parse_response(&self.connection.buffer, method),
                false => Ok(None),
            };
            let parsed = parsed.map_err(|_| ReceiveError::Malformed)?;
            let (head, length) = parsed.unzip();
            self.head_bytes += length.unwrap_or(0);
            let unparsed = match &head {
                Some(_) => 0,
                None => self.connection.buffer.len(),
            };
            if self.head_bytes + unparsed > MAX_HEAD_BYTES {
                return Err(GiveUpReason::HeadTooLong.into());
            }
            if let Some(head) = head {
                self.count_head_time(begun_at);
                self.connection.buffer.advance(length.unwrap_or(0));
                return Ok(head);
            }
            if unparsed > 0 {
                begun_at.get_or_insert_with(Instant::now);
            }
            self.check_head_time(begun_at)?;
            self.read_head_bytes().await?;
        }
    }

    /// Fails if a head goes on for too long. A server that has fallen silent is waited for.
    fn check_head_time(&self, begun_at: Option<Instant>) -> Result<(), GiveUpReason> {
        let (Some(begun_at), Some(left)) = (begun_at, self.head_time_left) else {
            return Ok(());
        };
        match begun_at.elapsed() > left {
            true => Err(GiveUpReason::SlowHead),
            false => Ok(()),
        }
    }

    fn count_head_time(&mut self, begun_at: Option<Instant>) {
        let took = begun_at.map_or(Duration::ZERO, |at| at.elapsed());
        self.head_time_left = self.head_time_left.map(|left| left.saturating_sub(took));
    }

    /// Skips the empty lines before a head; returns how many bytes they are.
    fn skip_empty_lines(&mut self) -> usize {
        let buffer = &mut self.connection.buffer;
        let before = buffer.len();
        loop {
            match &buffer[..] {
                [b'\n', ..] => buffer.advance(1),
                [b'\r', b'\n', ..] => buffer.advance(2),
                _ => break,
            }
        }
        let skipped = before - buffer.len();
        self.head_bytes += skipped;
        skipped
    }

    async fn read_head_bytes(&mut self) -> Result<(), Failure> {
        let has_begun = !self.connection.buffer.is_empty();
        self.make_room(self.connection.buffer.capacity()).await?;
        let read = self.read().await?;
        match (read, has_begun) {
            (0, true) => Err(ReceiveError::Truncated.into()),
            (0, false) => Err(ReceiveError::Closed.into()),
            _ => Ok(()),
        }
    }

    async fn body(&mut self, head: &ResponseHead, max_bytes: usize) -> Result<Vec<u8>, Failure> {
        let mut reader = BodyReader::new(head.framing, max_bytes)?;
        if let (Framing::Length(length), Some(reservation)) = (head.framing, &self.reservation) {
            reservation.announce(length)?;
        }
        loop {
            let buffer = &self.connection.buffer;
            let body_capacity = reader.capacity_with(buffer.len());
            self.make_room(buffer.capacity() + body_capacity).await?;
            if reader.read(&mut self.connection.buffer)? {
                break;
            }
            if self.read().await? == 0 {
                match reader.is_complete_at_close() {
                    true => break,
                    false => return Err(ReceiveError::Truncated.into()),
                }
            }
        }
        Ok(reader.into_body())
    }

    /// Prepares the connection for the next request.
    fn end(&mut self, head: &ResponseHead) {
        let connection = &mut *self.connection;
        connection.used = clock::now();
        connection.keepalive_timeout = keepalive_timeout(head);
        connection.reusable = head.keep_alive && connection.buffer.is_empty();
        if connection.buffer.is_empty() {
            // Hundreds of idle connections are kept, and their buffers would take much memory.
            connection.buffer = BytesMut::new();
        }
    }

    /// Reserves memory for the heads and so many bytes more.
    async fn make_room(&self, bytes: usize) -> Result<(), Failure> {
        if let Some(reservation) = &self.reservation {
            reservation.grow_to(self.head_bytes + bytes).await?;
        }
        Ok(())
    }

    async fn read(&mut self) -> Result<usize, Failure> {
        let read = match &self.reservation {
            None => self.connection.read().await?,
            Some(reservation) => tokio::select! {
                biased;
                read = self.connection.read() => read?,
                () = reservation.given_up() => return Err(NoRoom.into()),
            },
        };
        self.received_bytes += read;
        Ok(read)
    }
}
