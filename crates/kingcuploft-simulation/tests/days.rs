//! Files of days: errors name the place of the fault.

use kingcuploft_simulation::day::Day;

fn error(text: &str) -> String {
    match Day::read("day.yaml", text) {
        Ok(day) => panic!("{day:?}"),
        Err(error) => error.to_string(),
    }
}

fn day(disruption: &str) -> String {
    format!("deployment: 19-vms\nseed: 1\nlength_ms: 1000\ndisruptions:\n  - {disruption}\n")
}

#[test]
fn a_day_is_written_as_it_was_read() {
    let text = day("{at_ms: 5, kind: crowd, strength: 2.0, for_ms: 10}");
    let read = Day::read("day.yaml", &text).expect("a day");
    let again = Day::read("again.yaml", &read.to_text()).expect("a day");
    assert_eq!(read, again);
}

#[test]
fn an_unknown_field_is_reported_with_its_line() {
    let error = error(&day("{at_ms: 5, kind: crowd, strenght: 2.0}"));
    assert!(error.starts_with("day.yaml"), "{error}");
    assert!(
        error.contains("strenght") && error.contains("line 5"),
        "{error}"
    );
}

#[test]
fn an_unknown_kind_is_reported() {
    let error = error(&day("{at_ms: 5, kind: earthquake}"));
    assert!(error.contains("earthquake"), "{error}");
}

#[test]
fn invalid_values_are_reported_with_disruption_and_field() {
    for (disruption, field) in [
        (
            "{at_ms: 5, kind: vms_killed, share: 1.5}",
            "disruption 1: share",
        ),
        (
            "{at_ms: 5, kind: crowd, strength: 90.0}",
            "disruption 1: strength",
        ),
        (
            "{at_ms: 5, kind: servers_refuse, service: none}",
            "disruption 1: service",
        ),
    ] {
        let error = error(&day(disruption));
        assert!(error.contains(field), "{error}");
    }
}

#[test]
fn an_unknown_deployment_is_reported_with_the_known_ones() {
    let error = error("deployment: moon\nseed: 1\nlength_ms: 1000\ndisruptions: []\n");
    assert!(
        error.contains("moon") && error.contains("115-vms"),
        "{error}"
    );
}
