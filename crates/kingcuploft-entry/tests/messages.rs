//! HTTP messages that arrive in small pieces, or with framing that goes on without end.

use bytes::BytesMut;
use kingcuploft_entry::http::body::{BodyError, BodyReader, Framing};
use kingcuploft_entry::http::head;
use kingcuploft_entry::http::head_scan::HeadScan;

/// The length of a long head, in bytes.
const LONG_HEAD_BYTES: usize = 60_000;

/// The most bytes of a body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Returns how many bytes are parsed in all while a head arrives byte by byte, and how many had arrived at the last time.
fn parsed_bytes(head: &[u8]) -> (usize, usize) {
    let mut scan = HeadScan::default();
    let lengths = (1..=head.len()).filter(|length| scan.is_parse_due(&head[..*length]));
    lengths.fold((0, 0), |(sum, _), length| (sum + length, length))
}

/// Guards against a processor that is busy with one head that arrives byte by byte.
#[test]
fn the_bytes_of_a_slow_head_are_parsed_a_few_times_at_most() {
    let head = format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(LONG_HEAD_BYTES));
    let (parsed, _) = parsed_bytes(head.as_bytes());
    assert!(parsed <= 3 * head.len(), "{parsed}");
}

/// Guards against a head that has arrived and is not noticed.
#[test]
fn a_head_is_parsed_when_its_end_arrives() {
    for end in ["\r\n\r\n", "\n\n", "\n\r\n", "\r\n\n"] {
        for value_length in 0..40 {
            let value = "y".repeat(value_length);
            let head = format!("HTTP/1.1 200 OK\r\nx: {value}{end}");
            let (_, last) = parsed_bytes(head.as_bytes());
            assert_eq!(last, head.len(), "{head:?}");
        }
    }
}

/// Guards against a head that arrives at once and is not parsed, as its end is at its beginning.
#[test]
fn a_head_that_arrives_at_once_is_parsed_at_once() {
    assert!(HeadScan::default().is_parse_due(b"HTTP/1.1 200 OK\r\n\r\n"));
    assert!(!HeadScan::default().is_parse_due(b""));
}

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

/// Guards against a body that takes more memory than was reserved for it before it was read.
#[test]
fn a_body_takes_no_more_memory_than_foretold() {
    let mut reader = BodyReader::new(Framing::UntilClose, MAX_BODY_BYTES).unwrap();
    for length in [1, 7, 100, 3, 4096, 4096, 1, 30_000, 9, 200_000] {
        let foretold = reader.capacity_with(length);
        reader.read(&mut BytesMut::from(&*vec![0; length])).unwrap();
        assert!(reader.capacity_with(0) <= foretold);
    }
}

/// Guards against heads that are no head of a response and are read as one.
#[test]
fn heads_with_statuses_that_http_lacks_are_refused() {
    let is_refused = |head: &str| head::parse_response(head.as_bytes(), "GET").is_err();
    for status in ["000", "001", "099", "101", "600", "700", "999"] {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        assert!(is_refused(&head), "{status}");
    }
    for body in ["Content-Length: 5", "Transfer-Encoding: chunked"] {
        let head = format!("HTTP/1.1 100 Continue\r\n{body}\r\n\r\n");
        assert!(is_refused(&head), "an interim response with {body}");
    }
    for head in [
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 599 Late\r\nContent-Length: 0\r\n\r\n",
    ] {
        assert!(!is_refused(head), "{head}");
    }
}
