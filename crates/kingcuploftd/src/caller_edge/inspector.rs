//! Detects ambiguous request heads in a connection's raw bytes, as a guard against request smuggling.
//!
//! Failure: request smuggling. The HTTP library takes the first of two equal lengths, prefers a transfer coding over a
//! length and accepts lines that end without a carriage return. Each is a valid reading, but another server on the path
//! may read the message differently, and the bytes after it then become a request that nobody sent. So such a request
//! is refused and its connection closed. The inspector follows the same framing as the library, so it finds every head,
//! and gives one verdict per head.

use std::collections::VecDeque;

/// Whether a request head is accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It has exactly one reading.
    Valid,
    /// It has more than one reading, no host or several hosts.
    Ambiguous,
    /// It is too long.
    TooLarge,
}

#[derive(Debug)]
enum Phase {
    Head,
    Body(u64),
    ChunkSize,
    Chunk(u64),
    Trailers,
    /// The connection ends after the last verdict.
    Ended,
}

#[derive(Debug, Default)]
struct Head {
    bytes: usize,
    lines: usize,
    hosts: usize,
    lengths: usize,
    length: u64,
    codings: usize,
    chunked: bool,
    has_bare_line_feed: bool,
    is_http_1_0: bool,
}

/// Parses the framing of the bytes that a caller sends on one connection.
#[derive(Debug)]
pub struct Inspector {
    limit_bytes: usize,
    phase: Phase,
    line: Vec<u8>,
    head: Head,
    verdicts: VecDeque<Verdict>,
}

impl Inspector {
    /// Builds an inspector for heads of at most `limit_bytes` bytes.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            phase: Phase::Head,
            line: Vec::new(),
            head: Head::default(),
            verdicts: VecDeque::new(),
        }
    }

    /// Removes and returns the verdict on the next request, in the order of the heads.
    pub fn next_verdict(&mut self) -> Verdict {
        self.verdicts.pop_front().unwrap_or(Verdict::Ambiguous)
    }

    /// Processes the bytes of one read.
    pub fn process(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let used = match &mut self.phase {
                Phase::Ended => return,
                Phase::Body(left) => skip(left, bytes.len()),
                Phase::Chunk(left) => skip(left, bytes.len()),
                Phase::Head | Phase::ChunkSize | Phase::Trailers => self.read_line(bytes),
            };
            bytes = &bytes[used..];
            match self.phase {
                Phase::Body(0) => self.phase = Phase::Head,
                Phase::Chunk(0) => self.phase = Phase::ChunkSize,
                _ => {}
            }
        }
    }

    /// Reads bytes up to the end of a line; returns how many were used.
    fn read_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let used = end.map_or(bytes.len(), |end| end + 1);
        self.line.extend_from_slice(&bytes[..used]);
        if self.line.len() > self.limit_bytes {
            self.end(Verdict::TooLarge);
        } else if end.is_some() {
            let line = std::mem::take(&mut self.line);
            self.on_line(&line);
            self.line = line;
            self.line.clear();
        }
        used
    }

    fn on_line(&mut self, line: &[u8]) {
        let bare = !line.ends_with(b"\r\n");
        let text = line.strip_suffix(b"\n").unwrap_or(line);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        match self.phase {
            Phase::Head => self.on_head_line(text, bare),
            Phase::ChunkSize => match chunk_size(text) {
                Some(0) => self.phase = Phase::Trailers,
                Some(size) => self.phase = Phase::Chunk(size.saturating_add(2)),
                None => self.phase = Phase::Ended,
            },
            Phase::Trailers if text.is_empty() => self.phase = Phase::Head,
            _ => {}
        }
    }

    fn on_head_line(&mut self, text: &[u8], bare: bool) {
        let head = &mut self.head;
        head.bytes += text.len();
        head.has_bare_line_feed |= bare;
        if head.bytes > self.limit_bytes {
            return self.end(Verdict::TooLarge);
        }
        match text {
            // Empty lines before a request line are ignored.
            [] if head.lines == 0 => self.head = Head::default(),
            [] => self.on_head_end(),
            _ => {
                head.lines += 1;
                head.on_line(text);
            }
        }
    }

    fn on_head_end(&mut self) {
        let head = std::mem::take(&mut self.head);
        if head.is_ambiguous() {
            return self.end(Verdict::Ambiguous);
        }
        self.verdicts.push_back(Verdict::Valid);
        self.phase = match (head.chunked, head.length) {
            (true, _) => Phase::ChunkSize,
            (false, 0) => Phase::Head,
            (false, length) => Phase::Body(length),
        };
    }

    fn end(&mut self, verdict: Verdict) {
        self.verdicts.push_back(verdict);
        self.phase = Phase::Ended;
    }
}

impl Head {
    fn on_line(&mut self, line: &[u8]) {
        if self.lines == 1 {
            self.is_http_1_0 = line.ends_with(b"HTTP/1.0");
            return;
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"host") {
            self.hosts += 1;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths += 1;
            let length = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
            self.length = length.unwrap_or(0);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.codings += 1;
            self.chunked = value.eq_ignore_ascii_case(b"chunked");
        }
    }

    fn is_ambiguous(&self) -> bool {
        let hosts_wrong = self.hosts > 1 || (self.hosts == 0 && !self.is_http_1_0);
        let coding_wrong = self.codings > 1 || (self.codings == 1 && !self.chunked);
        let both = self.codings > 0 && self.lengths > 0;
        self.has_bare_line_feed || hosts_wrong || coding_wrong || both || self.lengths > 1
    }
}

fn skip(left: &mut u64, available: usize) -> usize {
    let used = (*left).min(available as u64);
    *left -= used;
    used as usize
}

fn chunk_size(line: &[u8]) -> Option<u64> {
    let size = line.split(|byte| *byte == b';').next()?;
    let size = std::str::from_utf8(size.trim_ascii()).ok()?;
    u64::from_str_radix(size, 16).ok()
}
