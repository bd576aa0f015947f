//! Tests of the manifest reader: every fault is reported with its line and field, and no text makes the reader panic or
//! expand without limit.

use arbtest::arbtest;
use kingcuploft::manifest::Manifest;
use kingcuploft::manifest::reader::{read, read_checked};

const VALID: &str = "\
services:
  - name: trip
    hosts: [trip.example]
    backend_servers:
      - {name: trip-1, address: '10.0.0.1:80', availability_zone: a, slots: 2, connections: 220}
    rules:
      - name: lookup
        methods: [GET]
        path_prefix: /
        contract: retry_freely
        priority: interactive
        deadline_ms: 2000
";

fn faults(text: &str) -> Vec<String> {
    let faults = read("manifest.yaml", text).expect_err("the text is wrong");
    faults.iter().map(ToString::to_string).collect()
}

fn only_fault(from: &str, to: &str) -> String {
    assert!(VALID.contains(from));
    let found = faults(&VALID.replace(from, to));
    assert_eq!(found.len(), 1, "{found:?}");
    found[0].clone()
}

#[test]
fn a_good_manifest_is_read_from_yaml_and_json_alike() {
    let manifest = read("manifest.yaml", VALID).unwrap();
    let json = serde_json::to_string_pretty(&manifest).unwrap();
    assert_eq!(read("manifest.json", &json).unwrap(), manifest);
}

#[test]
fn each_fault_names_file_line_field_and_what_was_expected() {
    for (from, to, expected) in [
        (
            "deadline_ms: 2000",
            "deadline_ms: 0",
            "manifest.yaml:12: services[0].rules[0].deadline_ms: 0 found, expected 1 to 600000",
        ),
        (
            "path_prefix: /",
            "path_prefix: holds",
            "manifest.yaml:9: services[0].rules[0].path_prefix: `holds` found, expected it to \
             begin with `/`, without escapes, `//` or dot segments",
        ),
        (
            "hosts: [trip.example]",
            "hosts: []",
            "manifest.yaml:3: services[0].hosts: none found, expected at least one",
        ),
        (
            "slots: 2",
            "slots: 0",
            "manifest.yaml:5: services[0].backend_servers[0].slots: 0 found, expected 1 to 10000",
        ),
        (
            "        priority: interactive",
            "        priority: interactive\n        caller_share: 1.5",
            "manifest.yaml:12: services[0].rules[0].caller_share: 1.5 found, expected a share, 0 to 1",
        ),
        (
            "hosts: [trip.example]",
            "hosts: [trip.example, TRIP.example]",
            "manifest.yaml:3: services[0].hosts[1]: `TRIP.example` found, but service `trip` has \
             it already",
        ),
        (
            "'10.0.0.1:80'",
            "'10.0.0.1:0'",
            "manifest.yaml:5: services[0].backend_servers[0].address: 10.0.0.1:0 found, expected \
             a host's IP and a port",
        ),
    ] {
        assert_eq!(only_fault(from, to), expected);
    }
    let unknown = only_fault("        methods: [GET]", "        method: GET");
    let place = "manifest.yaml:8: services[0].rules[0].method: unknown field `method`";
    assert!(unknown.starts_with(place), "{unknown}");
    let method = only_fault("[GET]", "[FETCH]");
    let place = "manifest.yaml:8: services[0].rules[0].methods[0]: `FETCH` found";
    assert!(method.starts_with(place), "{method}");
    let duplicated = only_fault("  - name: trip", "  - name: trip\n    name: trip");
    assert!(duplicated.starts_with("manifest.yaml:3: "), "{duplicated}");
}

#[test]
fn a_fault_does_not_hide_the_others() {
    let text = VALID
        .replace("deadline_ms: 2000", "deadline_ms: soon")
        .replace("slots: 2", "slots: 0")
        .replace("availability_zone: a", "zone: a")
        + "\n  - {name: trip, hosts: [venue.example], backend_servers: [], rules: []}\n";
    let found = faults(&text);
    let fields: Vec<&str> = found.iter().filter_map(|f| f.split(": ").nth(1)).collect();
    assert_eq!(
        fields,
        [
            "services[0].backend_servers[0].zone",
            "services[0].rules[0].deadline_ms",
            "services[1].rules",
        ],
        "{found:?}"
    );
}

