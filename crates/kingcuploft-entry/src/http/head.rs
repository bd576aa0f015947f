//! Parses the heads of requests and responses, and determines the framing of their bodies.

use super::body::Framing;
use super::headers::Headers;

/// The most headers of one message.
const MAX_HEADERS: usize = 100;

/// The statuses that a response can have.
const STATUSES: std::ops::Range<u16> = 100..600;

/// The statuses of interim responses, which have no body: a response follows.
const INTERIM_STATUSES: std::ops::Range<u16> = 100..200;

/// The status by which a connection changes to another protocol, which no request asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Why a head can't be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum HeadError {
    /// The bytes are no HTTP/1 head.
    #[error("the head is not HTTP/1")]
    Malformed,
    /// The status is none that a response here can have.
    #[error("the status is invalid")]
    Status,
    /// The length of the body is ambiguous.
    #[error("the length of the body is ambiguous")]
    Ambiguous,
    /// The request names no host, or more than one.
    #[error("a request names exactly one host")]
    Host,
}

/// The request line and the headers of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The target: path and query, as received.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// Whether the caller wants to reuse the connection after the answer.
    pub keep_alive: bool,
    /// How the end of the body is found.
    pub framing: Framing,
}

/// The status line and the headers of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: Headers,
    /// Whether the connection can be reused after the response.
    pub keep_alive: bool,
    /// How the end of the body is found.
    pub framing: Framing,
}

impl ResponseHead {
    /// Returns whether another response to the same request follows.
    pub fn is_interim(&self) -> bool {
        INTERIM_STATUSES.contains(&self.status)
    }
}

/// Parses the request head at the start of `bytes` and returns it with its length; `None` while it is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes are no request head, or one that is ambiguous.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut slots);
    let status = parsed.parse(bytes).map_err(|_| HeadError::Malformed)?;
    let httparse::Status::Complete(length) = status else {
        return Ok(None);
    };
    let headers = collect(parsed.headers);
    let is_http_1_0 = parsed.version == Some(0);
    let hosts = headers.get_all("host").count();
    if hosts > 1 || (hosts == 0 && !is_http_1_0) {
        return Err(HeadError::Host);
    }
    let target = parsed.path.unwrap_or_default();
    if !target.starts_with('/') {
        return Err(HeadError::Malformed);
    }
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: target.to_owned(),
        keep_alive: keep_alive(&headers, is_http_1_0),
        framing: framing(&headers)?.unwrap_or(Framing::Length(0)),
        headers,
    };
    Ok(Some((head, length)))
}

/// Parses the response head at the start of `bytes` and returns it with its length; `None` while it is incomplete.
/// `method` is that of the request.
///
/// # Errors
///
/// Returns an error if the bytes are no response head, or one that is ambiguous.
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
    if !STATUSES.contains(&status) || status == SWITCHING_PROTOCOLS {
        return Err(HeadError::Status);
    }
    let announced = framing(&headers)?;
    let is_interim = INTERIM_STATUSES.contains(&status);
    if is_interim && !matches!(announced, None | Some(Framing::Length(0))) {
        return Err(HeadError::Ambiguous);
    }
    let has_no_body = method == "HEAD" || status == 204 || status == 304 || is_interim;
    let framing = match (has_no_body, announced) {
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

fn keep_alive(headers: &Headers, is_http_1_0: bool) -> bool {
    match is_http_1_0 {
        true => headers.has_token("connection", "keep-alive"),
        false => !headers.has_token("connection", "close"),
    }
}

/// Returns the framing of the body, if the headers define it. A message with both a length and a transfer encoding, or
/// with two lengths, serves to smuggle requests past a proxy, and is refused.
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
