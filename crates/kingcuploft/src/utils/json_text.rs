//! JSON texts that hold something that no JSON text may hold, in single strings.

use std::iter::Peekable;

use serde::Deserialize;

/// Stands for what can't be read. No text from outside holds it: Unicode keeps it for use within a program.
pub const UNREADABLE: char = '\u{FDD0}';

/// The number of digits of an escape by code.
const CODE_DIGITS: usize = 4;

/// Parses a text. Where that fails, what can't be read is marked in a copy, `marked`, and costs only the strings that hold it.
///
/// # Errors
///
/// Returns an error if the text is no JSON of this form with the marks either.
pub fn parse<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    marked: &'a mut String,
) -> Result<T, serde_json::Error> {
    serde_json::from_slice(bytes).or_else(|_| {
        *marked = mark_unreadable(bytes);
        serde_json::from_str(marked)
    })
}

/// Returns a text of the same structure that can be parsed: [`UNREADABLE`] takes the place of bytes that are no UTF-8, and
/// in strings of control characters and invalid escapes.
pub fn mark_unreadable(bytes: &[u8]) -> String {
    let chunks = bytes.utf8_chunks();
    let characters = chunks.flat_map(|chunk| {
        let invalid = (!chunk.invalid().is_empty()).then_some(UNREADABLE);
        chunk.valid().chars().chain(invalid)
    });
    let mut characters = characters.peekable();
    let mut marked = String::with_capacity(bytes.len());
    let mut is_in_string = false;
    while let Some(character) = characters.next() {
        match character {
            '\\' if is_in_string => push_escape(&mut characters, &mut marked),
            '\0'..' ' if is_in_string => marked.push(UNREADABLE),
            '"' => {
                is_in_string = !is_in_string;
                marked.push(character);
            }
            _ => marked.push(character),
        }
    }
    marked
}

/// Appends the rest of an escape, whose backslash was taken.
fn push_escape(characters: &mut Peekable<impl Iterator<Item = char>>, marked: &mut String) {
    let is_escaped = |c: &char| matches!(c, '"' | '\\' | '/' | 'b' | 'f' | 'n' | 'r' | 't' | 'u');
    match characters.next_if(is_escaped) {
        Some('u') => {
            let digits = || characters.next_if(char::is_ascii_hexdigit);
            let code: String = std::iter::from_fn(digits).take(CODE_DIGITS).collect();
            match code.len() == CODE_DIGITS {
                true => marked.extend(["\\u", &code]),
                false => marked.push(UNREADABLE),
            }
        }
        Some(escaped) => marked.extend(['\\', escaped]),
        None => marked.push(UNREADABLE),
    }
}
