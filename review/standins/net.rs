//! Messages of HTTP/1.1 as the stand-ins read and write them, and a record of what was seen.

use std::io::Read;
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::Instant;

/// The head of a message.
#[derive(Clone, Debug)]
pub struct Head {
    pub text: String,
}

impl Head {
    /// Returns the words of the first line.
    pub fn first_line(&self) -> (&str, &str) {
        let mut words = self.text.lines().next().unwrap_or_default().split(' ');
        (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        )
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line().1.parse().unwrap_or(0)
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut pairs = self
            .text
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        let found = pairs.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }
}

/// Reads a message whose body, if any, has a length. `None` if the connection ends before it is complete.
pub fn read_message(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<(Head, Vec<u8>)> {
    let mut buffer = [0; 8192];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = Head {
                text: String::from_utf8_lossy(&bytes[..end + 4]).into_owned(),
            };
            let length = head.header("content-length");
            let length: usize = length.and_then(|value| value.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                bytes.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => bytes.extend_from_slice(&buffer[..read]),
            _ => return None,
        }
    }
}

/// Returns the text of the value that a JSON object has under a key; the object is one that the programs under test or
/// the stand-ins wrote.
pub fn value_of<'a>(object: &'a str, key: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let (mut depth, mut at, mut is_key) = (0_i32, 0, false);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let end = end_of_string(bytes, at);
                if depth == 1 && is_key && &object[at + 1..end] == key {
                    let colon = end + 1 + object[end + 1..].find(':')?;
                    return Some(whole_value(object, colon + 1));
                }
                is_key = false;
                at = end;
            }
            b'{' | b'[' => {
                depth += 1;
                is_key = bytes[at] == b'{';
            }
            b'}' | b']' => depth -= 1,
            b',' => is_key = depth == 1,
            _ => {}
        }
        at += 1;
    }
    None
}

fn end_of_string(bytes: &[u8], start: usize) -> usize {
    let mut at = start + 1;
    while at < bytes.len() && bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at.min(bytes.len() - 1)
}

fn whole_value(object: &str, from: usize) -> &str {
    let bytes = object.as_bytes();
    let start = from + object[from..].len() - object[from..].trim_start().len();
    let (mut depth, mut at) = (0_i32, start);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => at = end_of_string(bytes, at),
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' if depth == 0 => return object[start..at].trim_end(),
            b'}' | b']' => depth -= 1,
            _ => {}
        }
        at += 1;
    }
    object[start..].trim_end()
}

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
        }
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Adds a line and returns its time.
    pub fn add(&self, text: impl Into<String>) -> f64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
        now
    }

    /// Writes all lines, ordered by time, after those of a summary.
    pub fn write(&self, path: &str, summary: &[String]) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = summary.join("\n") + "\n\n";
        for (at, line) in lines {
            text.push_str(&format!("{at:9.4} {line}\n"));
        }
        std::fs::write(path, text)
    }
}

/// A source of random numbers.
pub struct Chance(Mutex<u64>);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1))
    }

    /// Returns a number from 0 to 1.
    pub fn next(&self) -> f64 {
        let mut state = self.0.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) as f64 / (1_u64 << 53) as f64
    }
}
