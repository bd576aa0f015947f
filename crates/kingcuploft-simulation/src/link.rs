//! Simulated links: bytes leave at the sender's rate, arrive at the receiver's rate, and wait until they are read.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use kingcuploft_entry::network::Link;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

use crate::day::ServerCut;

/// How many bytes may be in flight and unread in one direction.
const WINDOW_BYTES: usize = 64 * 1024;

/// The greatest number of bytes sent at once.
const SEGMENT_BYTES: usize = 4 * 1024;

/// How often a reader checks whether a cut link is back.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A host's network interface: it sends and receives one segment after the other at a fixed rate.
#[derive(Debug)]
pub struct Nic {
    bytes_per_s: f64,
    sends_until: Cell<Instant>,
    receives_until: Cell<Instant>,
    /// How many bytes it has sent.
    pub sent_bytes: Cell<usize>,
    /// Whether nothing leaves or arrives.
    pub is_cut: Cell<bool>,
    /// Whether the host has lost power for good; a host that restarts gets another interface.
    pub is_powered_off: Cell<bool>,
}

impl Nic {
    /// Returns an interface with a rate in megabits per second.
    pub fn of(mbit_per_s: u32) -> Self {
        Self {
            bytes_per_s: f64::from(mbit_per_s) * 125_000.0,
            sends_until: Cell::new(Instant::now()),
            receives_until: Cell::new(Instant::now()),
            sent_bytes: Cell::new(0),
            is_cut: Cell::new(false),
            is_powered_off: Cell::new(false),
        }
    }

    fn transmission_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }

    fn send(&self, bytes: usize) -> Instant {
        self.sent_bytes.set(self.sent_bytes.get() + bytes);
        let sent_at = self.sends_until.get().max(Instant::now()) + self.transmission_time(bytes);
        self.sends_until.set(sent_at);
        sent_at
    }

    /// Returns when bytes that reach this interface at a moment have been received.
    pub fn receive(&self, bytes: usize, at: Instant) -> Instant {
        let arrived = self.receives_until.get().max(at) + self.transmission_time(bytes);
        self.receives_until.set(arrived);
        arrived
    }
}

/// The path between two hosts, which can be cut while both reach all others.
#[derive(Debug, Default)]
pub struct Path {
    /// How it is cut.
    cut: Cell<Option<ServerCut>>,
    pipes: RefCell<Vec<Weak<Pipe>>>,
}

impl Path {
    /// Returns how the path is cut.
    pub fn cut(&self) -> Option<ServerCut> {
        self.cut.get()
    }

    /// Cuts the path, or ends the cut.
    pub fn set_cut(&self, cut: Option<ServerCut>) {
        self.cut.set(cut);
        if cut != Some(ServerCut::Reset) {
            return;
        }
        for pipe in self.pipes.take().iter().filter_map(Weak::upgrade) {
            pipe.is_reset.set(true);
            Pipe::wake(&pipe.reader);
            Pipe::wake(&pipe.writer);
        }
    }

    fn is_silent(&self) -> bool {
        self.cut.get() == Some(ServerCut::Silent)
    }

    fn add(&self, pipe: &Rc<Pipe>) {
        let mut pipes = self.pipes.borrow_mut();
        pipes.retain(|pipe| pipe.strong_count() > 0);
        pipes.push(Rc::downgrade(pipe));
    }
}

/// One direction of a link.
#[derive(Debug)]
struct Pipe {
    path: Option<Rc<Path>>,
    /// Whether the link was reset.
    is_reset: Cell<bool>,
    from: Rc<Nic>,
    to: Rc<Nic>,
    delay: Duration,
    segments: RefCell<VecDeque<(Instant, Vec<u8>)>>,
    unread_bytes: Cell<usize>,
    write_closed: Cell<bool>,
    read_closed: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    writer: RefCell<Option<Waker>>,
}

impl Pipe {
    fn new(from: &Rc<Nic>, to: &Rc<Nic>, delay: Duration, path: Option<&Rc<Path>>) -> Rc<Self> {
        Rc::new(Self {
            path: path.cloned(),
            is_reset: Cell::new(false),
            from: from.clone(),
            to: to.clone(),
            delay,
            segments: RefCell::default(),
            unread_bytes: Cell::new(0),
            write_closed: Cell::new(false),
            read_closed: Cell::new(false),
            reader: RefCell::default(),
            writer: RefCell::default(),
        })
    }

    fn is_cut(&self) -> bool {
        let is_blocked = |nic: &Nic| nic.is_cut.get() || nic.is_powered_off.get();
        let is_silent = self.path.as_ref().is_some_and(|path| path.is_silent());
        is_blocked(&self.from) || is_blocked(&self.to) || is_silent
    }

