//! The rest of an answer that is too long to be read whole: a bounded ring of chunks from a
//! backend worker to the caller edge.

use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::backend_edge::BackendConnection;

/// How many chunks wait in the ring.
const MAX_CHUNKS: usize = 8;

/// How long the worker pauses while the ring is full.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(1);

/// A piece of a body.
#[derive(Debug)]
enum Chunk {
    Data(Bytes),
    /// The body is whole; a ring that closes without it was cut.
    End,
}

/// The worker's end of the ring.
#[derive(Debug)]
pub struct BodySender(Sender<Chunk>);

/// The rest of an answer; clones share it, and the first to take it has it.
#[derive(Clone, Debug)]
pub struct RemainingBody(Arc<Mutex<Option<BodyChunks>>>);

/// The caller edge's end of the ring.
#[derive(Debug)]
pub struct BodyChunks {
    receiver: Receiver<Chunk>,
    /// The connection the body comes from.
    source: Option<Arc<BackendConnection>>,
    ended: bool,
}

/// What comes next of a body.
#[derive(Debug)]
pub enum NextChunk {
    /// More of it.
    Data(Bytes),
    /// Nothing: it is whole.
    End,
    /// Nothing: it was cut.
    Truncated,
}

/// Why a body was not passed on to its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodySendError {
    /// The caller went away.
    CallerLeft,
    /// The caller did not take it before the deadline.
    DeadlinePassed,
}

/// Opens a ring for a body that comes from a connection.
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
    /// Passes a piece on, waiting for room until the deadline.
    ///
    /// # Errors
    ///
    /// [`BodySendError`] where nobody takes it.
    pub fn send(&self, data: Bytes, deadline: Instant) -> Result<(), BodySendError> {
        self.send_chunk(Chunk::Data(data), deadline)
    }

    /// Says that the body is whole. A ring that is closed by now is no fault: the HTTP library
    /// drops a body of known length with its last byte.
    ///
    /// # Errors
    ///
    /// [`BodySendError::DeadlinePassed`] where the caller does not take what it was given.
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
    /// Takes the ring's end; `None` where it was taken before.
    pub fn take(&self) -> Option<BodyChunks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl BodyChunks {
    /// Returns what comes next, once it is there.
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
    /// Ends the call whose body nobody wants any more: its worker may be blocked in a read.
    fn drop(&mut self) {
        if let Some(source) = self.source.take().filter(|_| !self.ended) {
            source.shut_down();
        }
    }
}
