//! A TCP transport that records whether any byte of a request was written to a connection.
//!
//! Failure: a protected action that is reported as not run although the backend server received it would run twice
//! after a retry. A request is reported as not run only if that is proved. `ureq` reports errors without saying whether
//! it had begun to write, so its transport is wrapped: the first write of a call sets a thread-local flag. The whole
//! call runs on its worker's thread, so the flag always belongs to that call.

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

/// The shortest timeout that is set on a socket; the system rejects a timeout of zero.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// The call that runs on this thread.
struct CurrentCall {
    shared: Arc<Shared>,
    attempt: AttemptId,
    connection_limit: usize,
    sent: bool,
}

thread_local! {
    static CURRENT_CALL: RefCell<Option<CurrentCall>> = const { RefCell::new(None) };
}

/// Begins a call on this thread; `connection_limit` bounds the open connections to its backend server.
pub(super) fn begin_call(shared: &Arc<Shared>, attempt: AttemptId, connection_limit: usize) {
    let current = CurrentCall {
        shared: Arc::clone(shared),
        attempt,
        connection_limit,
        sent: false,
    };
    CURRENT_CALL.set(Some(current));
}

/// Returns whether any byte of this thread's call was written to a connection.
pub(super) fn was_sent() -> bool {
    CURRENT_CALL.with_borrow(|current| current.as_ref().is_some_and(|current| current.sent))
}

/// Opens counted TCP connections.
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
        let counted = CURRENT_CALL.with_borrow(|current| {
            let current = current.as_ref()?;
            let shared = &current.shared;
            let counted = shared.calls.open(*address, current.connection_limit);
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
            Some(remaining) => TcpStream::connect_timeout(address, *remaining)?,
            None => TcpStream::connect(address)?,
        };
        stream.set_nodelay(true)?;
        let config = &details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(TrackingTransport {
            connection: Arc::new(BackendConnection::new(stream)),
            buffers,
            read_timeout: CachedTimeout::default(),
            write_timeout: CachedTimeout::default(),
            _counted: counted,
        }))
    }
}

/// A TCP connection that records the first write of each call.
#[derive(Debug)]
pub(super) struct TrackingTransport {
    connection: Arc<BackendConnection>,
    buffers: LazyBuffers,
    read_timeout: CachedTimeout,
    write_timeout: CachedTimeout,
    _counted: CountedConnection,
}

impl TrackingTransport {
    /// Records, before the first byte of a call is written, that the call runs on this connection.
    fn mark_sent(&self) -> Result<(), Error> {
        CURRENT_CALL.with_borrow_mut(|current| {
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
        self.mark_sent()?;
        let remaining = timeout.not_zero().map(|remaining| *remaining);
        let deadline = remaining.map(|remaining| Instant::now() + remaining);
        let mut stream = self.connection.tcp();
        let mut output = &self.buffers.output()[..amount];
        self.write_timeout
            .set_at_most(remaining, |remaining| stream.set_write_timeout(remaining))?;
        while !output.is_empty() {
            match stream.write(output) {
                Ok(0) => return Err(Error::Io(ErrorKind::WriteZero.into())),
                Ok(written) => output = &output[written..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if is_early(&error, deadline) => {
                    let remaining =
                        deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
                    self.write_timeout
                        .set_exactly(remaining, |remaining| stream.set_write_timeout(remaining))?;
                }
                Err(error) => return Err(map_timeout(error, timeout)),
            }
        }
        Ok(())
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let remaining = timeout.not_zero().map(|remaining| *remaining);
        let deadline = remaining.map(|remaining| Instant::now() + remaining);
        let mut stream = self.connection.tcp();
        self.read_timeout
            .set_at_most(remaining, |remaining| stream.set_read_timeout(remaining))?;
        loop {
            match stream.read(self.buffers.input_append_buf()) {
                Ok(amount) => {
                    self.buffers.input_appended(amount);
                    return Ok(amount > 0);
                }
                Err(error) if is_early(&error, deadline) => {
                    let remaining =
                        deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
                    self.read_timeout
                        .set_exactly(remaining, |remaining| stream.set_read_timeout(remaining))?;
                }
                Err(error) => return Err(map_timeout(error, timeout)),
            }
        }
    }

    /// Returns whether a pooled connection may carry the next request. One that the backend server closed, or on which
    /// an answer arrived late or twice, may not: the next request on it would receive another request's answer. Such an
    /// answer shows as bytes that wait in the socket or were read ahead.
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

/// The timeout that is set on a socket, to save system calls that would change it only slightly.
///
/// The time until the deadline differs little from call to call. A timeout that is somewhat too short is kept; if it
/// ends a wait early, the wait continues for exactly the remaining time.
#[derive(Debug, Default)]
struct CachedTimeout(Option<Duration>);

impl CachedTimeout {
    /// Ensures a timeout of at most the remaining time, and of at least half of it.
    fn set_at_most(
        &mut self,
        remaining: Option<Duration>,
        set: impl FnOnce(Option<Duration>) -> std::io::Result<()>,
    ) -> std::io::Result<()> {
        let fits = match (self.0, remaining) {
            (Some(has), Some(remaining)) => has <= remaining && has * 2 >= remaining,
            (None, None) => true,
            _ => false,
        };
        if fits {
            return Ok(());
        }
        let shorter = remaining.map(|remaining| remaining * 7 / 8);
        self.set_exactly(shorter, set)
    }

    fn set_exactly(
        &mut self,
        remaining: Option<Duration>,
        set: impl FnOnce(Option<Duration>) -> std::io::Result<()>,
    ) -> std::io::Result<()> {
        let remaining = remaining.map(|remaining| remaining.max(MIN_TIMEOUT));
        set(remaining)?;
        self.0 = remaining;
        Ok(())
    }
}

/// Returns whether the socket's timeout ended a wait before the deadline.
fn is_early(error: &std::io::Error, deadline: Option<Instant>) -> bool {
    let timeout = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
    timeout && deadline.is_none_or(|deadline| Instant::now() + MIN_TIMEOUT < deadline)
}

/// Converts a socket timeout into the HTTP library's timeout error.
fn map_timeout(error: std::io::Error, timeout: NextTimeout) -> Error {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Error::Timeout(timeout.reason),
        _ => Error::Io(error),
    }
}
