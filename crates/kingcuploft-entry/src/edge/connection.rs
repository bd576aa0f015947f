//! One caller's connection: HTTP/1.1 with pipelining.
//!
//! Requests are read and served as they arrive, also while earlier ones are unanswered, and answered in the order of
//! their arrival. A caller that closes the connection is noticed at once, and work for it alone is cancelled. During a
//! graceful shutdown, requests that were taken are answered; the last answer announces that the connection closes, and
//! nothing after it is taken.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadHalf};
use tokio::sync::{mpsc, oneshot};

use super::answer::Answer;
use super::answer_writer::write_answers;
use super::caller_disconnect::CallerDisconnect;
use super::caller_limit::OpenConnection;
use super::connection_state::ConnectionState;
use super::dispatch;
use super::idle_callers::IdleGuard;
use super::memory_account::Reservation;
use super::pending_answer::{AnsweredRequest, PendingAnswer};
use super::request::Request;
use crate::context::Context;
use crate::http::body::{BodyError, BodyReader};
use crate::http::head::{self, RequestHead};
use crate::relay::wire;
use kingcuploft::entry::configuration::Limits;
use kingcuploft::entry::shutdown::ConnectionUse;

/// The most requests of one connection that are served at the same time; later ones stay unread.
const MAX_PIPELINED_REQUESTS: usize = 32;

/// How many bytes are read at once.
const READ_BUFFER_BYTES: usize = 4096;

/// How much longer than allowed a connection may be idle, so that a request that the caller sends within the
/// allowed time does not meet a closed connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// How long a closing connection is read on after its last answer: closing with unread bytes would reset the connection
/// before the caller has received that answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Who sends the requests of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sender {
    /// A caller.
    Caller,
    /// Another VM, which passes on requests of its callers.
    Vm,
}

/// Serves one connection of a caller until it is closed. It counts as open from this call on.
pub fn serve<S>(context: Rc<Context>, stream: S) -> impl Future<Output = ()>
where
    S: AsyncRead + AsyncWrite + 'static,
{
    let counted = OpenConnection::count(&context);
    async move {
        serve_sender(context, stream, Sender::Caller).await;
        drop(counted);
    }
}

/// Serves one connection over which another VM passes on a request, until it is closed.
pub async fn serve_vm<S>(context: Rc<Context>, stream: S)
where
    S: AsyncRead + AsyncWrite + 'static,
{
    let _counted = OpenConnection::count(&context);
    serve_sender(context, stream, Sender::Vm).await;
}

async fn serve_sender<S>(context: Rc<Context>, stream: S, sender: Sender)
where
    S: AsyncRead + AsyncWrite + 'static,
{
    let (reader, writer) = tokio::io::split(stream);
    let (answers, queue) = mpsc::channel(MAX_PIPELINED_REQUESTS);
    let state = Rc::new(ConnectionState::default());
    let writing = write_answers(context.clone(), writer, queue, state.clone());
    let writing = tokio::task::spawn_local(writing);
    let mut reading = RequestReader {
        context: context.clone(),
        head_memory: context.head_memory.reserve(),
        sender,
        reader,
        buffer: BytesMut::new(),
        state,
        answers,
        disconnect: Rc::default(),
    };
    let end = reading.read_requests().await;
    match end {
        ReadEnd::CallerLeft => {
            reading.disconnect.set();
            writing.abort();
        }
        ReadEnd::Closing => reading.drain().await,
        ReadEnd::GivesWay => {}
    }
    drop(reading);
    let _ = writing.await;
}

enum ReadEnd {
    CallerLeft,
    Closing,
    /// The connection is idle and closed at once, as others need its descriptor.
    GivesWay,
}

struct RequestReader<S> {
    context: Rc<Context>,
    sender: Sender,
    reader: ReadHalf<S>,
    buffer: BytesMut,
    /// The memory that is reserved for a long head in receipt.
    head_memory: Reservation,
    state: Rc<ConnectionState>,
    answers: mpsc::Sender<PendingAnswer>,
    disconnect: Rc<CallerDisconnect>,
}

enum ReadOutcome {
    /// Bytes have arrived, or it may be that no further request is taken.
    GoOn,
    CallerLeft,
    Idle,
}

/// The head of a request, and its length as it was read.
struct ReadHead {
    head: RequestHead,
    length: usize,
}

/// What a read waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Awaited {
    /// The first byte of a request.
    Request,
    /// More bytes of a request's head.
    Head,
    /// More bytes of a request's body.
    Body,
}

