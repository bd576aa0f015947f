//! Parses answers as a caller reads them.

/// An answer.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: u16,
    headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

impl Answer {
    pub(super) fn has(&self, name: &str, value: &str) -> bool {
        self.headers.iter().any(|(n, v)| n == name && v == value)
    }

    /// Returns whether it is one to bytes of which the VM did not read the request's id.
    pub(super) fn is_unreadable(&self) -> bool {
        let has_id = self.headers.iter().any(|(name, _)| name == "x-id");
        !has_id && matches!(self.status, 400..=499 | 503)
    }
}

/// Takes the first answer from these bytes, if it is whole.
pub(super) fn take(bytes: &mut Vec<u8>) -> Option<Answer> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&bytes[..end]).expect("a head of text");
    let headers: Vec<_> = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.expect("a status line");
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.map_or(0, |(_, value)| value.parse().expect("a length"));
    if bytes.len() < end + length {
        return None;
    }
    let body = bytes[end..end + length].to_vec();
    bytes.drain(..end + length);
    Some(Answer {
        status,
        headers,
        body,
    })
}
