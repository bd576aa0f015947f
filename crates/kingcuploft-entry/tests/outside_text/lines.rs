//! Texts in JSON that goes out as a line: of the log, of a link between VMs, or in a header.

use kingcuploft_entry::ascii_json::{to_ascii, to_bounded_ascii};
use serde_json::{Value, json};

use crate::drawn::{check, text};

/// The most bytes of a string here.
const MAX_STRING_BYTES: usize = 64;

/// The most bytes that a string has beyond that: the last character, as two escapes, and the mark of the cut.
const MAX_EXCESS_BYTES: usize = 18;

fn is_visible(text: &str) -> bool {
    text.bytes().all(|byte| (b' '..=b'~').contains(&byte))
}

/// Guards against text that ends a line or a header, or that a terminal takes for commands.
#[test]
fn a_json_text_in_ascii_means_the_same() {
    check("ASCII", |u| {
        let value = json!({ text(u)?: [text(u)?, 7], "b": text(u)? });
        let json = value.to_string();
        let ascii = to_ascii(&json);
        assert!(is_visible(&ascii));
        assert_eq!(serde_json::from_str::<Value>(&ascii).unwrap(), value);
        Ok(())
    });
}

/// Guards against lines as long as an object of the store, hundreds of which wait in memory.
#[test]
fn a_bounded_json_text_has_the_same_strings_but_for_their_ends() {
    check("bounded", |u| {
        let strings = [text(u)?, text(u)?];
        let json = json!({ "a": strings[0], "b": strings[1], "c": 7 }).to_string();
        let bounded = to_bounded_ascii(&json, MAX_STRING_BYTES);
        assert!(is_visible(&bounded));
        assert!(
            bounded.len()
                <= 2 * (MAX_STRING_BYTES + MAX_EXCESS_BYTES)
                    + json!({"a": "", "b": "", "c": 7}).to_string().len()
        );
        let parsed: Value = serde_json::from_str(&bounded).unwrap();
        assert_eq!(parsed["c"], 7);
        for (key, string) in ["a", "b"].iter().zip(&strings) {
            let kept = parsed[key].as_str().unwrap();
            let is_whole = kept == string;
            let begins = kept
                .strip_suffix('…')
                .is_some_and(|begin| string.starts_with(begin));
            assert!(is_whole || begins, "{kept:?} of {string:?}");
            assert!(is_whole || kept.len() * 6 >= MAX_STRING_BYTES);
        }
        Ok(())
    });
}
