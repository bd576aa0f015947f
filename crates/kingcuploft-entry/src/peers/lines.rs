//! Reads a link line by line, and knows of a line that is still arriving.

use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};

use crate::clock;

/// The bytes read at once.
const BUFFER_BYTES: usize = 8 * 1024;

/// The lines that come over a link.
#[derive(Debug)]
pub struct Lines<R> {
    reader: BufReader<R>,
    line: Vec<u8>,
    whole: bool,
    began: Instant,
    heard: Instant,
}

impl<R: AsyncRead + Unpin> Lines<R> {
    /// Reads from a link that has just been opened.
    pub fn of(link: R) -> Self {
        Self {
            reader: BufReader::with_capacity(BUFFER_BYTES, link),
            line: Vec::new(),
            whole: true,
            began: clock::now(),
            heard: clock::now(),
        }
    }

    /// Returns the next line, or `None` at the end of the link. Where it is broken off, the next call goes on.
    ///
    /// # Errors
    ///
    /// Returns an error if the link fails.
    pub async fn next(&mut self) -> std::io::Result<Option<&[u8]>> {
        while self.read().await? {
            if self.whole {
                return Ok(Some(&self.line));
            }
        }
        Ok(None)
    }

    /// Reads some bytes of a line; returns whether there were any.
    async fn read(&mut self) -> std::io::Result<bool> {
        let bytes = self.reader.fill_buf().await?;
        if std::mem::take(&mut self.whole) {
            self.line.clear();
            self.began = clock::now();
        }
        self.heard = clock::now();
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let count = end.map_or(bytes.len(), |end| end + 1);
        self.line.extend_from_slice(&bytes[..count]);
        self.whole = end.is_some();
        self.reader.consume(count);
        Ok(count > 0)
    }

    /// Returns the bytes of a line that is not whole yet.
    pub fn partial_bytes(&self) -> usize {
        match self.whole {
            true => 0,
            false => self.line.len(),
        }
    }

    /// Returns how long nothing has arrived.
    pub fn silent_for(&self) -> Duration {
        clock::now().saturating_duration_since(self.heard)
    }

    /// Returns the length of the line that was read last, and how long it took to arrive.
    pub fn last(&self) -> (usize, Duration) {
        let took = self.heard.saturating_duration_since(self.began);
        (self.line.len(), took)
    }
}
