//! JSON texts in visible ASCII, which mean the same everywhere: in a header, to a program that splits lines, on a terminal.

use std::borrow::Cow;

/// What stands at the end of a string that was cut.
const CUT: char = '…';

/// Returns a JSON text that means the same, in visible ASCII.
pub fn to_ascii(json: &str) -> Cow<'_, str> {
    match is_plain(json) {
        true => json.into(),
        false => rewritten(json, usize::MAX).into(),
    }
}

/// Returns a JSON text in visible ASCII whose strings are cut after so many bytes.
pub fn to_bounded_ascii(json: &str, max_string_bytes: usize) -> Cow<'_, str> {
    match json.len() <= max_string_bytes && is_plain(json) {
        true => json.into(),
        false => rewritten(json, max_string_bytes).into(),
    }
}

/// Returns whether each character means the same everywhere; others stand in strings only.
fn is_plain(json: &str) -> bool {
    let mut bytes = json.bytes();
    bytes.all(|byte| byte.is_ascii() && byte != b'\x7f')
}

fn rewritten(json: &str, max_string_bytes: usize) -> String {
    let mut out = String::with_capacity(json.len().min(max_string_bytes));
    // Where the content of the current string begins, if one has begun.
    let mut string_from = None;
    let mut is_cut = false;
    let mut rest = json;
    while let Some(character) = rest.chars().next() {
        let length = match character {
            '\\' => escape_bytes(rest),
            _ => character.len_utf8(),
        };
        let (unit, after) = rest.split_at_checked(length).unwrap_or((rest, ""));
        rest = after;
        if character == '"' {
            string_from = match string_from {
                None => Some(out.len() + 1),
                Some(_) => None,
            };
            is_cut = false;
        }
        let is_full =
            string_from.is_some_and(|from| out.len().saturating_sub(from) >= max_string_bytes);
        match (is_full, is_cut) {
            (false, _) => push(unit, &mut out),
            (true, false) => {
                push(CUT.encode_utf8(&mut [0; 4]), &mut out);
                is_cut = true;
            }
            (true, true) => {}
        }
    }
    out
}

/// Returns the length in bytes of the escape at the start of a text.
fn escape_bytes(text: &str) -> usize {
    let length = match text.as_bytes().get(1) {
        Some(b'u') => 6,
        _ => 2,
    };
    length.min(text.len())
}

/// Appends one unit of a string: an escape, which is ASCII, or a character.
fn push(unit: &str, out: &mut String) {
    if is_plain(unit) {
        return out.push_str(unit);
    }
    for half in unit.encode_utf16() {
        out.push_str(&format!("\\u{half:04x}"));
    }
}