#[test]
fn twice_the_same_address_or_path_is_a_fault() {
    let server = "      - {name: trip-2, address: '10.0.0.1:80', availability_zone: b, slots: 2, \
                  connections: 220}\n    rules:";
    let rule = "      - {name: other, methods: [GET, POST], path_prefix: /, contract: \
                retry_freely, priority: interactive, deadline_ms: 5}\n";
    let found = faults(&(VALID.replace("    rules:", server) + rule));
    assert!(
        found[0].contains("an earlier backend server has it"),
        "{found:?}"
    );
    assert!(
        found[1].contains("rule `lookup` has the same path"),
        "{found:?}"
    );
}

#[test]
fn a_service_without_backend_servers_is_warned_of() {
    let text = VALID.replace("    backend_servers:\n", "    backend_servers: []\n");
    let text: Vec<&str> = text.lines().filter(|l| !l.contains("trip-1")).collect();
    let checked = read_checked("manifest.yaml", &text.join("\n")).unwrap();
    assert_eq!(checked.warnings.len(), 1);
    assert_eq!(checked.warnings[0].line, 4);
}

#[test]
fn alias_bombs_and_deep_or_large_texts_are_refused() {
    let mut alias_bomb = String::from("services: []\na0: &a0 [x, x, x, x, x, x, x, x, x]\n");
    for level in 1..12 {
        let part = format!("*a{}, ", level - 1).repeat(9);
        alias_bomb += &format!("a{level}: &a{level} [{part}]\n");
    }
    let deep = format!("services: {}{}", "[".repeat(50_000), "]".repeat(50_000));
    let block: String = (0..3000)
        .map(|i| format!("{}a:\n", " ".repeat(i)))
        .collect();
    let large = format!("services: [] #{}", " ".repeat(20 * 1024 * 1024));
    for text in [alias_bomb, deep, block, large] {
        assert_eq!(faults(&text).len(), 1);
    }
}

#[test]
fn no_text_panics_the_reader() {
    // Random texts seldom get past the first line, so half of the runs mutate a valid manifest.
    arbtest(|u| {
        let mut text = VALID.as_bytes().to_vec();
        for _ in 0..u.int_in_range(0..=6)? {
            let at = u.choose_index(text.len())?;
            let until = (at + u.int_in_range(0..=12)?).min(text.len());
            let replacement: Vec<u8> = u.arbitrary()?;
            text.splice(at..until, replacement.into_iter().take(12));
            if text.is_empty() {
                break;
            }
        }
        let text = match u.arbitrary()? {
            true => String::from_utf8_lossy(&text).into_owned(),
            false => u.arbitrary()?,
        };
        drop(read("manifest.yaml", &text));
        Ok(())
    })
    .seed(0x5eed_0000_0040)
    .run();
}

fn workspace() -> std::path::PathBuf {
    std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn the_examples_have_the_specified_sizes() {
    for (name, sizes) in [
        ("teamway", [("trip", 11, 2), ("venue", 16, 2)]),
        ("bern", [("notes", 11, 4), ("archive", 13, 4)]),
    ] {
        let path = workspace()
            .join("examples")
            .join(name)
            .join("manifest.yaml");
        let text = std::fs::read_to_string(&path).unwrap();
        let checked = read_checked(name, &text).unwrap();
        assert_eq!(checked.warnings, []);
        for (service, (name, servers, slots)) in checked.manifest.services.iter().zip(sizes) {
            assert_eq!(&*service.name, name);
            assert_eq!(service.backend_servers.len(), servers);
            let mut all = service.backend_servers.iter();
            assert!(all.all(|s| s.slots == slots && s.connections == 220));
        }
    }
}

#[test]
fn the_committed_schema_is_the_one_of_the_code() {
    let schema = schemars::schema_for!(Manifest);
    let schema = serde_json::to_string_pretty(&schema).unwrap() + "\n";
    let path = workspace().join("docs/manifest.schema.json");
    if std::env::var_os("KINGCUPLOFT_WRITE_SCHEMA").is_some() {
        std::fs::write(&path, &schema).unwrap();
    }
    let committed = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        committed == schema,
        "run with KINGCUPLOFT_WRITE_SCHEMA=1 and commit docs/manifest.schema.json"
    );
}
