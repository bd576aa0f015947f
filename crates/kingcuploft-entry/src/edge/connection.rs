//! One caller's connection.
//!
//! Requests are read and served as they come, also while earlier ones are unanswered, and answered
//! in their order. A caller that closes is noticed at once, and what only it waits for is cancelled.
//! At a planned stop, requests that were read are answered; the last answer says that the connection
//! closes, and what comes behind it is not read.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::{Notify, mpsc, oneshot};

use super::answer::Answer;
use super::caller_disconnect::CallerDisconnect;
use super::dispatch;
use super::request::Request;
use crate::context::Context;
use crate::http::body::{BodyError, BodyReader};
use crate::http::head::{self, RequestHead};
use kingcuploft::entry::configuration::Limits;

/// The most requests of one connection that are served at once; later ones stay unread.
const MAX_PIPELINED_REQUESTS: usize = 32;

/// The bytes read at once.
const READ_BUFFER_BYTES: usize = 4096;

/// How much longer than allowed a connection may be idle, so that a request that leaves its caller
/// within the time is not met by a close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// How long a closing connection is drained: what the caller sent meanwhile must not reset the
/// connection before the last answer has reached it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1000);

/// The standing of a connection, shared by its reader and its writer.
#[derive(Debug, Default)]
struct ConnectionState {
    /// No further request is taken.
    closing: Cell<bool>,
    /// Requests that are not answered.
    unanswered: Cell<usize>,
    /// Wakes the reader when the connection closes.
    wake: Notify,
}

impl ConnectionState {
    fn request_started(&self) {
        self.unanswered.set(self.unanswered.get() + 1);
    }

    fn request_finished(&self) {
        self.unanswered.set(self.unanswered.get() - 1);
    }

    fn close(&self) {
        self.closing.set(true);
        self.wake.notify_waiters();
    }
}

/// Serves one connection until it ends.
pub async fn serve<S>(context: Rc<Context>, stream: S)
where
    S: AsyncRead + AsyncWrite + 'static,
{
    context.callers.set(context.callers.get() + 1);
    let (reader, writer) = tokio::io::split(stream);
    let (answers, queue) = mpsc::channel(MAX_PIPELINED_REQUESTS);
    let state = Rc::new(ConnectionState::default());
    let writing = write_answers(context.clone(), writer, queue, state.clone());
    let writing = tokio::task::spawn_local(writing);
    let mut reading = RequestReader {
        context: context.clone(),
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
    }
    drop(reading);
    let _ = writing.await;
    context.callers.set(context.callers.get() - 1);
}

enum ReadEnd {
    CallerLeft,
    Closing,
}

struct RequestReader<S> {
    context: Rc<Context>,
    reader: ReadHalf<S>,
    buffer: BytesMut,
    state: Rc<ConnectionState>,
    answers: mpsc::Sender<oneshot::Receiver<Answer>>,
    disconnect: Rc<CallerDisconnect>,
}

enum ReadOutcome {
    Some,
    CallerLeft,
    Idle,
    Stopping,
}

impl<S: AsyncRead> RequestReader<S> {
    async fn read_requests(&mut self) -> ReadEnd {
        loop {
            let limits = self.limits();
            let parsed = head::parse_request(&self.buffer);
            match parsed {
                Ok(Some((_, length))) if length > limits.header_bytes => {
                    return self.refuse(431, "the head is too long").await;
                }
                Ok(Some((head, length))) => {
                    let _ = self.buffer.split_to(length);
                    if let Some(end) = self.read_body_and_serve(head, &limits).await {
                        return end;
                    }
                }
                Ok(None) if self.buffer.len() > limits.header_bytes => {
                    return self.refuse(431, "the head is too long").await;
                }
                Ok(None) => {
                    if let Some(end) = self.read_head_bytes(&limits).await {
                        return end;
                    }
                }
                Err(error) => return self.refuse(400, &error.to_string()).await,
            }
        }
    }

    fn limits(&self) -> Limits {
        let configuration = self.context.configuration();
        configuration.map(|c| c.limits).unwrap_or_default()
    }

    /// Reads more of a head, or waits for one.
    async fn read_head_bytes(&mut self, limits: &Limits) -> Option<ReadEnd> {
        let is_between_requests = self.buffer.is_empty();
        let patience = match is_between_requests {
            true => limits.idle_timeout + IDLE_TIMEOUT_MARGIN,
            false => limits.header_timeout,
        };
        match self.read(patience, is_between_requests).await {
            ReadOutcome::Some => None,
            ReadOutcome::CallerLeft => Some(ReadEnd::CallerLeft),
            ReadOutcome::Stopping => Some(ReadEnd::Closing),
            ReadOutcome::Idle if is_between_requests && self.state.unanswered.get() > 0 => None,
            ReadOutcome::Idle if is_between_requests => Some(ReadEnd::Closing),
            ReadOutcome::Idle => Some(self.refuse(408, "the head took too long").await),
        }
    }

