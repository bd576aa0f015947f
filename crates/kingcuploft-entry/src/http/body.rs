//! Message bodies: framed by length, in chunks, or until the connection closes.

use bytes::BytesMut;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// After this many bytes.
    Length(usize),
    /// With an empty chunk.
    Chunked,
    /// When the connection closes.
    UntilClose,
}

/// The most bytes of a line that gives a chunk's length.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// The most bytes of chunk lines and trailers that a body may have whatever its length.
const MAX_FRAMING_BYTES: usize = 16 * 1024;

/// The most bytes of chunk lines for each byte of a body: chunks of one byte have five.
const MAX_FRAMING_PER_BODY_BYTE: usize = 8;

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BodyError {
    /// A chunk is malformed.
    #[error("a chunk of the body is malformed")]
    Malformed,
    /// The body is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// Chunk lines and trailers are many times as long as the body.
    #[error("the body has too little in its chunks")]
    Framing,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Length(usize),
    ChunkLine,
    Chunk(usize),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Reads one body incrementally.
#[derive(Debug)]
pub struct BodyReader {
    state: State,
    max_bytes: usize,
    framing_bytes: usize,
    body: Vec<u8>,
}

impl BodyReader {
    /// Creates a reader for a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::TooLong`] if the announced length is greater.
    pub fn new(framing: Framing, max_bytes: usize) -> Result<Self, BodyError> {
        let state = match framing {
            Framing::Length(length) if length > max_bytes => return Err(BodyError::TooLong),
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkLine,
            Framing::UntilClose => State::UntilClose,
        };
        let max_bytes = match framing {
            Framing::Length(length) => length,
            Framing::Chunked | Framing::UntilClose => max_bytes,
        };
        Ok(Self {
            state,
            max_bytes,
            framing_bytes: 0,
            body: Vec::new(),
        })
    }

    /// Consumes bytes of the body from `bytes`; returns whether the body is complete.
    ///
    /// # Errors
    ///
    /// Returns an error for a malformed chunk or a body that is too long.
    pub fn read(&mut self, bytes: &mut BytesMut) -> Result<bool, BodyError> {
        while self.state != State::Done {
            if !self.step(bytes)? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Returns whether the body is complete now that the connection has closed.
    pub fn is_complete_at_close(&mut self) -> bool {
        matches!(self.state, State::UntilClose | State::Done)
    }

    /// Returns how many bytes of the body have been read.
    pub fn bytes_read(&self) -> usize {
        self.body.len()
    }

    /// Returns how many bytes the body takes at most in memory after so many more have been read.
    pub fn capacity_with(&self, more_bytes: usize) -> usize {
        let bytes = self.body.len() + more_bytes;
        match bytes <= self.body.capacity() {
            true => self.body.capacity(),
            false => self.grown_capacity(bytes),
        }
    }

    /// Returns the capacity to which the memory of the body grows when it must hold so many bytes.
    fn grown_capacity(&self, bytes: usize) -> usize {
        (2 * bytes).min(self.max_bytes).max(bytes)
    }

    /// Returns the bytes of the body.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Consumes one part of the body; returns whether another can be read from the bytes at hand.
    fn step(&mut self, bytes: &mut BytesMut) -> Result<bool, BodyError> {
        match self.state {
            State::Done => Ok(false),
            State::Length(left) => {
                let left = self.take(bytes, left)?;
                self.state = match left {
                    0 => State::Done,
                    left => State::Length(left),
                };
                Ok(left == 0)
            }
            State::Chunk(left) => {
                let left = self.take(bytes, left)?;
                self.state = match left {
                    0 => State::ChunkEnd,
                    left => State::Chunk(left),
                };
                Ok(left == 0)
            }
            State::UntilClose => {
                self.take(bytes, usize::MAX)?;
                Ok(false)
            }
            State::ChunkLine | State::ChunkEnd | State::Trailer => self.line(bytes),
        }
    }

    fn take(&mut self, bytes: &mut BytesMut, left: usize) -> Result<usize, BodyError> {
        let consumed = left.min(bytes.len());
        if self.body.len() + consumed > self.max_bytes {
            return Err(BodyError::TooLong);
        }
        let filled = self.body.len() + consumed;
        if filled > self.body.capacity() {
            let grown = self.grown_capacity(filled);
            self.body.reserve_exact(grown - self.body.len());
        }
        self.body.extend_from_slice(&bytes.split_to(consumed));
        Ok(left - consumed)
    }

    fn line(&mut self, bytes: &mut BytesMut) -> Result<bool, BodyError> {
        let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else {
            return match bytes.len() > MAX_CHUNK_LINE_BYTES {
                true => Err(BodyError::Malformed),
                false => Ok(false),
            };
        };
        let mut line = bytes.split_to(end + 2);
        self.framing_bytes += line.len();
        if self.framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self.body.len() {
            return Err(BodyError::Framing);
        }
        line.truncate(end);
        self.state = match self.state {
            State::ChunkEnd if line.is_empty() => State::ChunkLine,
            State::ChunkEnd => return Err(BodyError::Malformed),
            State::ChunkLine => match chunk_length(&line)? {
                0 => State::Trailer,
                length => State::Chunk(length),
            },
            State::Trailer if line.is_empty() => State::Done,
            other => other,
        };
        Ok(true)
    }
}

fn chunk_length(line: &[u8]) -> Result<usize, BodyError> {
    let digits = line.split(|&b| b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::Malformed)?;
    let text = text.trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(BodyError::Malformed);
    }
    usize::from_str_radix(text, 16).map_err(|_| BodyError::Malformed)
}
