//! JSON texts with bytes that can't be read.

use arbtest::arbtest;
use kingcuploft::utils::json_text::{is_marked, mark_unreadable, parse, raw_bytes};
use serde_json::{Value, json};

/// The most bytes of marks for a byte.
const MARK_BYTES: usize = 6;

fn parsed(text: &[u8]) -> Option<Value> {
    parse(text, &mut String::new()).ok()
}

/// Returns the bytes of the string that stands in these bytes, between quotes.
fn raw_bytes_of(string: &[u8]) -> Vec<u8> {
    let text = [b"\"", string, b"\""].concat();
    let parsed = parsed(&text).unwrap_or_else(|| panic!("{}", text.escape_ascii()));
    raw_bytes(parsed.as_str().unwrap())
}

#[test]
fn only_the_strings_that_hold_what_cannot_be_read_are_marked() {
    let text =
        b"{\"a\":[\"x\xFF\xFEy\",\"\x01\",\"\\q\",\"\\u12\"],\"b\":\"\\u00e9\\\"\\\\\",\n\"c\":7}";
    let parsed = parsed(text).unwrap();
    let strings = parsed["a"].as_array().unwrap().iter();
    let strings: Vec<_> = strings.map(|string| string.as_str().unwrap()).collect();
    assert!(strings.iter().all(|string| is_marked(string)));
    let bytes: Vec<_> = strings.iter().map(|string| raw_bytes(string)).collect();
    let expected: [&[u8]; 4] = [b"x\xFF\xFEy", b"\x01", b"\\q", b"\\u12"];
    assert_eq!(bytes, expected);
    assert_eq!(parsed["b"], json!("é\"\\"));
    assert!(!is_marked("é\"\\"));
    assert_eq!(parsed["c"], json!(7));
}

/// Guards against a name that is lost, or becomes another, as it holds half of a character.
#[test]
fn half_of_a_character_is_kept_as_the_bytes_of_its_code() {
    let cases: [(&str, &[u8]); 6] = [
        ("\\ud800", &[0xED, 0xA0, 0x80]),
        ("a\\udcffb", &[b'a', 0xED, 0xB3, 0xBF, b'b']),
        ("\\uD83E\\uDD80", "🦀".as_bytes()),
        ("\\uD83E\\uD83E\\uDD80", b"\xED\xA0\xBE\xF0\x9F\xA6\x80"),
        ("\\uD83E\\n", b"\xED\xA0\xBE\n"),
        ("\\uD83E\\u0041", b"\xED\xA0\xBEA"),
    ];
    for (text, expected) in cases {
        assert_eq!(raw_bytes_of(text.as_bytes()), expected, "{text}");
    }
}

/// Guards against names that can't be told from marks, as they hold the characters that marks are made of.
#[test]
fn characters_that_marks_are_made_of_are_kept() {
    for string in ["\u{fdd5}\u{fde1}", "\u{fdef}", "\u{fdd0}a"] {
        assert_eq!(raw_bytes_of(string.as_bytes()), string.as_bytes());
        let codes = string.chars().map(|c| format!("\\u{:04X}", c as u32));
        let escaped: String = codes.collect();
        assert_eq!(raw_bytes_of(escaped.as_bytes()), string.as_bytes());
    }
}

#[test]
fn a_text_that_is_broken_outside_of_strings_stays_unreadable() {
    for text in [&b"{\"a\":\xFF}"[..], b"{", b"[1,\x01 2", b""] {
        assert_eq!(parsed(text), None);
    }
}

/// Guards against bytes that end the task which reads the store.
#[test]
fn any_bytes_are_marked_without_a_panic() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let marked = mark_unreadable(&bytes);
        assert!(marked.len() <= bytes.len() * MARK_BYTES);
        Ok(())
    });
}

/// Guards against a list that can't go on after a name, as some of its bytes can't be read.
#[test]
fn the_bytes_of_any_string_survive() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let escaped = bytes.iter().flat_map(|byte| match byte {
            b'"' | b'\\' => vec![b'\\', *byte],
            _ => vec![*byte],
        });
        let escaped: Vec<u8> = escaped.collect();
        assert_eq!(raw_bytes_of(&escaped), bytes);
        Ok(())
    });
}

/// Guards against strings that another string in the same text changes.
#[test]
fn bytes_in_one_string_change_no_other() {
    arbtest(|u| {
        let (sound, broken): (String, Vec<u8>) = u.arbitrary()?;
        let is_plain = |byte: &u8| *byte != b'"' && *byte != b'\\';
        let broken: Vec<u8> = broken.into_iter().filter(is_plain).collect();
        let mut text = b"[\"".to_vec();
        text.extend(broken);
        text.extend(b"\",");
        text.extend(serde_json::to_vec(&sound).unwrap());
        text.push(b']');
        let parsed = parsed(&text).expect("the structure is sound");
        let kept = parsed[1].as_str().unwrap();
        assert_eq!(raw_bytes(kept), sound.as_bytes());
        assert_eq!(is_marked(kept), is_marked(&sound));
        assert!(is_marked(kept) || kept == sound);
        Ok(())
    });
}
