//! JSON texts that hold something that no JSON text may hold, in single strings. What can't be read is marked, byte for byte,
//! so that the bytes of a name can be sent back to where they came from.

use std::ops::RangeInclusive;

use serde::Deserialize;

/// The marks of the upper half of a byte, by its value. Unicode keeps these characters for use within a program; those that
/// come from outside are marked as well.
const UPPER_MARKS: RangeInclusive<char> = '\u{FDD0}'..='\u{FDDF}';

/// The marks of the lower half of a byte, by its value.
const LOWER_MARKS: RangeInclusive<char> = '\u{FDE0}'..='\u{FDEF}';

/// The number of digits of an escape by code.
const CODE_DIGITS: usize = 4;

/// The number of bytes of an escape by code.
const CODE_ESCAPE_BYTES: usize = 2 + CODE_DIGITS;

/// The codes that are the first half of a character.
const HIGH_SURROGATES: RangeInclusive<u32> = 0xD800..=0xDBFF;

/// The codes that are the second half of a character.
const LOW_SURROGATES: RangeInclusive<u32> = 0xDC00..=0xDFFF;

/// Parses a text. What can't be read is marked in a copy, `marked`, and costs only the strings that hold it.
///
/// # Errors
///
/// Returns an error if the text is no JSON of this form with the marks either.
pub fn parse<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    marked: &'a mut String,
) -> Result<T, serde_json::Error> {
    if !may_need_marks(bytes)
        && let Ok(parsed) = serde_json::from_slice(bytes)
    {
        return Ok(parsed);
    }
    *marked = mark_unreadable(bytes);
    serde_json::from_str(marked)
}

/// Returns whether a string of a parsed text held something that can't be read.
pub fn is_marked(text: &str) -> bool {
    text.contains(is_mark)
}

/// Returns the bytes of a string of a parsed text, as they came.
pub fn raw_bytes(text: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut upper = 0;
    for character in text.chars() {
        match character as u32 {
            code if UPPER_MARKS.contains(&character) => upper = half(code, &UPPER_MARKS) << 4,
            code if LOWER_MARKS.contains(&character) => {
                bytes.push(upper | half(code, &LOWER_MARKS))
            }
            _ => bytes.extend(character.encode_utf8(&mut [0; 4]).as_bytes()),
        }
    }
    bytes
}

/// Returns a text of the same structure that can be parsed: marks take the place of bytes that are no UTF-8, and in strings of
/// control characters, of halves of characters, and of backslashes that begin no escape.
pub fn mark_unreadable(bytes: &[u8]) -> String {
    let mut marked = String::with_capacity(bytes.len());
    let mut is_in_string = false;
    for chunk in bytes.utf8_chunks() {
        is_in_string = push_valid(chunk.valid(), is_in_string, &mut marked);
        push_marks(chunk.invalid(), &mut marked);
    }
    marked
}

/// Appends text with marks; returns whether a string goes on at its end.
fn push_valid(text: &str, mut is_in_string: bool, marked: &mut String) -> bool {
    let mut rest = text;
    while let Some(character) = rest.chars().next() {
        let mut length = character.len_utf8();
        match character {
            '\\' if is_in_string => length = push_escape(rest, marked),
            '\0'..' ' if is_in_string => push_marks(&rest.as_bytes()[..length], marked),
            _ if is_mark(character) => push_marks(&rest.as_bytes()[..length], marked),
            _ => {
                is_in_string ^= character == '"';
                marked.push(character);
            }
        }
        rest = &rest[length..];
    }
    is_in_string
}

/// Appends the escape at the start of a text, or marks; returns how many bytes these stand for.
fn push_escape(text: &str, marked: &mut String) -> usize {
    let length = match text.as_bytes().get(1) {
        Some(b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't') => 2,
        Some(b'u') => return push_code(text, marked),
        _ => return push_lone_backslash(marked),
    };
    marked.push_str(&text[..length]);
    length
}

/// As [`push_escape`], for an escape by code.
fn push_code(text: &str, marked: &mut String) -> usize {
    let Some(code) = code(text) else {
        return push_lone_backslash(marked);
    };
    let follows = || code_at(text, CODE_ESCAPE_BYTES).is_some_and(|c| LOW_SURROGATES.contains(&c));
    let length = match char::from_u32(code) {
        Some(character) if is_mark(character) => {
            push_marks(character.encode_utf8(&mut [0; 4]).as_bytes(), marked);
            return CODE_ESCAPE_BYTES;
        }
        Some(_) => CODE_ESCAPE_BYTES,
        None if HIGH_SURROGATES.contains(&code) && follows() => 2 * CODE_ESCAPE_BYTES,
        None => {
            push_marks(&three_bytes(code), marked);
            return CODE_ESCAPE_BYTES;
        }
    };
    marked.push_str(&text[..length]);
    length
}

fn push_lone_backslash(marked: &mut String) -> usize {
    push_marks(b"\\", marked);
    1
}

/// Returns the code of the escape at the start of a text.
fn code(text: &str) -> Option<u32> {
    code_at(text, 0)
}

fn code_at(text: &str, at: usize) -> Option<u32> {
    let escape = text.as_bytes().get(at..at + CODE_ESCAPE_BYTES)?;
    let digits = escape.strip_prefix(b"\\u")?;
    let values = digits.iter().map(|digit| char::from(*digit).to_digit(16));
    values.reduce(|high, low| Some(high? << 4 | low?)).flatten()
}

/// Returns the bytes by which UTF-8 would stand for a code of three bytes, also for half of a character.
fn three_bytes(code: u32) -> [u8; 3] {
    let six_bits = |shift: u32| 0x80 | (code >> shift & 0x3F) as u8;
    [0xE0 | (code >> 12) as u8, six_bits(6), six_bits(0)]
}

fn push_marks(bytes: &[u8], marked: &mut String) {
    for byte in bytes {
        marked.extend(mark(byte >> 4, &UPPER_MARKS));
        marked.extend(mark(byte & 0xF, &LOWER_MARKS));
    }
}

fn mark(half: u8, marks: &RangeInclusive<char>) -> Option<char> {
    char::from_u32(*marks.start() as u32 + u32::from(half))
}

fn half(code: u32, marks: &RangeInclusive<char>) -> u8 {
    (code - *marks.start() as u32) as u8
}

fn is_mark(character: char) -> bool {
    UPPER_MARKS.contains(&character) || LOWER_MARKS.contains(&character)
}

/// Returns whether a text may hold what its parser doesn't find, or takes for marks: halves of characters, and characters that
/// are used as marks, as they are or as escapes.
fn may_need_marks(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|at| {
        matches!(
            bytes[at..],
            [0xEF, 0xB7, 0x90..=0xAF, ..]
                | [b'\\', b'u', b'd' | b'D', b'8'..=b'9' | b'a'..=b'f' | b'A'..=b'F', ..]
                | [b'\\', b'u', b'f' | b'F', b'd' | b'D', b'd' | b'D' | b'e' | b'E', ..]
        )
    })
}
