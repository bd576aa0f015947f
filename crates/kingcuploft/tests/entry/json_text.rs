//! JSON texts with bytes that can't be read.

use arbtest::arbtest;
use kingcuploft::utils::json_text::{UNREADABLE, mark_unreadable, parse};
use serde_json::{Value, json};

fn parsed(text: &[u8]) -> Option<Value> {
    parse(text, &mut String::new()).ok()
}

#[test]
fn only_the_strings_that_hold_what_cannot_be_read_are_marked() {
    let text =
        b"{\"a\":[\"x\xFF\xFEy\",\"\x01\",\"\\q\",\"\\u12\"],\"b\":\"\\u00e9\\\"\\\\\",\n\"c\":7}";
    let marked = |text: &str| text.replace('?', &UNREADABLE.to_string());
    let expected = json!({
        "a": [marked("x??y"), marked("?"), marked("?q"), marked("?")],
        "b": "é\"\\",
        "c": 7,
    });
    assert_eq!(parsed(text), Some(expected));
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
        assert!(marked.len() <= bytes.len() * UNREADABLE.len_utf8());
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
        assert_eq!(parsed[1], json!(sound));
        Ok(())
    });
}
