//! Text from outside that goes out in HTTP heads, parsed where it comes in. One type for each place in a head, which says
//! which bytes that place can hold.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The most bytes of such a text. A head of a few of them stays within what servers read, a message with one within a
/// datagram.
pub const MAX_WIRE_TEXT_BYTES: usize = 1024;

/// Why a text can't stand in a place of a head.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WireTextError {
    /// It is empty.
    #[error("it is empty")]
    Empty,
    /// It is too long.
    #[error("it has {0} bytes, more than {MAX_WIRE_TEXT_BYTES}")]
    TooLong(usize),
    /// It holds a character that the place can't hold.
    #[error("it holds {0:?} at byte {1}")]
    Character(char, usize),
    /// It begins or ends with a blank, which receivers leave out.
    #[error("it begins or ends with a blank")]
    OuterBlank,
    /// A path that doesn't begin with a slash.
    #[error("it does not begin with a slash")]
    NoSlash,
}

/// The value of a header field, as RFC 9110 (section 5.5) defines it, which reaches its receiver as it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeaderText<'a>(&'a str);

impl<'a> HeaderText<'a> {
    /// Parses a text.
    ///
    /// # Errors
    ///
    /// Returns an error if a header can't hold the text.
    pub fn parse(text: &'a str) -> Result<Self, WireTextError> {
        check(text, |character| {
            character == '\t' || !character.is_ascii_control()
        })?;
        match text.starts_with(BLANKS) || text.ends_with(BLANKS) {
            true => Err(WireTextError::OuterBlank),
            false => Ok(Self(text)),
        }
    }

    /// Returns the text.
    pub fn as_str(self) -> &'a str {
        self.0
    }
}

/// The characters around a header's value that don't belong to it.
const BLANKS: [char; 2] = [' ', '\t'];

/// The target of a request to a server itself: a path, and a query if it has one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestPath(Box<str>);

impl RequestPath {
    /// Parses a text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is no path that a request line can hold.
    pub fn parse(text: &str) -> Result<Self, WireTextError> {
        check(text, |character| {
            character.is_ascii_graphic() && character != '#'
        })?;
        match text.starts_with('/') {
            true => Ok(Self(text.into())),
            false => Err(WireTextError::NoSlash),
        }
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn check(text: &str, is_allowed: impl Fn(char) -> bool) -> Result<(), WireTextError> {
    if text.is_empty() {
        return Err(WireTextError::Empty);
    }
    if text.len() > MAX_WIRE_TEXT_BYTES {
        return Err(WireTextError::TooLong(text.len()));
    }
    let mut characters = text.char_indices();
    match characters.find(|(_, character)| !is_allowed(*character)) {
        Some((at, character)) => Err(WireTextError::Character(character, at)),
        None => Ok(()),
    }
}

/// The form in which VMs send each other a path that may be none: VMs of earlier releases read a text.
pub mod path_or_empty {
    use super::{Deserialize, Deserializer, RequestPath, Serialize, Serializer};

    /// Writes the path, or an empty text.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn serialize<S: Serializer>(
        path: &Option<RequestPath>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let text = path.as_ref().map_or("", RequestPath::as_str);
        text.serialize(serializer)
    }

    /// Reads a path; a text that is none counts as no path.
    ///
    /// # Errors
    ///
    /// Returns the deserializer's error.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<RequestPath>, D::Error> {
        let text = String::deserialize(deserializer)?;
        Ok(RequestPath::parse(&text).ok())
    }
}