impl<S: AsyncRead> RequestReader<S> {
    async fn read_requests(&mut self) -> ReadEnd {
        while self.takes_request() {
            let limits = self.limits();
            let parsed = head::parse_request(&self.buffer);
            match parsed {
                Ok(Some((_, length))) if length > limits.header_bytes => {
                    return self.refuse(431, "the head is too long").await;
                }
                Ok(Some((head, length))) => {
                    let _ = self.buffer.split_to(length);
                    self.head_memory = self.context.head_memory.reserve();
                    let head = ReadHead { head, length };
                    if let Some(end) = self.read_body_and_serve(head, &limits).await {
                        return end;
                    }
                }
                Ok(None) if self.buffer.len() > limits.header_bytes => {
                    return self.refuse(431, "the head is too long").await;
                }
                Ok(None) if !self.has_memory_for_head() => {
                    return self.refuse(503, "no memory for the head").await;
                }
                Ok(None) => {
                    if let Some(end) = self.read_head_bytes(&limits).await {
                        return end;
                    }
                }
                Err(error) => return self.refuse(400, &error.to_string()).await,
            }
        }
        ReadEnd::Closing
    }

    fn limits(&self) -> Limits {
        let configuration = self.context.configuration();
        configuration.map(|c| c.limits).unwrap_or_default()
    }

    /// Returns whether a further request is taken: the last answer has not announced the close, and a graceful shutdown of
    /// the VM lets it.
    fn takes_request(&self) -> bool {
        let phase = self.context.shutdown.phase();
        !self.state.closing.get() && phase.takes_request(self.connection_use())
    }

    /// Returns whether a request whose body has arrived is behind an answer that announces the close, or will be: its
    /// caller takes it for unread and sends it again, whatever it does.
    fn is_behind_close(&self) -> bool {
        let is_behind = self.state.unanswered() > 0;
        self.state.closing.get() || (is_behind && !self.takes_request())
    }

    fn connection_use(&self) -> ConnectionUse {
        // Another VM opens a connection for a request that it sends at once.
        let is_arriving = !self.buffer.is_empty() || self.sender == Sender::Vm;
        match (self.state.unanswered(), is_arriving) {
            (0, false) => ConnectionUse::Idle,
            (0, true) => ConnectionUse::RequestArriving,
            _ => ConnectionUse::Unanswered,
        }
    }

    /// Reserves memory for a head that does not fit into the buffer that each connection has.
    fn has_memory_for_head(&mut self) -> bool {
        let is_long = self.buffer.len() >= READ_BUFFER_BYTES;
        !is_long || self.head_memory.grow_to(self.buffer.capacity())
    }

    /// Reads more bytes of a request head, or waits for the first.
    async fn read_head_bytes(&mut self, limits: &Limits) -> Option<ReadEnd> {
        let (awaited, timeout) = match self.buffer.is_empty() {
            true => (
                Awaited::Request,
                limits.idle_timeout.saturating_add(IDLE_TIMEOUT_MARGIN),
            ),
            false => (Awaited::Head, limits.header_timeout),
        };
        let waiting = self.count_if_waiting(awaited);
        let outcome = self.read(timeout, awaited).await;
        drop(waiting);
        let gives_way = self.state.take_gives_way();
        match (outcome, awaited) {
            (ReadOutcome::GoOn, _) if gives_way && self.buffer.is_empty() => {
                Some(ReadEnd::GivesWay)
            }
            (ReadOutcome::GoOn, _) => None,
            (ReadOutcome::CallerLeft, _) => Some(ReadEnd::CallerLeft),
            (ReadOutcome::Idle, Awaited::Request) if self.state.unanswered() > 0 => None,
            (ReadOutcome::Idle, Awaited::Request) => Some(ReadEnd::Closing),
            (ReadOutcome::Idle, _) => Some(self.refuse(408, "the head took too long").await),
        }
    }

    /// Counts a caller's connection among those that may give way once they are idle, while it waits for a request.
    fn count_if_waiting(&self, awaited: Awaited) -> Option<IdleGuard> {
        let may_be_idle = awaited == Awaited::Request && self.sender == Sender::Caller;
        may_be_idle.then(|| IdleGuard::count(&self.context, &self.state))
    }

    /// Reads more bytes. Unless these are of a body, the next phase of a graceful shutdown of the VM and an answer that
    /// announces the close end the wait.
    async fn read(&mut self, timeout: Duration, awaited: Awaited) -> ReadOutcome {
        self.buffer.reserve(READ_BUFFER_BYTES);
        let shutdown = self.context.shutdown.changed.notified();
        let wake = self.state.wake.notified();
        let reading = self.reader.read_buf(&mut self.buffer);
        tokio::select! {
            biased;
            read = reading => match read {
                Ok(0) | Err(_) => ReadOutcome::CallerLeft,
                Ok(_) => ReadOutcome::GoOn,
            },
            () = shutdown, if awaited != Awaited::Body => ReadOutcome::GoOn,
            () = wake, if awaited != Awaited::Body => ReadOutcome::GoOn,
            () = tokio::time::sleep(timeout) => ReadOutcome::Idle,
        }
    }

