//! The target of a request that this VM sends: a path and a query, whose parts may hold any text.

use std::fmt;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_encode};

/// All characters but those that mean the same everywhere in a target (RFC 3986, section 2.3).
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// A target, in the form in which it is sent.
#[derive(Clone, Debug)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// Builds the target of a path of these segments.
    pub fn of_path<'a>(segments: impl IntoIterator<Item = &'a str>) -> Self {
        let segments = segments.into_iter().map(encoded);
        Self {
            text: segments.map(|segment| format!("/{segment}")).collect(),
            has_query: false,
        }
    }

    /// Appends a parameter to the query.
    #[must_use]
    pub fn with_parameter(self, name: &str, value: impl fmt::Display) -> Self {
        self.with_bytes(name, value.to_string().as_bytes())
    }

    /// Appends a parameter, whose value may be no text, to the query.
    #[must_use]
    pub fn with_bytes(mut self, name: &str, value: &[u8]) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        let value = percent_encode(value, RESERVED);
        self.text += &format!("{}={value}", encoded(name));
        self
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

fn encoded(text: &str) -> impl fmt::Display + '_ {
    percent_encode(text.as_bytes(), RESERVED)
}
