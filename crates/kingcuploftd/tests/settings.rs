//! The settings file: every fault is reported with file, line and field, and no port is opened.

use std::path::Path;
use std::process::Command;

use kingcuploftd::settings::{Fault, Settings, parse};

const GOOD: &str = "vm: entry-1\navailability_zone: tw-a\nlisten: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\nplatform: 127.0.0.1:9\n";

fn faults(text: &str) -> Vec<Fault> {
    parse("s.yaml", text).expect_err(text)
}

/// Returns the good settings with some lines replaced or added.
fn with(lines: &str) -> String {
    let name = |line: &str| line.split(':').next().unwrap_or_default().to_owned();
    let replaced: Vec<String> = lines.lines().map(name).collect();
    let kept = GOOD.lines().filter(|line| !replaced.contains(&name(line)));
    let kept: String = kept.map(|line| format!("{line}\n")).collect();
    format!("{kept}{lines}\n")
}

#[test]
fn good_settings_have_no_fault() {
    let settings = parse("s.yaml", GOOD).unwrap();
    assert_eq!(settings.limits.workers, 64);
    let token = with("admin_listen: 10.0.0.1:9100\nadmin_token_file: /run/token");
    assert!(parse("s.yaml", &token).is_ok());
}

/// Guards against a fault that is reported without its place: an operator mistypes one value and must see its line and
/// field, not only "invalid".
#[test]
fn each_wrong_field_is_named_with_its_line() {
    let cases = [
        ("vm: ''", 5, "vm"),
        ("vm: a/b", 5, "vm"),
        ("vm: [a]", 5, "vm"),
        ("availability_zone: 'tw a'", 5, "availability_zone"),
        ("listen: here", 5, "listen"),
        ("listen: 127.0.0.1:99999", 5, "listen"),
        (
            "listen: 127.0.0.1:80\nadmin_listen: 127.0.0.1:80",
            5,
            "admin_listen",
        ),
        (
            "listen: 0.0.0.0:80\nadmin_listen: 127.0.0.1:80",
            5,
            "admin_listen",
        ),
        ("admin_listen: 10.0.0.1:9100", 1, "admin_token_file"),
        ("admin_listen: 0.0.0.0:9100", 1, "admin_token_file"),
        ("platform: nowhere", 5, "platform"),
        ("platform: 'http://a:80'", 5, "platform"),
        ("platform: 'a:0'", 5, "platform"),
        ("log_format: xml", 6, "log_format"),
        ("worker: 3", 6, "worker"),
        ("limits:\n  workers: 0", 7, "limits.workers"),
        ("limits:\n  workers: -1", 7, "limits.workers"),
        ("limits:\n  workers: many", 7, "limits.workers"),
        ("limits:\n  workers: 99999", 7, "limits.workers"),
        ("limits:\n  conections: 5", 7, "limits.conections"),
        ("limits:\n  connections: 0", 7, "limits.connections"),
        ("limits:\n  ring: 0", 7, "limits.ring"),
        ("limits:\n  vms: 0", 7, "limits.vms"),
        (
            "limits:\n  header_timeout_ms: 0",
            7,
            "limits.header_timeout_ms",
        ),
        ("limits:\n  body_timeout_ms: 0", 7, "limits.body_timeout_ms"),
        ("limits:\n  idle_timeout_ms: 0", 7, "limits.idle_timeout_ms"),
        ("limits:\n  stop_timeout_ms: 0", 7, "limits.stop_timeout_ms"),
        (
            "limits:\n  not_ready_ms: 99999999999",
            7,
            "limits.not_ready_ms",
        ),
        ("limits: 3", 6, "limits"),
        ("store:\n  call_timeout_ms: 0", 7, "store.call_timeout_ms"),
        ("store:\n  calls_per_s: 0", 7, "store.calls_per_s"),
        ("store:\n  calls_per_s: -3", 7, "store.calls_per_s"),
        ("store:\n  failures_to_open: 0", 7, "store.failures_to_open"),
        ("claims:\n  partitions: 0", 7, "claims.partitions"),
        ("claims:\n  timeout_ms: 0", 7, "claims.timeout_ms"),
        ("peer:\n  listen: 10.0.0.1:9200", 7, "peer"),
        (
            "peer:\n  budget:\n    bytes_per_s: 0",
            8,
            "peer.budget.bytes_per_s",
        ),
        ("peer:\n  peers: [nobody]", 7, "peer.peers"),
    ];
    for (lines, line, field) in cases {
        let found = faults(&with(lines));
        let named = found
            .iter()
            .any(|f| f.field.starts_with(field) && f.line == line);
        assert!(named, "{lines:?}: {found:?}");
        assert_eq!(found.len(), 1, "{lines:?}: {found:?}");
    }
}

