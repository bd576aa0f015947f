//! Tracks what a caller's connection is doing and since when, so that the caller edge closes slow and idle connections.
//!
//! Failure: slow request heads that hold connections open. The HTTP library has one timeout for the time until a head
//! is complete, which also ends keepalive connections that are merely idle. A balancer in front keeps its connections
//! longer, and a request that it sends while the connection closes is lost. So a slow head has the header timeout and
//! an idle keepalive connection the longer idle timeout.

use std::cell::{Cell, RefCell};
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::inspector::{Inspector, Verdict};
use crate::settings::Limits;

#[derive(Clone, Copy, Debug)]
enum State {
    /// No byte of the next request has arrived; `first` before the first request of the connection.
    Waiting { first: bool },
    /// Part of a request head has arrived.
    Head,
    /// A request is being read, processed or answered.
    Busy,
}

/// The state of one connection and the time of its last change.
#[derive(Debug)]
pub(super) struct Activity {
    state: Cell<State>,
    since: Cell<Instant>,
    inspector: RefCell<Inspector>,
}

/// Marks its connection as busy until dropped.
#[derive(Debug)]
pub(super) struct Busy(Rc<Activity>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.set_state(State::Waiting { first: false });
    }
}

impl Activity {
    pub(super) fn new(head_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            state: Cell::new(State::Waiting { first: true }),
            since: Cell::new(Instant::now()),
            inspector: RefCell::new(Inspector::new(head_bytes)),
        })
    }

    /// Marks the connection as busy after a complete request head; returns the inspector's verdict on the head.
    pub(super) fn begin_request(self: &Rc<Self>) -> (Busy, Verdict) {
        self.set_state(State::Busy);
        let verdict = self.inspector.borrow_mut().next_verdict();
        (Busy(Rc::clone(self)), verdict)
    }

    /// Waits until the connection has been slow or idle for too long; returns whether it was slow.
    pub(super) async fn wait_until_overdue(&self, limits: &Limits) -> bool {
        let step = Duration::from_millis(limits.header_timeout_ms);
        loop {
            let now = Instant::now();
            let due = self.due(limits);
            if let Some((due, slow)) = due
                && due <= now
            {
                return slow;
            }
            // A head may begin during the longer wait of an idle connection, and has the shorter timeout.
            let due = due.map_or(now + step, |(due, _)| due.min(now + step));
            tokio::time::sleep_until(due).await;
        }
    }

    /// Returns when the connection is overdue, and whether it is then slow.
    fn due(&self, limits: &Limits) -> Option<(Instant, bool)> {
        let (ms, slow) = match self.state.get() {
            State::Busy => return None,
            State::Head | State::Waiting { first: true } => (limits.header_timeout_ms, true),
            State::Waiting { first: false } => (limits.idle_timeout_ms, false),
        };
        Some((self.since.get() + Duration::from_millis(ms), slow))
    }

    fn set_state(&self, state: State) {
        self.state.set(state);
        self.since.set(Instant::now());
    }

    fn on_read(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.inspector.borrow_mut().process(bytes);
        if matches!(self.state.get(), State::Waiting { .. }) {
            self.set_state(State::Head);
        }
    }

    fn on_write(&self) {
        // A caller that still reads its answer is not idle.
        if matches!(self.state.get(), State::Waiting { .. }) {
            self.since.set(Instant::now());
        }
    }
}

/// A caller's connection that reports its reads and writes to its [`Activity`].
#[derive(Debug)]
pub(super) struct WatchedStream {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl WatchedStream {
    pub(super) fn new(stream: TcpStream, activity: Rc<Activity>) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.activity.on_read(&buffer.filled()[before..]);
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if written.is_ready() {
            self.activity.on_write();
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        if written.is_ready() {
            self.activity.on_write();
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