    async fn read_body_and_serve(&mut self, read: ReadHead, limits: &Limits) -> Option<ReadEnd> {
        let ReadHead { head, length } = read;
        let mut reader = match BodyReader::new(head.framing, limits.body_bytes) {
            Ok(reader) => reader,
            Err(_) => return Some(self.refuse(413, "the body is too long").await),
        };
        let expects = head.headers.has_token("expect", "100-continue");
        if expects && self.buffer.is_empty() {
            self.send_continue().await;
        }
        let mut reservation = self.context.body_memory.reserve();
        loop {
            let whole = reader.read(&mut self.buffer);
            if !reservation.grow_to(reader.bytes_read()) {
                return Some(self.refuse(503, "no memory for the body").await);
            }
            match whole {
                Ok(true) => break,
                Ok(false) => {}
                Err(BodyError::TooLong) => {
                    return Some(self.refuse(413, "the body is too long").await);
                }
                Err(error) => return Some(self.refuse(400, &error.to_string()).await),
            }
            match self.read(limits.idle_timeout, Awaited::Body).await {
                ReadOutcome::GoOn => {}
                ReadOutcome::CallerLeft => return Some(ReadEnd::CallerLeft),
                ReadOutcome::Idle => return Some(self.refuse(408, "the body took too long").await),
            }
        }
        if self.is_behind_close() {
            return Some(ReadEnd::Closing);
        }
        let relayed = match self.sender {
            Sender::Caller => None,
            Sender::Vm => match wire::decode(&head.headers) {
                Some(relayed) => Some(relayed),
                None => return Some(self.refuse(400, "no relayed request").await),
            },
        };
        let wire_names = &self.context.wire_names;
        let request = Request::new(head, reader.into_body(), reservation, wire_names, relayed);
        self.serve_request(request, length).await
    }

    async fn serve_request(&mut self, request: Request, head_length: usize) -> Option<ReadEnd> {
        let (answer, pending) = self.expect_answer(AnsweredRequest::of(&request));
        let is_last = !request.head.keep_alive;
        let (context, disconnect) = (self.context.clone(), self.disconnect.clone());
        let serving = dispatch::serve(context, request, disconnect, answer);
        let mut reservation = self.context.request_memory.reserve();
        if !reservation.grow_to(size_of_val(&serving) + head_length) {
            drop(serving);
            return Some(self.refuse(503, "no memory for the request").await);
        }
        self.state.request_started();
        tokio::task::spawn_local(async move {
            serving.await;
            drop(reservation);
        });
        if self.answers.send(pending).await.is_err() {
            return Some(ReadEnd::CallerLeft);
        }
        if is_last {
            self.state.closing.set(true);
        }
        None
    }

    /// Returns the two ends of an answer that is due from now on.
    fn expect_answer(&self, request: AnsweredRequest) -> (oneshot::Sender<Answer>, PendingAnswer) {
        let (answer, receiver) = oneshot::channel();
        let pending = PendingAnswer::new(&self.context, request, receiver);
        (answer, pending)
    }

    /// Sends `100 Continue`, which answers no request. The writer is idle then, as callers that expect it wait for it;
    /// where the writer is busy, the caller sends the body without it.
    async fn send_continue(&mut self) {
        let (answer, pending) = self.expect_answer(AnsweredRequest::default());
        if self.answers.send(pending).await.is_ok() {
            let _ = answer.send(Answer::interim());
        }
    }

    async fn refuse(&mut self, status: u16, reason: &str) -> ReadEnd {
        tracing::info!(event = "unreadable_request", status, reason);
        let (answer, pending) = self.expect_answer(AnsweredRequest::default());
        self.state.request_started();
        if self.answers.send(pending).await.is_ok() {
            let _ = answer.send(Answer::unreadable(status, reason));
        }
        ReadEnd::Closing
    }

    /// Discards bytes until the caller has closed the connection.
    async fn drain(&mut self) {
        self.state.closing.set(true);
        let (sender, _) = mpsc::channel(1);
        drop(std::mem::replace(&mut self.answers, sender));
        loop {
            self.buffer.clear();
            let timeout = match self.state.unanswered() {
                0 => LINGER_TIMEOUT,
                _ => Duration::from_secs(30),
            };
            self.buffer.reserve(READ_BUFFER_BYTES);
            let reading = self.reader.read_buf(&mut self.buffer);
            match tokio::time::timeout(timeout, reading).await {
                Ok(Ok(read)) if read > 0 => {}
                Ok(_) if self.state.unanswered() > 0 => {
                    self.disconnect.set();
                    return;
                }
                _ => return,
            }
        }
    }
}