#[test]
fn each_missing_field_is_named() {
    for line in GOOD.lines() {
        let field = line.split(':').next().unwrap();
        let kept: Vec<&str> = GOOD.lines().filter(|kept| *kept != line).collect();
        let text = kept.join("\n");
        let found = faults(&text);
        assert_eq!(found.len(), 1, "{found:?}");
        assert_eq!(found[0].field, field);
    }
}

/// Guards against faults that show only one at a time: a file with many faults is reported in one run, in line order.
#[test]
fn all_faults_of_a_file_are_reported_at_once() {
    let text = "vm: ''\navailability_zone: a\nlisten: here\nadmin_listen: 127.0.0.1:0\nplattform: x\nlimits:\n  workers: 0\n  ring: x\n  rings: 1\nlog_format: xml\n";
    let found = faults(text);
    let reported: Vec<(usize, &str)> = found.iter().map(|f| (f.line, f.field.as_str())).collect();
    let expected = [
        (1, "vm"),
        (1, "platform"),
        (3, "listen"),
        (5, "plattform"),
        (7, "limits.workers"),
        (8, "limits.ring"),
        (9, "limits.rings"),
        (10, "log_format"),
    ];
    for place in expected {
        assert!(reported.contains(&place), "{place:?} in {reported:?}");
    }
    assert_eq!(reported.len(), expected.len(), "{reported:?}");
    assert!(reported.is_sorted_by_key(|(line, _)| *line));
}

#[test]
fn texts_that_are_not_settings_are_reported_with_a_line() {
    let bomb = format!("a: &a [x]\n{}", "b: [*a, *a, *a]\n".repeat(2000));
    let deep = format!("{}{}", "[".repeat(5000), "]".repeat(5000));
    for text in [
        "",
        "3",
        "[]",
        "vm: a\nvm: b\n",
        "vm: a\n\tx: b",
        "\0",
        "---\na\n---\nb",
        &bomb,
        &deep,
    ] {
        assert!(!faults(text).is_empty());
    }
}

/// Guards against a text that makes the reader panic or never end.
#[test]
fn no_text_panics() {
    /// The bytes that each seed draws from; `arbtest` takes them from the seed's lower half.
    const BYTES: u64 = 512;
    const PIECES: &[&str] = &[
        "vm: a\n",
        "listen: ",
        "127.0.0.1:1\n",
        "limits:\n",
        "  workers: ",
        "peer:\n",
        "  tls: ",
        "{",
        "}",
        "[",
        "]",
        ": ",
        "- ",
        "\n",
        "&a ",
        "*a",
        "!!int ",
        "'",
        "\"",
        "0",
        "-1",
        "1e400",
        ".nan",
        "~",
        "store: {calls_per_s: .inf}\n",
        "\u{feff}",
        "? ",
        "|\n",
        "#",
        "\t",
        "é",
    ];
    for seed in 0..1500u64 {
        arbtest::arbtest(|u| {
            let mut text = String::new();
            for _ in 0..u.int_in_range(0..=40)? {
                match u.ratio(1, 8)? {
                    true => text.push(u.arbitrary()?),
                    false => text.push_str(u.choose(PIECES)?),
                }
            }
            drop(parse("s.yaml", &text));
            Ok(())
        })
        .seed((seed << 32) | BYTES)
        .run();
    }
}

