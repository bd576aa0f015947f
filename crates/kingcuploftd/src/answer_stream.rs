//! Streams the rest of a long answer: a bounded channel of chunks from a backend worker to the caller edge.
//!
//! Load pattern: answers longer than `whole_answer_bytes`. Reading them completely would hold their whole size in
//! memory; the bounded channel slows the backend server down to the caller's pace instead.

use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::backend_edge::BackendConnection;

/// How many chunks the channel holds.
const MAX_CHUNKS: usize = 8;

/// The delay between the worker's attempts to send while the channel is full.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(1);

/// A piece of a body.
#[derive(Debug)]
enum Chunk {
    Data(Bytes),
    /// The body is complete; a channel that closes without this chunk was truncated.
    End,
}

/// The worker's end of the channel.
#[derive(Debug)]
pub struct BodySender(Sender<Chunk>);

/// The rest of an answer's body; clones share it, and only the first to take it receives it.
#[derive(Clone, Debug)]
pub struct RemainingBody(Arc<Mutex<Option<BodyChunks>>>);

/// The caller edge's end of the channel.
#[derive(Debug)]
pub struct BodyChunks {
    receiver: Receiver<Chunk>,
    /// The connection that the body is read from.
    source: Option<Arc<BackendConnection>>,
    ended: bool,
}

/// The next part of a body.
#[derive(Debug)]
pub enum NextChunk {
    /// More bytes.
    Data(Bytes),
    /// The end of a complete body.
    End,
    /// The body ended early.
    Truncated,
}

/// Why a body was not sent completely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodySendError {
    /// The caller disconnected.
    CallerLeft,
    /// The caller did not read it before the deadline.
    DeadlinePassed,
}

/// Opens a channel for a body that is read from `source`.
pub fn body_channel(source: Option<Arc<BackendConnection>>) -> (BodySender, RemainingBody) {
    let (sender, receiver) = channel(MAX_CHUNKS);
    let chunks = BodyChunks {
        receiver,
        source,
        ended: false,
    };
    (
        BodySender(sender),
        RemainingBody(Arc::new(Mutex::new(Some(chunks)))),
    )
}

impl BodySender {
    /// Sends a chunk, waiting until the deadline while the channel is full.
    ///
    /// # Errors
    ///
    /// Returns [`BodySendError`] if the caller disconnected or did not read in time.
    pub fn send(&self, data: Bytes, deadline: Instant) -> Result<(), BodySendError> {
        self.send_chunk(Chunk::Data(data), deadline)
    }

    /// Marks the body as complete. A channel that is already closed is no error: the HTTP library drops a body of known
    /// length after its last byte.
    ///
    /// # Errors
    ///
    /// Returns [`BodySendError::DeadlinePassed`] if the caller does not read the chunks in the channel in time.
    pub fn end(self, deadline: Instant) -> Result<(), BodySendError> {
        match self.send_chunk(Chunk::End, deadline) {
            Err(BodySendError::DeadlinePassed) => Err(BodySendError::DeadlinePassed),
            Ok(()) | Err(BodySendError::CallerLeft) => Ok(()),
        }
    }

    fn send_chunk(&self, mut chunk: Chunk, deadline: Instant) -> Result<(), BodySendError> {
        loop {
            chunk = match self.0.try_send(chunk) {
                Ok(()) => return Ok(()),
                Err(TrySendError::Closed(_)) => return Err(BodySendError::CallerLeft),
                Err(TrySendError::Full(chunk)) => chunk,
            };
            if Instant::now() >= deadline {
                return Err(BodySendError::DeadlinePassed);
            }
            std::thread::sleep(FULL_RETRY_DELAY);
        }
    }
}

impl RemainingBody {
    /// Takes the receiving end; `None` if it was taken before.
    pub fn take(&self) -> Option<BodyChunks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl BodyChunks {
    /// Polls for the next part of the body.
    pub fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<NextChunk> {
        self.receiver.poll_recv(context).map(|chunk| match chunk {
            Some(Chunk::Data(data)) => NextChunk::Data(data),
            Some(Chunk::End) => {
                self.ended = true;
                NextChunk::End
            }
            None => NextChunk::Truncated,
        })
    }
}

impl Drop for BodyChunks {
    /// Shuts down the connection of a body that is no longer wanted: its worker may be blocked in a read.
    fn drop(&mut self) {
        if let Some(source) = self.source.take().filter(|_| !self.ended) {
            source.shut_down();
        }
    }
}
