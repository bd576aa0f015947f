//! Tests of routing: no encoding of a path selects a weaker contract than the plain path does.

use kingcuploft::manifest::Manifest;
use kingcuploft::manifest::reader::read;
use kingcuploft::manifest::routing::{Routes, route};
use kingcuploft::world::refusal::RefusalReason;

fn manifest() -> Manifest {
    let text = "\
services:
  - name: trip
    hosts: [trip.example]
    backend_servers: []
    rules:
      - {name: lookup, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: 9}
      - {name: hold, methods: [POST], path_prefix: /holds, contract: at_most_once, priority: protected, deadline_ms: 9}
      - {name: status, path_prefix: /holds, contract: retry_freely, priority: interactive, deadline_ms: 9}
";
    read("manifest.yaml", text).unwrap()
}

fn rule(method: &str, path: &str) -> Result<String, RefusalReason> {
    let routes = Routes::new(&manifest());
    let route = routes.route("trip.example", method, path)?;
    Ok(route.rule().name.to_string())
}

#[test]
fn a_prefix_ends_at_a_segment() {
    for path in [
        "/holds",
        "/holds/",
        "/holds/7",
        "/holds;v=1",
        "/holds/7;v=1",
    ] {
        assert_eq!(rule("POST", path).as_deref(), Ok("hold"), "{path}");
        assert_eq!(rule("GET", path).as_deref(), Ok("status"), "{path}");
    }
    for path in [
        "/",
        "/holdsx",
        "/hold",
        "/lookup/holds",
        "/a%20b",
        "/100%25",
    ] {
        assert_eq!(rule("POST", path).as_deref(), Ok("lookup"), "{path}");
    }
}

#[test]
fn a_protected_action_can_not_be_run_as_a_lookup() {
    // Failure: a caller encodes the path of a hold so that this VM routes it as a lookup and retries it, while the
    // backend server decodes the path and runs the hold each time. The user is billed twice.
    for path in ["/%68olds", "/h%6Flds/7", "/%68%6f%6c%64%73"] {
        assert_eq!(rule("POST", path).as_deref(), Ok("hold"), "{path}");
    }
    for method in ["post", "Post"] {
        assert_eq!(rule(method, "/holds").as_deref(), Ok("hold"), "{method}");
    }
    for path in [
        "/lookup/../holds",
        "/lookup/..;v=1/holds",
        "/lookup/%2e%2E/holds",
        "/./holds",
        "/holds/..",
        "//holds",
        "/lookup//holds",
        "/lookup%2f..%2fholds",
        "/lookup\\..\\holds",
        "/lookup%5c..%5cholds",
        "/%2568olds",
        "/holds%00",
        "/ho\tlds",
        "/holds%",
        "/holds%zz",
        "holds",
        "",
        "*",
    ] {
        assert_eq!(rule("POST", path), Err(RefusalReason::BadRequest), "{path}");
    }
}

#[test]
fn a_host_is_found_whatever_its_case_port_or_final_dot() {
    let manifest = manifest();
    for host in [
        "trip.example",
        "TRIP.example",
        "trip.example:8080",
        "trip.example.",
    ] {
        assert!(route(&manifest, host, "GET", "/").is_ok(), "{host}");
    }
    for host in ["", "trip", "trip.example.org", "xtrip.example"] {
        let found = route(&manifest, host, "GET", "/");
        assert_eq!(found.err(), Some(RefusalReason::NoSuchService), "{host}");
    }
}