/// Guards against a daemon that opens a port with wrong settings: a faulty file must end it with the exit code for
/// settings before it opens any port.
#[test]
fn a_faulty_file_ends_the_daemon_with_exit_code_2_before_it_opens_a_port() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("settings.yaml");
    let holder = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = holder.local_addr().unwrap();
    // The port is in use, so the daemon would end with exit code 1 if it tried to open it.
    std::fs::write(
        &file,
        with(&format!("listen: {taken}\nlimits: {{workers: 0}}")),
    )
    .unwrap();
    let missing = folder.path().join("missing.yaml");
    let token = folder.path().join("token.yaml");
    std::fs::write(
        &token,
        with(&format!(
            "listen: {taken}\nadmin_token_file: {}",
            missing.display()
        )),
    )
    .unwrap();
    for (path, message) in [
        (
            &file,
            "settings.yaml:6: limits.workers: 0 found, expected 1 to 4096",
        ),
        (&missing, "missing.yaml"),
        (&token, "admin_token_file"),
    ] {
        for check in [false, true] {
            let output = daemon(path, check);
            let errors = String::from_utf8_lossy(&output.stderr).into_owned();
            assert_eq!(output.status.code(), Some(2), "{errors}");
            assert!(errors.contains(message), "{errors}");
        }
    }
    std::fs::write(&file, GOOD).unwrap();
    assert_eq!(daemon(&file, true).status.code(), Some(0));
}

fn daemon(settings: &Path, check: bool) -> std::process::Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_kingcuploftd"));
    command.arg("--settings").arg(settings);
    if check {
        command.arg("--check");
    }
    command.output().unwrap()
}

/// The sections of the file, each a mapping of options.
const SECTIONS: &[&str] = &[
    "",
    "limits",
    "store",
    "claims",
    "peer",
    "peer.membership",
    "peer.budget",
    "peer.tls",
];

/// Returns the option names of a section, from the reader's error about an unknown name.
fn names(section: &str) -> Vec<String> {
    let mut lines = String::new();
    for (depth, step) in section.split('.').filter(|s| !s.is_empty()).enumerate() {
        lines += &format!("{}{step}:\n", "  ".repeat(depth));
    }
    let depth = section.split('.').filter(|s| !s.is_empty()).count();
    let text = with(&format!("{lines}{}no_such_name: 1", "  ".repeat(depth)));
    let found = faults(&text);
    let fault = found.iter().find(|f| f.expected.contains("no_such_name"));
    let expected = fault
        .unwrap()
        .expected
        .split("expected")
        .nth(1)
        .unwrap()
        .to_owned();
    let names = expected.split('`').skip(1).step_by(2);
    let prefix = if section.is_empty() {
        String::new()
    } else {
        format!("{section}.")
    };
    names.map(|name| format!("{prefix}{name}")).collect()
}

/// The option table of the settings' page: every option of the code, once, with its default.
#[test]
fn the_option_table_agrees_with_the_code() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/features/settings.md");
    let page = std::fs::read_to_string(page).unwrap();
    let rows = page.lines().filter_map(|line| {
        let mut cells = line.strip_prefix("| `")?.split(" | ");
        let name = cells.next()?.trim_end_matches('`').to_owned();
        Some((name, cells.next()?.trim_matches('`').to_owned()))
    });
    let rows: Vec<(String, String)> = rows.collect();
    let mut documented: Vec<String> = rows.iter().map(|(name, _)| name.clone()).collect();
    let known = SECTIONS.iter().flat_map(|section| names(section));
    let mut known: Vec<String> = known
        .filter(|name| !SECTIONS.contains(&name.as_str()))
        .collect();
    documented.sort();
    known.sort();
    assert_eq!(documented, known);
    let defaults = format!("{:?}", parse("s.yaml", GOOD).unwrap());
    for (name, default) in rows {
        if matches!(default.as_str(), "required" | "none") {
            continue;
        }
        let settings: Settings = parse("s.yaml", &with(&nested(&name, &default))).unwrap();
        assert_eq!(format!("{settings:?}"), defaults, "{name}: {default}");
    }
}

/// Returns the lines that set one option.
fn nested(name: &str, value: &str) -> String {
    let steps: Vec<&str> = name.split('.').collect();
    let lines = steps.iter().enumerate().map(|(depth, step)| {
        let value = if depth + 1 == steps.len() { value } else { "" };
        format!("{}{step}: {value}", "  ".repeat(depth))
    });
    let lines: Vec<String> = lines.collect();
    lines.join("\n")
}
