//! A TCP transport that knows whether any byte of a request was handed to a connection.
//!
//! A protected request is called "not run" only where that is proved. `ureq` reports errors
//! without saying whether it had begun to write, so its transport is wrapped: the first write of
//! a call sets a flag of the worker's thread, on which the whole call runs.

use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::world::ids::AttemptId;
use socket2::SockRef;
use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

use super::registry::{BackendConnection, CountedConnection};
use crate::shared::Shared;

/// The shortest timeout that is set on a socket; none of zero can be.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(1);

/// The call that runs on this thread.
struct Current {
    shared: Arc<Shared>,
    attempt: AttemptId,
    connections: usize,
    sent: bool,
}

thread_local! {
    static CURRENT: RefCell<Option<Current>> = const { RefCell::new(None) };
}

/// Begins a call on this thread; `connections` bounds those to its backend server.
pub(super) fn begin_call(shared: &Arc<Shared>, attempt: AttemptId, connections: usize) {
    let current = Current {
        shared: Arc::clone(shared),
        attempt,
        connections,
        sent: false,
    };
    CURRENT.set(Some(current));
}

/// Tells whether a byte of this thread's call was handed to a connection.
pub(super) fn was_sent() -> bool {
    CURRENT.with_borrow(|current| current.as_ref().is_some_and(|current| current.sent))
}

/// Connects over TCP.
#[derive(Debug)]
pub(super) struct TrackingConnector;

impl Connector<()> for TrackingConnector {
    type Out = TrackingTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let Some(address) = details.addrs.first() else {
            return Err(Error::HostNotFound);
        };
        let counted = CURRENT.with_borrow(|current| {
            let current = current.as_ref()?;
            let shared = &current.shared;
            let counted = shared.calls.open(*address, current.connections);
            if counted.is_none() {
                shared.metrics.backend_connection_limit.inc();
            } else {
                shared.metrics.backend_connections_opened.inc();
            }
            counted
        });
        let Some(counted) = counted else {
            return Err(Error::Io(ErrorKind::QuotaExceeded.into()));
        };
        let stream = match details.timeout.not_zero() {
            Some(left) => TcpStream::connect_timeout(address, *left)?,
            None => TcpStream::connect(address)?,
        };
        stream.set_nodelay(true)?;
        let config = &details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(TrackingTransport {
            connection: Arc::new(BackendConnection::new(stream)),
            buffers,
            read_timeout: SetTimeout::default(),
            write_timeout: SetTimeout::default(),
            _counted: counted,
        }))
    }
}

/// A TCP connection with the witness.
#[derive(Debug)]
pub(super) struct TrackingTransport {
    connection: Arc<BackendConnection>,
    buffers: LazyBuffers,
    read_timeout: SetTimeout,
    write_timeout: SetTimeout,
    _counted: CountedConnection,
}

impl TrackingTransport {
    /// Notes, before the first byte of a call goes out, that it is on this connection.
    fn witness(&self) -> Result<(), Error> {
        CURRENT.with_borrow_mut(|current| {
            let Some(current) = current else {
                return Ok(());
            };
            if current.sent {
                return Ok(());
            }
            let calls = &current.shared.calls;
            if !calls.assign_connection(current.attempt, &self.connection) {
                return Err(Error::Io(ErrorKind::ConnectionAborted.into()));
            }
            current.sent = true;
            Ok(())
        })
    }
}

impl Transport for TrackingTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.witness()?;
        let left = timeout.not_zero().map(|left| *left);
        let due = left.map(|left| Instant::now() + left);
        let mut stream = self.connection.tcp();
        let mut output = &self.buffers.output()[..amount];
        self.write_timeout
            .at_most(left, |left| stream.set_write_timeout(left))?;
        while !output.is_empty() {
            match stream.write(output) {
                Ok(0) => return Err(Error::Io(ErrorKind::WriteZero.into())),
                Ok(written) => output = &output[written..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if is_early(&error, due) => {
                    let left = due.map(|due| due.saturating_duration_since(Instant::now()));
                    self.write_timeout
                        .exactly(left, |left| stream.set_write_timeout(left))?;
                }
                Err(error) => return Err(timed(error, timeout)),
            }
        }
        Ok(())
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let left = timeout.not_zero().map(|left| *left);
        let due = left.map(|left| Instant::now() + left);
        let mut stream = self.connection.tcp();
        self.read_timeout
            .at_most(left, |left| stream.set_read_timeout(left))?;
        loop {
            match stream.read(self.buffers.input_append_buf()) {
                Ok(amount) => {
                    self.buffers.input_appended(amount);
                    return Ok(amount > 0);
                }
                Err(error) if is_early(&error, due) => {
                    let left = due.map(|due| due.saturating_duration_since(Instant::now()));
                    self.read_timeout
                        .exactly(left, |left| stream.set_read_timeout(left))?;
                }
                Err(error) => return Err(timed(error, timeout)),
            }
        }
    }

    /// Tells whether a kept connection may carry the next request: one that the backend server
    /// closed, or on which an answer arrived too late or twice, may not. Its next caller would be
    /// given another's answer; the bytes that wait in the socket or were read ahead betray it.
    fn is_open(&mut self) -> bool {
        if self.connection.retired() || !self.buffers.input().is_empty() {
            return false;
        }
        let mut byte = [MaybeUninit::uninit()];
        let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
        let socket = SockRef::from(self.connection.tcp());
        let peeked = socket.recv_with_flags(&mut byte, flags);
        matches!(&peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// The timeout that a socket has, so that it is set anew only where it has to be.
///
/// The time left to a deadline differs with each call by less than matters. A timeout that is a
/// little too short is kept; where it ends a wait early, the wait goes on for the exact rest.
#[derive(Debug, Default)]
struct SetTimeout(Option<Duration>);

impl SetTimeout {
    /// Sees to a timeout that is no longer than the time left, and not much shorter.
    fn at_most(
        &mut self,
        left: Option<Duration>,
        set: impl FnOnce(Option<Duration>) -> std::io::Result<()>,
    ) -> std::io::Result<()> {
        let fits = match (self.0, left) {
            (Some(has), Some(left)) => has <= left && has * 2 >= left,
            (None, None) => true,
            _ => false,
        };
        if fits {
            return Ok(());
        }
        let shorter = left.map(|left| left * 7 / 8);
        self.exactly(shorter, set)
    }

    fn exactly(
        &mut self,
        left: Option<Duration>,
        set: impl FnOnce(Option<Duration>) -> std::io::Result<()>,
    ) -> std::io::Result<()> {
        let left = left.map(|left| left.max(SHORTEST_TIMEOUT));
        set(left)?;
        self.0 = left;
        Ok(())
    }
}

/// Tells whether a socket's timeout ended a wait before it was due.
fn is_early(error: &std::io::Error, due: Option<Instant>) -> bool {
    let timeout = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
    timeout && due.is_none_or(|due| Instant::now() + SHORTEST_TIMEOUT < due)
}

/// Turns the socket's timeout into the library's.
fn timed(error: std::io::Error, timeout: NextTimeout) -> Error {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Error::Timeout(timeout.reason),
        _ => Error::Io(error),
    }
}
