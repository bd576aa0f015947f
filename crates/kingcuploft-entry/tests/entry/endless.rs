//! Bytes that are no answer and come without end, until the other side closes the connection.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// How many bytes are written at once.
const BLOCK_BYTES: usize = 32 * 1024;

/// The pause between two single bytes of a trickle.
const TRICKLE_PAUSE: Duration = Duration::from_millis(1);

/// Which part of an answer has no end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Part {
    /// Bytes that are no head.
    Garbage,
    /// Empty lines before a head.
    EmptyLines,
    /// The value of one header.
    Header,
    /// Header lines.
    HeaderLines,
    /// Interim responses.
    Interim,
    /// Chunks of the body.
    Chunks,
    /// Chunks of one byte, each with a long extension.
    Extensions,
    /// Lines after the last chunk.
    Trailer,
    /// A body that ends when the connection closes.
    UntilClose,
    /// A body whose announced length is the greatest that can be written.
    Announced,
}

impl Part {
    pub(crate) const ALL: [Self; 10] = [
        Self::Garbage,
        Self::EmptyLines,
        Self::Header,
        Self::HeaderLines,
        Self::Interim,
        Self::Chunks,
        Self::Extensions,
        Self::Trailer,
        Self::UntilClose,
        Self::Announced,
    ];

    /// Returns the bytes before the endless part, where `headers` mark the answer as the server's.
    fn beginning(self, headers: &str) -> String {
        let head = format!("HTTP/1.1 200 OK\r\n{headers}");
        match self {
            Self::Garbage | Self::EmptyLines | Self::Interim => String::new(),
            Self::Header => format!("{head}x-long: "),
            Self::HeaderLines => head,
            Self::Chunks | Self::Extensions => {
                format!("{head}Transfer-Encoding: chunked\r\n\r\n")
            }
            Self::Trailer => format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n"),
            Self::UntilClose => format!("{head}\r\n"),
            Self::Announced => format!("{head}Content-Length: {}\r\n\r\n", usize::MAX),
        }
    }

    /// Returns the bytes that are repeated.
    fn repeated(self) -> String {
        match self {
            Self::Garbage | Self::Header | Self::UntilClose | Self::Announced => "x".repeat(64),
            Self::EmptyLines => "\r\n".into(),
            Self::HeaderLines => "x-more: y\r\n".into(),
            Self::Interim => "HTTP/1.1 102 Processing\r\n\r\n".into(),
            Self::Chunks => format!("400\r\n{}\r\n", "x".repeat(0x400)),
            Self::Extensions => format!("1;{}\r\nx\r\n", "e".repeat(240)),
            Self::Trailer => "x-late: y\r\n".into(),
        }
    }
}

/// How fast the bytes come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Pace {
    /// As fast as they are taken.
    Fast,
    /// One by one, with pauses.
    Trickle,
}

/// Sends an answer with an endless part until the connection closes; returns how many bytes were sent.
pub(crate) async fn send(stream: &mut TcpStream, headers: &str, part: Part, pace: Pace) -> u64 {
    let beginning = part.beginning(headers);
    if stream.write_all(beginning.as_bytes()).await.is_err() {
        return 0;
    }
    let sent = beginning.len() as u64;
    let repeated = part.repeated().into_bytes();
    match pace {
        Pace::Fast => sent + flood(stream, &repeated).await,
        Pace::Trickle => sent + trickle(stream, &repeated).await,
    }
}

async fn flood(stream: &mut TcpStream, repeated: &[u8]) -> u64 {
    let block = repeated.repeat(BLOCK_BYTES / repeated.len());
    let mut sent = 0;
    while stream.write_all(&block).await.is_ok() {
        sent += block.len() as u64;
    }
    sent
}

async fn trickle(stream: &mut TcpStream, repeated: &[u8]) -> u64 {
    let mut sent = 0;
    for byte in repeated.iter().cycle() {
        if stream.write_all(&[*byte]).await.is_err() {
            break;
        }
        sent += 1;
        tokio::time::sleep(TRICKLE_PAUSE).await;
    }
    sent
}
