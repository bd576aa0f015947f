//! Reads a link line by line, and keeps track of a line that is still arriving.

use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncRead, BufReader};

use crate::clock;

/// The capacity of the read buffer.
const BUFFER_BYTES: usize = 8 * 1024;

/// The most memory that is kept for the next line: most are far shorter, and a table of all servers is a megabyte.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Why no line was read.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The link failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Nothing arrived within the timeout.
    #[error("no data arrived within the timeout")]
    TimedOut,
}

/// A reader of the lines of a link.
#[derive(Debug)]
pub struct Lines<R> {
    reader: BufReader<R>,
    line: Vec<u8>,
    is_complete: bool,
    line_started: Instant,
    last_received: Instant,
}

impl<R: AsyncRead + Unpin> Lines<R> {
    /// Builds a reader for a link that has just been opened.
    pub fn new(link: R) -> Self {
        Self {
            reader: BufReader::with_capacity(BUFFER_BYTES, link),
            line: Vec::new(),
            is_complete: true,
            line_started: clock::now(),
            last_received: clock::now(),
        }
    }

    /// Returns the next line, or `None` at the end of the link. The timeout restarts with each byte: a slow line may
    /// take as long as it keeps arriving.
    ///
    /// # Errors
    ///
    /// Returns an error if the link fails, or if nothing arrives within `timeout`.
    pub async fn next(&mut self, timeout: Duration) -> Result<Option<&[u8]>, LineError> {
        loop {
            let reading = tokio::time::timeout(timeout, self.read());
            let has_bytes = reading.await.map_err(|_| LineError::TimedOut)??;
            if !has_bytes {
                return Ok(None);
            }
            if self.is_complete {
                return Ok(Some(&self.line));
            }
        }
    }

    /// Reads some bytes of a line; returns whether any arrived before the end of the link.
    async fn read(&mut self) -> std::io::Result<bool> {
        let bytes = self.reader.fill_buf().await?;
        if std::mem::take(&mut self.is_complete) {
            forget(&mut self.line);
            self.line_started = clock::now();
        }
        self.last_received = clock::now();
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let count = end.map_or(bytes.len(), |end| end + 1);
        let arrived = bytes.get(..count).unwrap_or_default();
        self.line.extend_from_slice(arrived);
        self.is_complete = end.is_some();
        self.reader.consume(count);
        Ok(count > 0)
    }

    /// Returns how many bytes have arrived of a line that is not complete yet.
    pub fn partial_bytes(&self) -> usize {
        match self.is_complete {
            true => 0,
            false => self.line.len(),
        }
    }

    /// Returns how long ago the last bytes arrived.
    pub fn silent_for(&self) -> Duration {
        clock::now().saturating_duration_since(self.last_received)
    }

    /// Returns the length in bytes of the line that was read last, and how long it took to arrive.
    pub fn last_line(&self) -> (usize, Duration) {
        let took = self
            .last_received
            .saturating_duration_since(self.line_started);
        (self.line.len(), took)
    }
}

/// Empties the buffer of a line, and gives back the memory of a long one.
fn forget(line: &mut Vec<u8>) {
    match line.capacity() > MAX_KEPT_BYTES {
        true => *line = Vec::new(),
        false => line.clear(),
    }
}
