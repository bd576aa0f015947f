//! The peer settings: unsafe links are refused, and each option is documented.

use std::path::{Path, PathBuf};

use kingcuploftd::peer_link::PeerSettings;
use kingcuploftd::settings::{self, SettingsError};

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn fault(peer: &str) -> String {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    let text = format!(
        "vm: a\navailability_zone: a\nlisten: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\nplatform: 127.0.0.1:1\npeer: {peer}\n"
    );
    std::fs::write(&path, text).unwrap();
    match settings::read(&path) {
        Ok(_) => String::new(),
        Err(SettingsError::Invalid(faults)) => {
            let fault = &faults[0];
            format!("{}: {}", fault.line, fault.expected)
        }
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn links_without_tls_on_other_than_loopback_addresses_are_refused_unless_allowed() {
    assert_eq!(fault("{listen: '127.0.0.1:7400'}"), "");
    assert_eq!(fault("{listen: '10.0.0.1:7400', plain: true}"), "");
    let tls = "tls: {certificate: a, key: b, ca: c}";
    assert_eq!(fault(&format!("{{listen: '10.0.0.1:7400', {tls}}}")), "");
    assert!(fault("{listen: '10.0.0.1:7400'}").starts_with("6: peer.listen is not a loopback"));
    let everywhere = fault(&format!("{{listen: '0.0.0.0:7400', {tls}}}"));
    assert!(
        everywhere.contains("peer.address is needed"),
        "{everywhere}"
    );
    let hasty = fault("{listen: '127.0.0.1:0', membership: {suspect_ms: 10}}");
    assert!(hasty.contains("suspect_ms"), "{hasty}");
}

#[test]
fn each_option_is_documented() {
    let page = |name: &str| {
        let path = workspace().join("docs/features").join(name);
        std::fs::read_to_string(path).unwrap()
    };
    let (links, membership) = (page("peer_link.md"), page("membership.md"));
    // The reader's error about an unknown option lists every option of the section.
    let options = |text: &str| {
        let error = serde_saphyr::from_str::<PeerSettings>(text).unwrap_err();
        let error = error.to_string();
        let first = error.lines().next().unwrap();
        let (_, named) = first.split_once("expected one of ").unwrap();
        named.split(", ").map(str::to_owned).collect::<Vec<_>>()
    };
    for (text, page) in [
        ("{nonsense: 1}", &links),
        ("{budget: {nonsense: 1}}", &links),
        ("{tls: {nonsense: 1}}", &links),
        ("{membership: {nonsense: 1}}", &membership),
    ] {
        let options = options(text);
        assert!(options.len() >= 2, "{options:?}");
        for option in options {
            assert!(
                page.contains(&format!("`{option}`")),
                "{option} is not documented"
            );
        }
    }
}

#[test]
fn the_examples_are_read() {
    for name in ["teamway", "bern"] {
        let path = workspace()
            .join("examples")
            .join(name)
            .join("settings.yaml");
        let settings = settings::read(&path).unwrap();
        assert!(settings.peer.tls.is_some());
    }
}
