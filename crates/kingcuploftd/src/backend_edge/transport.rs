//! A TCP transport that knows whether any byte of a request was handed to a connection.
//!
//! A protected request is called "not run" only where that is proved. `ureq` reports errors
//! without saying whether it had begun to write, so its transport is wrapped: the first write of
//! a call sets a flag of the worker's thread, on which the whole call runs.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;

use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

thread_local! {
    static SENT: Cell<bool> = const { Cell::new(false) };
}

/// Begins a call on this thread.
pub(super) fn begin_call() {
    SENT.set(false);
}

/// Tells whether a byte of this thread's call was handed to a connection.
pub(super) fn was_sent() -> bool {
    SENT.get()
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
        let stream = match details.timeout.not_zero() {
            Some(left) => TcpStream::connect_timeout(address, *left)?,
            None => TcpStream::connect(address)?,
        };
        stream.set_nodelay(true)?;
        let config = &details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(WitnessTransport { stream, buffers }))
    }
}

/// A TCP connection with the witness.
#[derive(Debug)]
pub(super) struct WitnessTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
}

impl Transport for WitnessTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.stream
            .set_write_timeout(timeout.not_zero().map(|left| *left))?;
        SENT.set(true);
        let output = &self.buffers.output()[..amount];
        self.stream
            .write_all(output)
            .map_err(|error| timed(error, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.stream
            .set_read_timeout(timeout.not_zero().map(|left| *left))?;
        let input = self.buffers.input_append_buf();
        let amount = self
            .stream
            .read(input)
            .map_err(|error| timed(error, timeout))?;
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    /// Tells whether a kept connection may carry the next request: one that the backend server
    /// closed, or on which an answer arrived too late, may not.
    fn is_open(&mut self) -> bool {
        let mut byte = [0];
        if self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.stream.peek(&mut byte);
        let quiet = matches!(&peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        quiet && self.stream.set_nonblocking(false).is_ok()
    }
}

/// Turns the socket's timeout into the library's.
fn timed(error: std::io::Error, timeout: NextTimeout) -> Error {
    match error.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
            Error::Timeout(timeout.reason)
        }
        _ => Error::Io(error),
    }
}
