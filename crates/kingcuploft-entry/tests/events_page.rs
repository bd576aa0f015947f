//! The operators' page documents every event and counter of the entry VM, and no other.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::time::Duration;

use kingcuploft_entry::metrics::Metrics;

type Events = BTreeMap<String, BTreeSet<String>>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_sources(folder: &Path, into: &mut Vec<String>) {
    for entry in std::fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() {
            read_sources(&path, into);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            into.push(std::fs::read_to_string(path).unwrap());
        }
    }
}

/// Returns the arguments of a call, up to its closing parenthesis.
fn arguments(text: &str) -> &str {
    let mut depth = 0;
    for (at, byte) in text.bytes().enumerate() {
        match byte {
            b'(' => depth += 1,
            b')' if depth == 0 => return &text[..at],
            b')' => depth -= 1,
            _ => {}
        }
    }
    panic!("a call without an end: {text}")
}

/// Splits arguments at commas outside parentheses.
fn split(arguments: &str) -> Vec<&str> {
    let (mut parts, mut depth, mut begin) = (Vec::new(), 0, 0);
    for (at, byte) in arguments.bytes().enumerate() {
        match byte {
            b'(' => depth += 1,
            b')' => depth -= 1,
            b',' if depth == 0 => {
                parts.push(arguments[begin..at].trim());
                begin = at + 1;
            }
            _ => {}
        }
    }
    parts.push(arguments[begin..].trim());
    parts.retain(|part| !part.is_empty());
    parts
}

fn logged_events() -> Events {
    let mut texts = Vec::new();
    read_sources(&root().join("crates/kingcuploft-entry/src"), &mut texts);
    let mut events = Events::new();
    for text in &texts {
        for macro_name in ["info!(", "warn!(", "error!(", "debug!("] {
            let marker = format!("tracing::{macro_name}");
            for (at, _) in text.match_indices(&marker) {
                let mut fields = split(arguments(&text[at + marker.len()..])).into_iter();
                let event = fields.next().unwrap();
                let event = event.strip_prefix("event = \"").expect(event);
                let named = events
                    .entry(event.trim_end_matches('"').into())
                    .or_default();
                named.extend(fields.map(|field| {
                    let name = field.split('=').next().unwrap().trim();
                    name.trim_start_matches(['%', '?']).to_owned()
                }));
            }
        }
    }
    events
}

/// Reads the page's table of events: the event in the first column, its fields in the second.
fn documented_events() -> Events {
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    let table = page.split("\n## ").find(|part| part.starts_with("Events"));
    let rows = table
        .unwrap()
        .lines()
        .filter(|line| line.starts_with("| `"));
    let in_backticks = |cell: &str| -> Vec<String> {
        cell.split('`').skip(1).step_by(2).map(Into::into).collect()
    };
    let mut events = Events::new();
    for row in rows {
        let cells: Vec<&str> = row.split('|').collect();
        let fields: BTreeSet<String> = in_backticks(cells[2]).into_iter().collect();
        let names = in_backticks(cells[1]);
        assert_eq!(names.len(), 1, "one event a row: {row}");
        events.insert(names[0].clone(), fields);
    }
    events
}

/// Guards against events that are not documented as they are logged: on-call engineers look up log lines on the page,
/// and scripts rely on the fields.
#[test]
fn the_page_documents_every_event_with_its_fields() {
    let (mut logged_events, documented_events) = (logged_events(), documented_events());
    // Written without `tracing`, by the log writer itself.
    logged_events.insert("lines_left_out".into(), ["count".to_owned()].into());
    assert!(logged_events.len() > 20, "the sources were not found");
    for (event, fields) in &logged_events {
        assert_eq!(documented_events.get(event), Some(fields), "event {event}");
    }
    let obsolete: Vec<_> = documented_events
        .keys()
        .filter(|event| !logged_events.contains_key(*event))
        .collect();
    assert!(
        obsolete.is_empty(),
        "documented but never logged: {obsolete:?}"
    );
}

/// Guards against counters that are not documented: dashboards are built from the page.
#[test]
fn the_page_documents_every_counter() {
    let metrics = Metrics::default();
    // Counters with labels are exposed once they have counted something.
    metrics.count_attempt("succeeded");
    metrics.count_repeat("late");
    metrics.count_failure("no server can answer in time");
    metrics.count_probe("answered");
    metrics.count_reader_lost("silent");
    metrics.count_relay("succeeded");
    metrics.count_duty_failed("accept callers");
    metrics.count_answer_given_up("body too long");
    metrics.count_workspace_request("north", "begun");
    metrics.observe_answer(None, 200, Duration::ZERO);
    let text = metrics.to_text();
    let help_lines = text
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP kingcuploft_entry_"));
    let shown: BTreeSet<String> = help_lines
        .map(|line| line.split(' ').next().unwrap().to_owned())
        .collect();
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    let table = page
        .split("\n## ")
        .find(|part| part.starts_with("Counters"));
    let rows = table
        .unwrap()
        .lines()
        .filter(|line| line.starts_with("| `"));
    let cells = rows.map(|row| row.split('|').nth(1).unwrap());
    let documented: BTreeSet<String> = cells
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .map(Into::into)
        .collect();
    assert_eq!(documented, shown);
}
