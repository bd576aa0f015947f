//! Changes between configurations, sent in parts.

use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use kingcuploft::entry::change_assembly::{ChangeAssembler, PartOutcome};
use kingcuploft::entry::change_log::ChangeLog;
use kingcuploft::entry::configuration::{Configuration, Destination, Limits, Route, Service};
use kingcuploft::entry::configuration_change::{ChangePart, ConfigurationChange};
use kingcuploft::entry::key_digest::KeyDigest;
use kingcuploft::entry::workspaces::{Workspace, Workspaces};
use kingcuploft::utils::HashMap;
use kingcuploft::world::contract::Contract;
use kingcuploft::world::wire_text::RequestPath;

fn route(number: u32, timeout_ms: u64) -> Route {
    Route {
        name: format!("r-{number}").into(),
        host: format!("host-{}.example", number % 3),
        path_prefix: format!("/p{number}/"),
        contract: Contract::RetryFreely,
        target: Duration::from_millis(200),
        timeout: Duration::from_millis(timeout_ms),
        most_attempts: 2,
        is_public: false,
        priority: 2,
        destinations: vec![Destination {
            service: "trip".into(),
            weight: 1,
        }],
    }
}

fn configuration_of(version: u64, routes: Vec<Route>) -> Configuration {
    let service = Service {
        health_path: RequestPath::parse("/health").ok(),
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
    let mut workspaces = Vec::new();
    let step = u.int_in_range(1..=3u32)?;
    for number in 0..u.int_in_range(0..=300u32)? {
        let name = format!("w-{}", number * step);
        let key = format!("key-{number}");
        let per_s = f64::from(u.int_in_range(0..=2u32)?);
        workspaces.push(Workspace::new(&name, &[&key], None, per_s, 1.0).unwrap());
    }
    let needs_keys: bool = u.arbitrary()?;
    let workspaces = needs_keys.then(|| Workspaces::new(workspaces).unwrap());
    Ok(configuration_of(version, routes).with_workspaces(workspaces))
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
        let tables = [&changed, &new].map(|c| c.workspaces.as_ref().map(Workspaces::sorted));
        assert_eq!(tables[0], tables[1]);
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

fn with_keys(version: u64, workspaces: usize, keys: usize) -> Configuration {
    let workspace = |at: usize| {
        let keys: Vec<_> = (0..keys).map(|key| format!("s3cret-{at}-{key}")).collect();
        let keys: Vec<_> = keys.iter().map(String::as_str).collect();
        Workspace::new(&format!("w-{at}"), &keys, None, 10.0, 10.0).unwrap()
    };
    let table = Workspaces::new((0..workspaces).map(workspace).collect()).unwrap();
    configuration_of(version, Vec::new()).with_workspaces(Some(table))
}

/// Guards against VMs that tell each other keys.
#[test]
fn vms_tell_each_other_digests_and_no_keys() {
    let configuration = with_keys(1, 3, 2);
    let parts = ConfigurationChange::whole(&configuration).parts();
    let texts = [
        serde_json::to_string(&parts).unwrap(),
        serde_json::to_string(&configuration).unwrap(),
        format!("{configuration:?}"),
    ];
    for text in texts {
        assert!(text.contains("w-2") && !text.contains("s3cret"));
    }
}

/// Guards against a table of keys that is sent whole for each key that is added or taken away.
#[test]
fn a_change_of_one_key_travels_as_one_workspace() {
    let (old, new) = (with_keys(1, 400, 10), with_keys(2, 400, 10));
    let mut workspaces: Vec<_> = new.workspaces.as_ref().unwrap().sorted();
    let changed = std::sync::Arc::make_mut(&mut workspaces[7]);
    changed
        .keys
        .retain(|key| *key != KeyDigest::of(b"s3cret-106-3"));
    changed.keys.pop();
    let all = workspaces.into_iter().map(std::sync::Arc::unwrap_or_clone);
    let table = Workspaces::new(all.collect()).unwrap();
    let new = new.with_workspaces(Some(table));
    let parts = ConfigurationChange::between(&old, &new).parts();
    let bytes = serde_json::to_string(&parts).unwrap().len();
    assert!(bytes < 1024, "{bytes}");
    let changed = assemble(parts, Some(&old)).unwrap();
    assert_eq!(changed.digest(), new.digest());
}

/// Guards against a key that opens its old workspace once it has moved to another one.
#[test]
fn a_key_that_moves_within_one_change_opens_its_new_workspace_alone() {
    let table = |first: &[&str], second: &[&str]| {
        let a = Workspace::new("a", first, None, 0.0, 0.0).unwrap();
        let b = Workspace::new("b", second, None, 0.0, 0.0).unwrap();
        Some(Workspaces::new(vec![a, b]).unwrap())
    };
    for (from, to) in [(["x", "y"], ["z", "x"]), (["z", "x"], ["x", "y"])] {
        let old = configuration_of(1, Vec::new()).with_workspaces(table(&from[..1], &from[1..]));
        let new = configuration_of(2, Vec::new()).with_workspaces(table(&to[..1], &to[1..]));
        let change = ConfigurationChange::between(&old, &new).parts();
        let changed = assemble(change, Some(&old)).unwrap();
        let workspaces = changed.workspaces.unwrap();
        for key in ["x", "y", "z"] {
            let digest = KeyDigest::of(key.as_bytes());
            let expected = new.workspaces.as_ref().unwrap().by_key(&digest);
            assert_eq!(workspaces.by_key(&digest), expected, "{key}");
        }
    }
}
