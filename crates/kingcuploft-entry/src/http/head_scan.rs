//! Decides when the bytes of a head that is being received are parsed.
//!
//! Load pattern: a head arrives in many small pieces. Parsing everything after each of them takes time that grows with
//! the square of the head's length. So it is parsed when its end has arrived, and before that only when it has doubled
//! since, so that bytes that are no head are noticed early.

/// How far a head has been scanned and parsed.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScan {
    scanned_bytes: usize,
    parsed_bytes: usize,
}

impl HeadScan {
    /// Returns whether the head, of which `bytes` have arrived, is to be parsed now.
    pub fn is_parse_due(&mut self, bytes: &[u8]) -> bool {
        let unscanned = bytes.get(self.scanned_bytes.saturating_sub(2)..);
        let unscanned = unscanned.unwrap_or_default();
        self.scanned_bytes = bytes.len();
        let has_doubled = bytes.len() > self.parsed_bytes * 2;
        let is_due = !bytes.is_empty() && (has_doubled || contains_end(unscanned));
        if is_due {
            self.parsed_bytes = bytes.len();
        }
        is_due
    }
}

/// Returns whether an empty line ends within these bytes.
fn contains_end(bytes: &[u8]) -> bool {
    let is_end = |window: &[u8]| window.ends_with(b"\n\n") || window == b"\n\r\n";
    bytes.starts_with(b"\n\n") || bytes.windows(3).any(is_end)
}
