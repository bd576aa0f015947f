//! Determines how an answer's body ends, so that a truncated body is never passed on as complete.

use ureq::http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use ureq::http::{Method, StatusCode};

/// How the body of an answer ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    /// There is no body.
    Empty,
    /// After this many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// Only the end of the connection marks the end, or the head contradicts itself: such a body cannot be proved
    /// complete.
    Undelimited,
}

/// Returns how an answer's body ends.
pub(super) fn framing(method: &Method, status: StatusCode, headers: &HeaderMap) -> Framing {
    let bodyless = matches!(status.as_u16(), 204 | 304);
    if method == Method::HEAD || bodyless {
        return Framing::Empty;
    }
    let codings: Vec<_> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    match (codings.as_slice(), lengths.next()) {
        ([], Some(length)) if lengths.all(|other| other == length) => {
            let length = length.to_str().ok().and_then(parse_digits);
            length.map_or(Framing::Undelimited, Framing::Length)
        }
        ([coding], None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Framing::Chunked,
        _ => Framing::Undelimited,
    }
}

fn parse_digits(length: &str) -> Option<u64> {
    let all_digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
    if all_digits {
        length.parse().ok()
    } else {
        None
    }
}
