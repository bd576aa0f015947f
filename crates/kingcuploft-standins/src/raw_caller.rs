//! A caller on one kept-alive connection and one thread, which adds as little as can be.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a caller waits.
const PATIENCE: Duration = Duration::from_secs(10);

/// A caller.
#[derive(Debug)]
pub struct RawCaller {
    to: SocketAddr,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
}

impl RawCaller {
    /// Builds a caller that connects with its first call.
    pub fn new(to: SocketAddr) -> Self {
        Self {
            to,
            stream: None,
            buffer: vec![0; 16 * 1024],
        }
    }

    /// Sends a request and reads its whole answer; returns the status, `None` where the answer
    /// was not whole.
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
            stream.set_read_timeout(Some(PATIENCE)).ok()?;
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut()?;
        stream.write_all(request).ok()?;
        let mut filled = 0;
        loop {
            let read = stream.read(&mut self.buffer[filled..]).ok()?;
            if read == 0 {
                return None;
            }
            filled += read;
            if let Some((status, length)) = answer(&self.buffer[..filled])
                && filled >= length
            {
                return Some(status);
            }
        }
    }
}

/// Returns an answer's status and whole length, once its head is there.
fn answer(bytes: &[u8]) -> Option<(u16, usize)> {
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
