//! HTTP messages whose framing goes on without end.

use bytes::BytesMut;
use kingcuploft_entry::http::body::{BodyError, BodyReader, Framing};

/// The most bytes of a body.
const MAX_BODY_BYTES: usize = 1 << 20;

fn read_in_chunks(text: &str) -> Result<usize, BodyError> {
    let mut reader = BodyReader::new(Framing::Chunked, MAX_BODY_BYTES)?;
    let mut bytes = BytesMut::from(text);
    reader.read(&mut bytes)?;
    Ok(reader.bytes_read())
}

/// Guards against bodies whose framing goes on without end while they stay within their bound.
#[test]
fn framing_without_end_is_refused() {
    let extended = format!("1;{}\r\nx\r\n", "e".repeat(200));
    let endless = [
        extended.repeat(10_000),
        format!("0\r\n{}", "x-late: y\r\n".repeat(10_000)),
        format!("1\r\nx\r\n0\r\n{}", "x-late: y\r\n".repeat(10_000)),
    ];
    for text in endless {
        assert_eq!(read_in_chunks(&text), Err(BodyError::Framing));
    }
}

/// Guards against honest bodies that are refused, as they come in chunks of one byte or with trailers.
#[test]
fn a_body_in_small_chunks_with_trailers_is_read() {
    let chunks = "1\r\nx\r\n".repeat(100_000);
    let trailers = "x-late: y\r\n".repeat(100);
    let text = format!("{chunks}0\r\n{trailers}\r\n");
    assert_eq!(read_in_chunks(&text), Ok(100_000));
}
