//! The headers of an HTTP message, and which of them are forwarded.

/// Hop-by-hop headers: they concern one connection only and are not forwarded.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Headers in the order in which they were received.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    list: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// Appends a header.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.list.push((name.into(), value.into()));
    }

    /// Returns the first value of a header, if it is valid UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |(n, _): &&(String, Vec<u8>)| n.eq_ignore_ascii_case(name);
        let (_, first) = self.list.iter().find(named)?;
        std::str::from_utf8(first).ok().map(str::trim)
    }

    /// Returns the first value of a header, without the blanks around it.
    pub fn get_bytes<'a>(&'a self, name: &'a str) -> Option<&'a [u8]> {
        let mut value = self.get_all(name).next()?;
        while let [b' ' | b'\t', rest @ ..] | [rest @ .., b' ' | b'\t'] = value {
            value = rest;
        }
        Some(value)
    }

    /// Returns all values of a header.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self
            .list
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_slice())
    }

    /// Returns whether a header is present.
    pub fn contains(&self, name: &str) -> bool {
        self.get_all(name).next().is_some()
    }

    /// Returns whether a header with a comma-separated list contains a token.
    pub fn has_token(&self, name: &str, word: &str) -> bool {
        let values = self
            .get_all(name)
            .filter_map(|v| std::str::from_utf8(v).ok());
        let mut words = values.flat_map(|value| value.split(','));
        words.any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// Returns the end-to-end headers, which are forwarded: all but the hop-by-hop headers.
    pub fn end_to_end(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let forwarded = self.list.iter().filter(|(name, _)| {
            let hop = HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop));
            !hop && !self.has_token("connection", name)
        });
        forwarded.map(|(name, value)| (name.as_str(), value.as_slice()))
    }
}

/// Appends a header line to `out`. A value that would end the line is never written: values are parsed where they come in,
/// and a header whose value was not is left out.
///
/// # Panics
///
/// Panics in debug builds if the value is none that a header can hold.
pub fn write_header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    let is_value = is_header_value(value);
    debug_assert!(is_value, "{name}: {}", value.escape_ascii());
    if !is_value {
        return;
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Returns whether a header can hold these bytes (RFC 9110, section 5.5).
fn is_header_value(bytes: &[u8]) -> bool {
    let is_allowed = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    bytes.iter().all(is_allowed)
}
