//! The HTTP body of a reply: complete in memory, or streamed from a backend worker.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::activity::Busy;
use crate::answer_stream::{BodyChunks, NextChunk};

/// The error of a streamed answer that ended early. The HTTP library then closes the caller's connection, so that the
/// caller cannot mistake the part it has for the complete body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the backend server ended its answer early")]
pub(super) struct TruncatedAnswer;

/// A reply's body.
#[derive(Debug)]
pub(super) struct ReplyBody {
    beginning: Option<Bytes>,
    rest: Option<BodyChunks>,
    _busy: Option<Busy>,
}

impl ReplyBody {
    /// Builds a body; without `rest`, `beginning` is all of it.
    pub(super) fn new(beginning: Bytes, rest: Option<BodyChunks>) -> Self {
        let beginning = Some(beginning).filter(|bytes| !bytes.is_empty());
        Self {
            beginning,
            rest,
            _busy: None,
        }
    }

    /// Keeps the connection marked as busy until the body has been written.
    pub(super) fn until_written(self, busy: Busy) -> Self {
        Self {
            _busy: Some(busy),
            ..self
        }
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        if let Some(beginning) = self.beginning.take() {
            return Poll::Ready(Some(Ok(Frame::data(beginning))));
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(None);
        };
        rest.poll_next(context).map(|next| match next {
            NextChunk::Data(data) => Some(Ok(Frame::data(data))),
            NextChunk::Truncated => Some(Err(TruncatedAnswer)),
            NextChunk::End => {
                self.rest = None;
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.beginning.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let beginning = self.beginning.as_ref().map_or(0, Bytes::len) as u64;
        match self.rest {
            None => SizeHint::with_exact(beginning),
            Some(_) => SizeHint::default(),
        }
    }
}
