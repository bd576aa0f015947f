//! The bytes of a scripted server's answers.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::server::ReceivedRequest;

/// How many bytes of a long answer are sent at once.
const SLOW_CHUNK_BYTES: usize = 64 * 1024;

/// The pause between two chunks of a long answer.
const SLOW_CHUNK_PAUSE: Duration = Duration::from_millis(10);

pub(crate) fn request_id(request: &ReceivedRequest) -> &str {
    request.header("x-id").unwrap_or_default()
}

pub(crate) fn whole_answer(request: &ReceivedRequest) -> String {
    let id = request_id(request);
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: s\r\nContent-Length: 5\r\n\r\nhello")
}

/// Answers with a body of so many bytes, in chunks with pauses between them.
pub(crate) async fn answer_slowly(
    stream: &mut TcpStream,
    id: &str,
    length: usize,
) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: s\r\n");
    let framing = "Transfer-Encoding: chunked\r\n\r\n";
    stream.write_all((head + framing).as_bytes()).await?;
    let mut left = length;
    while left > 0 {
        let chunk = left.min(SLOW_CHUNK_BYTES);
        let line = format!("{chunk:x}\r\n");
        stream.write_all(line.as_bytes()).await?;
        stream.write_all(&vec![b'h'; chunk]).await?;
        stream.write_all(b"\r\n").await?;
        left -= chunk;
        tokio::time::sleep(SLOW_CHUNK_PAUSE).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}

pub(crate) fn refusal_with_pause(status: &str, id: &str, pause_ms: u32) -> String {
    let pause = pause_header(pause_ms);
    format!("HTTP/1.1 {status}\r\nx-id: {id}\r\nx-not-run: 1\r\n{pause}Content-Length: 0\r\n\r\n")
}

pub(crate) fn pause_header(pause_ms: u32) -> String {
    format!("Retry-After: {}\r\n", f64::from(pause_ms) / 1000.0)
}