    /// Reads more bytes; between requests, a stop of the VM ends the wait.
    async fn read(&mut self, patience: Duration, is_between_requests: bool) -> ReadOutcome {
        if is_between_requests && self.must_stop_reading() {
            return ReadOutcome::Stopping;
        }
        self.buffer.reserve(READ_BUFFER_BYTES);
        let stop = self.context.stop_requested.notified();
        let wake = self.state.wake.notified();
        let reading = self.reader.read_buf(&mut self.buffer);
        tokio::select! {
            biased;
            read = reading => match read {
                Ok(0) | Err(_) => ReadOutcome::CallerLeft,
                Ok(_) => ReadOutcome::Some,
            },
            () = stop, if is_between_requests => ReadOutcome::Some,
            () = wake, if is_between_requests => ReadOutcome::Some,
            () = tokio::time::sleep(patience) => ReadOutcome::Idle,
        }
    }

    /// Returns whether no further request is to be read: the last answer said so, or the VM's stop
    /// has come to its idle connections.
    fn must_stop_reading(&self) -> bool {
        let idle = self.state.unanswered.get() == 0;
        self.state.closing.get() || (idle && self.context.is_closing_idle())
    }

    async fn read_body_and_serve(&mut self, head: RequestHead, limits: &Limits) -> Option<ReadEnd> {
        if self.state.closing.get() {
            return Some(ReadEnd::Closing);
        }
        let mut reader = match BodyReader::new(head.framing, limits.body_bytes) {
            Ok(reader) => reader,
            Err(_) => return Some(self.refuse(413, "the body is too long").await),
        };
        let expects = head.headers.has_token("expect", "100-continue");
        if expects && self.buffer.is_empty() {
            self.send_continue().await;
        }
        let mut held = self.context.body_memory.reserve();
        loop {
            let whole = reader.read(&mut self.buffer);
            if !held.grow_to(reader.bytes_read()) {
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
            match self.read(limits.idle_timeout, false).await {
                ReadOutcome::CallerLeft => return Some(ReadEnd::CallerLeft),
                ReadOutcome::Idle => return Some(self.refuse(408, "the body took too long").await),
                ReadOutcome::Some | ReadOutcome::Stopping => {}
            }
        }
        let request = Request::new(head, reader.into_body(), held, &self.context.wire_names);
        self.serve_request(request).await
    }

    async fn serve_request(&mut self, request: Request) -> Option<ReadEnd> {
        let (answer, pending) = oneshot::channel();
        let last = !request.head.keep_alive;
        self.state.request_started();
        let (context, disconnect) = (self.context.clone(), self.disconnect.clone());
        tokio::task::spawn_local(dispatch::serve(context, request, disconnect, answer));
        if self.answers.send(pending).await.is_err() {
            return Some(ReadEnd::CallerLeft);
        }
        if last {
            self.state.closing.set(true);
        }
        None
    }

    /// Tells the caller to go on with its body. The writer is idle then, as callers that expect this
    /// wait for it; where it is not, the body comes without.
    async fn send_continue(&mut self) {
        let (answer, pending) = oneshot::channel();
        self.state.request_started();
        if self.answers.send(pending).await.is_ok() {
            let _ = answer.send(Answer::interim());
        }
    }

    async fn refuse(&mut self, status: u16, reason: &str) -> ReadEnd {
        tracing::info!(event = "unreadable_request", status, reason);
        let (answer, pending) = oneshot::channel();
        self.state.request_started();
        if self.answers.send(pending).await.is_ok() {
            let _ = answer.send(Answer::unreadable(status, reason));
        }
        ReadEnd::Closing
    }

    /// Reads on until the caller has closed, without taking any request.
    async fn drain(&mut self) {
        self.state.closing.set(true);
        let (sender, _) = mpsc::channel(1);
        drop(std::mem::replace(&mut self.answers, sender));
        loop {
            self.buffer.clear();
            let patience = match self.state.unanswered.get() {
                0 => LINGER_TIMEOUT,
                _ => Duration::from_secs(30),
            };
            self.buffer.reserve(READ_BUFFER_BYTES);
            let reading = self.reader.read_buf(&mut self.buffer);
            match tokio::time::timeout(patience, reading).await {
                Ok(Ok(read)) if read > 0 => {}
                Ok(_) if self.state.unanswered.get() > 0 => {
                    self.disconnect.set();
                    return;
                }
                _ => return,
            }
        }
    }
}

/// Writes answers in the order of their requests.
async fn write_answers<S: AsyncWrite>(
    context: Rc<Context>,
    mut writer: WriteHalf<S>,
    mut queue: mpsc::Receiver<oneshot::Receiver<Answer>>,
    state: Rc<ConnectionState>,
) {
    while let Some(pending) = queue.recv().await {
        let Ok(answer) = pending.await else {
            break;
        };
        if answer.is_interim() {
            state.request_finished();
            if writer.write_all(&answer.to_bytes(false)).await.is_err() {
                return;
            }
            continue;
        }
        let last = state.unanswered.get() == 1;
        let closes = answer.close || (last && (state.closing.get() || context.is_stopping()));
        if closes {
            state.closing.set(true);
        }
        if writer.write_all(&answer.to_bytes(closes)).await.is_err() {
            return;
        }
        state.request_finished();
        if closes {
            break;
        }
    }
    let _ = writer.shutdown().await;
    state.close();
}
