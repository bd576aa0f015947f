//! A blocking HTTP caller on one keepalive connection, which adds as little latency of its own as possible.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a caller waits for bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A caller with its own connection.
#[derive(Debug)]
pub struct RawCaller {
    to: SocketAddr,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
}

impl RawCaller {
    /// Returns a caller that connects at its first call.
    pub fn new(to: SocketAddr) -> Self {
        Self {
            to,
            stream: None,
            buffer: vec![0; 16 * 1024],
        }
    }

    /// Sends a request, reads the complete answer and returns its status, or `None` if the answer was not complete.
    pub fn call(&mut self, request: &[u8]) -> Option<u16> {
        let called = self.exchange(request);
        if called.is_none() {
            self.stream = None;
        }
        called
    }

    fn exchange(&mut self, request: &[u8]) -> Option<u16> {
        if self.stream.is_none() {
            let stream = TcpStream::connect(self.to).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut()?;
        stream.write_all(request).ok()?;
        let mut received_bytes = 0;
        loop {
            let read = stream.read(&mut self.buffer[received_bytes..]).ok()?;
            if read == 0 {
                return None;
            }
            received_bytes += read;
            if let Some((status, length)) = parse_answer(&self.buffer[..received_bytes])
                && received_bytes >= length
            {
                return Some(status);
            }
        }
    }
}

/// Returns an answer's status and total length, once its headers are complete.
fn parse_answer(bytes: &[u8]) -> Option<(u16, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut answer = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = answer.parse(bytes).ok()? else {
        return None;
    };
    let length = answer.headers.iter();
    let mut length = length.filter(|header| header.name.eq_ignore_ascii_case("content-length"));
    let length = std::str::from_utf8(length.next()?.value).ok()?;
    Some((answer.code?, head + length.parse::<usize>().ok()?))
}
