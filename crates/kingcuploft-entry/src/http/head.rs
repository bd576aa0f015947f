//! The heads of requests and responses, and how long the body behind them is.

use super::body::Framing;
use super::headers::Headers;

/// The most headers of one message.
const MAX_HEADERS: usize = 100;

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum HeadError {
    /// The bytes are no HTTP/1 head.
    #[error("the head is not HTTP/1")]
    Malformed,
    /// The length of the body can be understood in more than one way.
    #[error("the length of the body is ambiguous")]
    Ambiguous,
    /// A request names no host, or more than one.
    #[error("a request names exactly one host")]
    Host,
}

/// A request up to its body.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Its method.
    pub method: String,
    /// Its target: path and query, as they came.
    pub target: String,
    /// Its headers.
    pub headers: Headers,
    /// Whether the connection stays open behind the answer, by the caller's wish.
    pub keep_alive: bool,
    /// How its body ends.
    pub framing: Framing,
}

/// A response up to its body.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// Whether the connection can be used again behind it.
    pub keep_alive: bool,
    /// How its body ends.
    pub framing: Framing,
}

/// Reads a request's head at the start of `bytes`; `None` while it is not whole. The number is the
/// head's length.
///
/// # Errors
///
/// Returns an error for bytes that are no request, or one that can be read in two ways.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut slots);
    let status = parsed.parse(bytes).map_err(|_| HeadError::Malformed)?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let headers = collect(parsed.headers);
    let old = parsed.version == Some(0);
    let hosts = headers.get_all("host").count();
    if hosts > 1 || (hosts == 0 && !old) {
        return Err(HeadError::Host);
    }
    let target = parsed.path.unwrap_or_default();
    if !target.starts_with('/') {
        return Err(HeadError::Malformed);
    }
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: target.to_owned(),
        keep_alive: keep_alive(&headers, old),
        framing: framing(&headers)?.unwrap_or(Framing::Length(0)),
        headers,
    };
    Ok(Some((head, length)))
}

/// Reads a response's head at the start of `bytes`, the answer to a request with this method.
///
/// # Errors
///
/// Returns an error for bytes that are no response, or one that can be read in two ways.
pub fn parse_response(
    bytes: &[u8],
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut slots);
    let status = parsed.parse(bytes).map_err(|_| HeadError::Malformed)?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let headers = collect(parsed.headers);
    let status = parsed.code.unwrap_or_default();
    let bodyless = method == "HEAD" || status == 204 || status == 304 || status < 200;
    let framing = match (bodyless, framing(&headers)?) {
        (true, _) => Framing::Length(0),
        (false, known) => known.unwrap_or(Framing::UntilClose),
    };
    let head = ResponseHead {
        status,
        keep_alive: keep_alive(&headers, parsed.version == Some(0))
            && framing != Framing::UntilClose,
        headers,
        framing,
    };
    Ok(Some((head, length)))
}

fn collect(parsed: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for header in parsed {
        headers.push(header.name, header.value);
    }
    headers
}

fn keep_alive(headers: &Headers, old: bool) -> bool {
    match old {
        true => headers.has_token("connection", "keep-alive"),
        false => !headers.has_token("connection", "close"),
    }
}

/// Returns how the body ends, if the headers say. A message with both a length and an encoding, or
/// with two lengths, is how requests are smuggled past a proxy, and is refused.
fn framing(headers: &Headers) -> Result<Option<Framing>, HeadError> {
    let encodings: Vec<&[u8]> = headers.get_all("transfer-encoding").collect();
    let lengths: Vec<&[u8]> = headers.get_all("content-length").collect();
    match (encodings.as_slice(), lengths.as_slice()) {
        ([], []) => Ok(None),
        ([encoding], []) if encoding.eq_ignore_ascii_case(b"chunked") => Ok(Some(Framing::Chunked)),
        ([], [length]) => parse_length(length).map(|length| Some(Framing::Length(length))),
        _ => Err(HeadError::Ambiguous),
    }
}

fn parse_length(value: &[u8]) -> Result<usize, HeadError> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| digits);
    text.and_then(|text| text.parse().ok())
        .ok_or(HeadError::Ambiguous)
}