    fn wake(waker: &RefCell<Option<Waker>>) {
        if let Some(waker) = waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// One end of a link.
#[derive(Debug)]
pub struct LinkEnd {
    incoming: Rc<Pipe>,
    outgoing: Rc<Pipe>,
    timer: Option<Pin<Box<Sleep>>>,
}

/// Opens a link between two interfaces.
pub fn connect(a: &Rc<Nic>, b: &Rc<Nic>, delay: Duration) -> (LinkEnd, LinkEnd) {
    connect_along(a, b, delay, None)
}

/// Opens a link between two interfaces, along a path that may be cut.
pub fn connect_along(
    a: &Rc<Nic>,
    b: &Rc<Nic>,
    delay: Duration,
    path: Option<&Rc<Path>>,
) -> (LinkEnd, LinkEnd) {
    let there = Pipe::new(a, b, delay, path);
    let back = Pipe::new(b, a, delay, path);
    if let Some(path) = path {
        path.add(&there);
        path.add(&back);
    }
    let end = |incoming: &Rc<Pipe>, outgoing: &Rc<Pipe>| LinkEnd {
        incoming: incoming.clone(),
        outgoing: outgoing.clone(),
        timer: None,
    };
    (end(&back, &there), end(&there, &back))
}

impl LinkEnd {
    fn wake_at(&mut self, moment: Instant, context: &mut Context<'_>) {
        let mut timer = Box::pin(tokio::time::sleep_until(moment));
        if timer.as_mut().poll(context).is_ready() {
            context.waker().wake_by_ref();
        }
        self.timer = Some(timer);
    }
}

impl AsyncRead for LinkEnd {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let pipe = self.incoming.clone();
        let now = Instant::now();
        if pipe.is_reset.get() {
            return Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset)));
        }
        if pipe.is_cut() {
            self.wake_at(now + CUT_POLL_INTERVAL, context);
            return Poll::Pending;
        }
        let mut segments = pipe.segments.borrow_mut();
        match segments.front_mut() {
            None if pipe.write_closed.get() => Poll::Ready(Ok(())),
            None => {
                *pipe.reader.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
            Some((arrives, _)) if *arrives > now => {
                self.wake_at(*arrives, context);
                Poll::Pending
            }
            Some((_, bytes)) => {
                let count = bytes.len().min(buffer.remaining());
                buffer.put_slice(&bytes[..count]);
                bytes.drain(..count);
                if bytes.is_empty() {
                    segments.pop_front();
                }
                pipe.unread_bytes.set(pipe.unread_bytes.get() - count);
                Pipe::wake(&pipe.writer);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for LinkEnd {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let pipe = &self.outgoing;
        if pipe.is_reset.get() {
            return Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset)));
        }
        if pipe.read_closed.get() {
            return Poll::Ready(Err(Error::from(ErrorKind::BrokenPipe)));
        }
        let free_bytes = WINDOW_BYTES - pipe.unread_bytes.get();
        let count = bytes.len().min(free_bytes).min(SEGMENT_BYTES);
        if count == 0 {
            *pipe.writer.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        let sent_at = pipe.from.send(count);
        let arrives = pipe.to.receive(count, sent_at) + pipe.delay;
        let segment = (arrives, bytes[..count].to_vec());
        pipe.segments.borrow_mut().push_back(segment);
        pipe.unread_bytes.set(pipe.unread_bytes.get() + count);
        Pipe::wake(&pipe.reader);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.outgoing.write_closed.set(true);
        Pipe::wake(&self.outgoing.reader);
        Poll::Ready(Ok(()))
    }
}

impl Link for LinkEnd {
    fn try_read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        let pipe = &self.incoming;
        if pipe.is_reset.get() {
            return Err(Error::from(ErrorKind::ConnectionReset));
        }
        let mut segments = pipe.segments.borrow_mut();
        if segments.is_empty() && pipe.write_closed.get() {
            return Ok(0);
        }
        let blocked = Err(Error::from(ErrorKind::WouldBlock));
        let Some((arrives, segment)) = segments.front_mut() else {
            return blocked;
        };
        if pipe.is_cut() || *arrives > Instant::now() {
            return blocked;
        }
        let count = segment.len().min(bytes.len());
        bytes[..count].copy_from_slice(&segment[..count]);
        segment.drain(..count);
        if segment.is_empty() {
            segments.pop_front();
        }
        pipe.unread_bytes.set(pipe.unread_bytes.get() - count);
        Ok(count)
    }
}

impl Drop for LinkEnd {
    fn drop(&mut self) {
        // A host without power sends no end of connection.
        if self.outgoing.from.is_powered_off.get() {
            return;
        }
        self.outgoing.write_closed.set(true);
        self.incoming.read_closed.set(true);
        Pipe::wake(&self.outgoing.reader);
        Pipe::wake(&self.incoming.writer);
    }
}
