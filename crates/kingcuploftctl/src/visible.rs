//! Text for a terminal: characters that a terminal obeys rather than shows are written as the escapes that JSON has for them.

use std::borrow::Cow;

/// Returns a text of the same lines without characters that a terminal obeys.
pub fn visible(text: &str) -> Cow<'_, str> {
    escaped(text, |character| {
        !matches!(character, '\n' | '\t') && is_obeyed(character)
    })
}

/// Returns a text as one line without characters that a terminal obeys.
pub fn visible_line(text: &str) -> Cow<'_, str> {
    escaped(text, is_obeyed)
}

fn escaped(text: &str, is_escaped: impl Fn(char) -> bool) -> Cow<'_, str> {
    if !text.contains(&is_escaped) {
        return text.into();
    }
    let mut out = String::with_capacity(text.len());
    for character in text.chars() {
        match is_escaped(character) {
            true => out.push_str(&format!("\\u{:04x}", character as u32)),
            false => out.push(character),
        }
    }
    out.into()
}

/// Returns whether a terminal takes a character for a command, a line end or a change of direction.
fn is_obeyed(character: char) -> bool {
    let moves = matches!(
        character,
        '\u{61c}' | '\u{200e}' | '\u{200f}' | '\u{2028}'..='\u{202e}' | '\u{2066}'..='\u{2069}'
    );
    moves || character.is_control()
}
