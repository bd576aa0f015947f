//! Compares the documentation page of metrics with the code.

use std::collections::BTreeSet;
use std::path::Path;

use kingcuploftd::metrics::Metrics;

/// Returns the names on the page.
fn documented() -> BTreeSet<String> {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let names = rows.filter_map(|row| row.split('`').next());
    names.map(str::to_owned).collect()
}

/// Returns the names in the source: the first text after each registration.
fn registered(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            registered(&path, names);
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        for call in ["registry.register(", "counter("] {
            let after = text.split(call).skip(1);
            let first = after.filter_map(|rest| rest.split('"').nth(1));
            let plain = |name: &&str| name.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
            names.extend(first.filter(plain).map(str::to_owned));
        }
    }
}

#[test]
fn the_page_lists_exactly_the_metrics_of_the_source() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut names = BTreeSet::new();
    registered(&source, &mut names);
    assert_eq!(documented(), names);
}

#[test]
fn the_page_lists_every_metric_of_a_new_daemon() {
    let text = Metrics::default().text();
    let helps = text
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP kingcuploft_"));
    let names = helps.filter_map(|line| line.split(' ').next());
    let missing: Vec<&str> = names.filter(|name| !documented().contains(*name)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}
