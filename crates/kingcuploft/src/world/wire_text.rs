//! Text from outside that goes out in HTTP heads, parsed where it comes in. One type for each place in a head, which says
//! which bytes that place can hold.

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
