//! Texts in the labels of metrics.

use std::time::Duration;

use kingcuploft_entry::metrics::Metrics;

use crate::drawn::{check, text};

/// The most bytes of all metrics after one answer, and of a label in each of its lines.
const MAX_TEXT_BYTES: usize = 64 * 1024;

/// Returns the text of a label's value, in which quotes, backslashes and line ends are escaped.
fn unescaped(value: &str) -> Option<String> {
    let mut text = String::new();
    let mut characters = value.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' => text.push(match characters.next()? {
                'n' => '\n',
                escaped @ ('\\' | '"') => escaped,
                _ => return None,
            }),
            '"' | '\n' => return None,
            _ => text.push(character),
        }
    }
    Some(text)
}

/// Guards against a name that adds a line or a label to the metrics, or makes them as long as an object of the store.
#[test]
fn a_label_holds_a_text_as_it_is_or_the_text_has_no_label_of_its_own() {
    let lines_with = |route: &str| {
        let metrics = Metrics::default();
        metrics.observe_answer(Some(route), 200, Duration::ZERO);
        metrics.count_workspace_request(route, "taken");
        metrics.to_text()
    };
    let plain_lines = lines_with("plain").split('\n').count();
    check("labels", |u| {
        let name = text(u)?;
        let text = lines_with(&name);
        assert_eq!(text.split('\n').count(), plain_lines);
        assert!(text.len() <= MAX_TEXT_BYTES, "{}", text.len());
        let labelled = text.split('\n').filter_map(|line| {
            let (_, rest) = line.split_once("{route=\"")?;
            let (value, _) = rest.split_once("\",outcome=\"success\"")?;
            Some(unescaped(value).expect("a value"))
        });
        let labelled: Vec<_> = labelled.collect();
        assert!(!labelled.is_empty());
        let is_label = |label: &String| *label == name || (name.len() > 256 && label == "other");
        assert!(labelled.iter().all(is_label), "{labelled:?} of {name:?}");
        Ok(())
    });
}
