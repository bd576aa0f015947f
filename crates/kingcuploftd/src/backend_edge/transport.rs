//! A TCP transport that knows whether any byte of a request was handed to a connection.
//!
//! A protected request is called "not run" only where that is proved. `ureq` reports errors
//! without saying whether it had begun to write, so its transport is wrapped: the first write of
//! a call sets a flag of the worker's thread, on which the whole call runs.

use std::cell::RefCell;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;

use kingcuploft::world::ids::AttemptId;
use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

use super::registry::{BackendConnection, CountedConnection};
use crate::shared::Shared;

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
pub(super) struct WitnessConnector;

impl Connector<()> for WitnessConnector {
    type Out = WitnessTransport;

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
        Ok(Some(WitnessTransport {
            connection: Arc::new(BackendConnection::new(stream)),
            buffers,
            _counted: counted,
        }))
    }
}

/// A TCP connection with the witness.
#[derive(Debug)]
pub(super) struct WitnessTransport {
    connection: Arc<BackendConnection>,
    buffers: LazyBuffers,
    _counted: CountedConnection,
}

impl WitnessTransport {
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
            if !calls.running(current.attempt, &self.connection) {
                return Err(Error::Io(ErrorKind::ConnectionAborted.into()));
            }
            current.sent = true;
            Ok(())
        })
    }
}

impl Transport for WitnessTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.connection
            .tcp()
            .set_write_timeout(timeout.not_zero().map(|left| *left))?;
        self.witness()?;
        let output = &self.buffers.output()[..amount];
        let mut stream = self.connection.tcp();
        stream
            .write_all(output)
            .map_err(|error| timed(error, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.connection
            .tcp()
            .set_read_timeout(timeout.not_zero().map(|left| *left))?;
        let input = self.buffers.input_append_buf();
        let mut stream = self.connection.tcp();
        let amount = stream.read(input).map_err(|error| timed(error, timeout))?;
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    /// Tells whether a kept connection may carry the next request: one that the backend server
    /// closed, or on which an answer arrived too late or twice, may not. Its next caller would be
    /// given another's answer; the bytes that wait in the socket or were read ahead betray it.
    fn is_open(&mut self) -> bool {
        if self.connection.retired() || !self.buffers.input().is_empty() {
            return false;
        }
        let mut byte = [0];
        let stream = self.connection.tcp();
        if stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = stream.peek(&mut byte);
        let quiet = matches!(&peeked, Err(e) if e.kind() == ErrorKind::WouldBlock);
        quiet && stream.set_nonblocking(false).is_ok()
    }
}

/// Turns the socket's timeout into the library's.
fn timed(error: std::io::Error, timeout: NextTimeout) -> Error {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Error::Timeout(timeout.reason),
        _ => Error::Io(error),
    }
}
