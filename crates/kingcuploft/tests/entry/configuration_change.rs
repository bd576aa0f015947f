//! Changes between configurations, sent in parts.

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use kingcuploft::entry::change_assembly::{ChangeAssembler, PartOutcome};
use kingcuploft::entry::change_log::ChangeLog;
use kingcuploft::entry::configuration::{Configuration, Destination, Limits, Route, Service};
use kingcuploft::entry::configuration_change::{ChangePart, ConfigurationChange};
use kingcuploft::utils::HashMap;
use kingcuploft::world::contract::Contract;

fn route(number: u32, timeout_ms: u64) -> Route {
    Route {
        name: format!("r-{number}").into(),
        host: format!("host-{}.example", number % 3),
        path_prefix: format!("/p{number}/"),
        contract: Contract::RetryFreely,
        target: Duration::from_millis(200),
        timeout: Duration::from_millis(timeout_ms),
        most_attempts: 2,
        priority: 2,
        destinations: vec![Destination {
            service: "trip".into(),
            weight: 1,
        }],
    }
}

fn configuration_of(version: u64, routes: Vec<Route>) -> Configuration {
    let service = Service {
        health_path: "/health".into(),
        most_connections: 220,
        cold_start: None,
    };
    let services: HashMap<_, _> = [("trip".into(), service)].into_iter().collect();
    Configuration::new(version, routes, services, Limits::default())
}

fn random_configuration(
    version: u64,
    u: &mut Unstructured<'_>,
) -> arbtest::arbitrary::Result<Configuration> {
    let mut routes = Vec::new();
    let count = u.int_in_range(0..=700u32)?;
    let step = u.int_in_range(1..=3u32)?;
    for number in 0..count {
        routes.push(route(number * step, u.int_in_range(1..=2u64)? * 100));
    }
    Ok(configuration_of(version, routes))
}

fn assemble(parts: Vec<ChangePart>, old: Option<&Configuration>) -> Option<Configuration> {
    let mut assembler = ChangeAssembler::default();
    let mut whole = None;
    for part in parts {
        let line = serde_json::to_string(&part).unwrap();
        let part: ChangePart = serde_json::from_str(&line).unwrap();
        match assembler.add_part(part, old).unwrap() {
            PartOutcome::Complete(configuration) => whole = Some(*configuration),
            PartOutcome::Incomplete => {}
            PartOutcome::AlreadyApplied | PartOutcome::Mismatch => return None,
        }
    }
    whole
}

/// Failure: a change leads to another configuration than the one it was computed from.
#[test]
fn a_change_leads_from_any_configuration_to_any_other() {
    arbtest::arbtest(|u| {
        let (old, new) = (random_configuration(1, u)?, random_configuration(2, u)?);
        let changed = assemble(ConfigurationChange::between(&old, &new).parts(), Some(&old));
        let changed = changed.expect("it leads there");
        assert_eq!((changed.version, changed.digest()), (2, new.digest()));
        assert_eq!(changed.route_count(), new.route_count());
        let whole = assemble(ConfigurationChange::whole(&new).parts(), Some(&old));
        assert_eq!(whole.map(|whole| whole.digest()), Some(new.digest()));
        Ok(())
    })
    .budget_ms(2_000);
}

/// Failure: a change of one value costs as much as sending the full configuration.
#[test]
fn a_change_of_one_value_takes_a_few_hundred_bytes() {
    let routes: Vec<Route> = (0..2_800).map(|number| route(number, 100)).collect();
    let old = configuration_of(1, routes.clone());
    let mut routes = routes;
    routes[1_400].timeout = Duration::from_millis(101);
    let parts = ConfigurationChange::between(&old, &configuration_of(2, routes)).parts();
    let bytes = serde_json::to_vec(&parts).unwrap().len();
    assert!(parts.len() == 1 && bytes < 1_000, "{bytes} bytes");
}

/// Failure: a configuration is assembled from parts that do not belong together.
#[test]
fn parts_out_of_order_or_for_another_version_are_rejected() {
    let old = configuration_of(1, (0..600).map(|number| route(number, 100)).collect());
    let new = configuration_of(3, (0..600).map(|number| route(number, 200)).collect());
    let change = ConfigurationChange::between(&old, &new);
    let mut parts = change.parts();
    parts.swap(1, 2);
    assert!(assemble(parts, Some(&old)).is_none());
    let other = configuration_of(2, vec![route(7, 100)]);
    assert!(assemble(change.parts(), Some(&other)).is_none());
    assert!(assemble(change.parts(), None).is_none());
    // The same version with other content is detected by the digest.
    let differs = configuration_of(1, (0..601).map(|number| route(number, 100)).collect());
    assert!(assemble(change.parts(), Some(&differs)).is_none());
}

/// Failure: sending the logged changes costs more than sending the full configuration.
#[test]
fn missed_changes_are_sent_as_long_as_they_are_smaller_than_the_full_configuration() {
    let mut log = ChangeLog::default();
    let at = |version: u64| {
        configuration_of(version, (0..100).map(|n| route(n, 100 + version)).collect())
    };
    let small = |version: u64| {
        let mut routes: Vec<Route> = (0..100).map(|n| route(n, 100)).collect();
        routes[0] = route(0, 100 + version);
        configuration_of(version, routes)
    };
    for version in 1..10 {
        log.push(
            ConfigurationChange::between(&small(version), &small(version + 1)),
            100,
        );
    }
    let versions = |log: &ChangeLog, from| {
        let changes = log.since(from);
        changes.map(|all| all.iter().map(|change| change.to).collect::<Vec<_>>())
    };
    assert_eq!(versions(&log, 7), Some(vec![8, 9, 10]));
    assert_eq!(versions(&log, 10), None);
    log.push(ConfigurationChange::between(&small(10), &at(11)), 100);
    assert_eq!(versions(&log, 10), Some(vec![11]));
    assert_eq!(versions(&log, 9), None, "more than all by now");
    log.push(ConfigurationChange::between(&at(20), &at(21)), 100);
    assert_eq!(versions(&log, 10), None, "it does not lead on");
}
