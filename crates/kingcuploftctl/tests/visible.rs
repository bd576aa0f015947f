//! Text from outside on an operator's terminal.

use kingcuploftctl::trace::trace_texts;
use kingcuploftctl::visible::{visible, visible_line};
use serde_json::{Value, json};

/// Characters that a terminal obeys.
const OBEYED: &str = "\0\u{7}\u{1b}[2J\r\u{7f}\u{85}\u{9b}2J\u{2028}\u{2029}\u{202e}\u{2066}";

fn is_shown(character: char) -> bool {
    !character.is_control() && !OBEYED.contains(character) || OBEYED_TAILS.contains(character)
}

/// What stands behind the characters in [`OBEYED`] and is plain.
const OBEYED_TAILS: &str = "[2J";

/// Guards against names that clear an operator's terminal, or change what its lines seem to say.
#[test]
fn a_terminal_obeys_no_character_of_a_name() {
    let shown = visible(OBEYED);
    assert!(shown.chars().all(is_shown), "{shown:?}");
    assert_eq!(visible("a\tb\né🦀 \u{fdd0}"), "a\tb\né🦀 \u{fdd0}");
    assert_eq!(visible_line("a\nb\tc"), "a\\u000ab\\u0009c");
}

/// Guards against output in JSON that says something else on a terminal.
#[test]
fn a_json_text_means_the_same_on_a_terminal() {
    let value = json!({ "name": "a\u{2028}\u{202e}\u{9b}\u{7f}é\u{1b}" });
    let text = value.to_string();
    assert_eq!(
        serde_json::from_str::<Value>(&visible(&text)).unwrap(),
        value
    );
}

/// Guards against a name in a log that adds lines to a request's history.
#[test]
fn a_line_of_a_log_is_one_line_of_a_trace() {
    let server = format!("s\n2026 forged{OBEYED}");
    let line = json!({
        "timestamp": "2026-03-24T20:25:40Z", "event": "attempt", "request": "r", "server": server,
    });
    let logs = [("a.log".to_owned(), line.to_string().into_bytes())];
    let out = trace_texts("r", &logs).out;
    assert!(out.contains("s\\u000a2026 forged"), "{out}");
    assert!(out.chars().all(|c| c == '\n' || is_shown(c)), "{out:?}");
}
