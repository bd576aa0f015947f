use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kingcuploft::entry::account_replicas::{AccountReplicas, replica_holders};
use kingcuploft::entry::repeat_account::UsageReport;
use kingcuploft::entry::repeat_budget::{RepeatBounds, RepeatBudget};
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::utils::HashSet;

const BOUNDS: RepeatBounds = RepeatBounds {
    ratio: 0.2,
    allowance: 58.0,
    window: Duration::from_secs(10),
};

const SECOND: Duration = Duration::from_secs(1);

fn record(zone: usize, vms: usize) -> ZoneRecord {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    let named = (0..vms).map(|at| VmEntry {
        name: format!("vm-{zone}-{at}").into(),
        zone: format!("zone-{zone}").into(),
        address,
        cpu_milli: 200,
    });
    ZoneRecord {
        zone: format!("zone-{zone}").into(),
        version: 1,
        vms: named.collect(),
        count: vms as u32,
        settled: true,
    }
}

/// Returns the report of a VM that has repeated this many requests for each service.
fn used(repeats: usize, services: &[&str]) -> UsageReport {
    let now = Instant::now();
    let mut of_vm = RepeatBudget::for_first_start();
    for service in services {
        for _ in 0..repeats {
            of_vm.try_take(now, &(*service).into(), &BOUNDS, 1);
        }
    }
    of_vm.report(now, &BOUNDS)
}

#[test]
fn the_account_of_a_vm_is_replicated_in_all_zones() {
    let records = [record(0, 6), record(1, 5), record(2, 5), record(3, 3)];
    let own = "vm-0-2".into();
    let kept_by = replica_holders(&own, &records);
    let zones: HashSet<_> = kept_by.iter().map(|vm| vm.zone.clone()).collect();
    let names: HashSet<_> = kept_by.iter().map(|vm| vm.name.clone()).collect();
    assert_eq!((kept_by.len(), zones.len(), names.len()), (6, 4, 6));
    assert!(!names.contains(&own));
    assert_eq!(replica_holders(&own, &records), kept_by);
}

#[test]
fn a_vm_gets_back_its_report_and_the_age_of_it() {
    let now = Instant::now();
    let mut replicas = AccountReplicas::default();
    let reported = used(3, &["trip"]);
    replicas.store(now, "a".into(), reported.clone());
    let mut expected = reported;
    expected.accounts[0].age_ms = 2000;
    expected.heard_ms = 2000;
    assert_eq!(replicas.get(now + 2 * SECOND, &"a".into()), Some(expected));
    assert_eq!(replicas.get(now, &"b".into()), None);
}

/// Failure: a VM that has restarted overwrites the replica that it is about to ask for.
#[test]
fn a_vm_that_knows_less_than_its_replica_does_not_overwrite_it() {
    let now = Instant::now();
    let mut replicas = AccountReplicas::default();
    replicas.store(now, "a".into(), used(3, &["trip"]));
    let mut restarted = RepeatBudget::after_restart(now + SECOND, &BOUNDS);
    let nothing = restarted.report(now + SECOND, &BOUNDS);
    replicas.store(now + SECOND, "a".into(), nothing.clone());
    let kept = replicas.get(now + SECOND, &"a".into()).expect("it is kept");
    assert_eq!(kept.unknown_ms, 0);
    assert!(kept.accounts[0].account.has_repeats());
    replicas.store(now, "b".into(), nothing);
    let new = replicas
        .get(now + SECOND, &"b".into())
        .expect("it is kept as well");
    assert!(new.unknown_ms > 0, "a VM that is new goes on not knowing");
}

#[test]
fn reports_with_many_services_are_split_and_stored_completely() {
    let names: Vec<String> = (0..20).map(|at| format!("service-{at}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let now = Instant::now();
    let mut replicas = AccountReplicas::default();
    let parts = used(1, &names).split(8);
    assert_eq!(parts.len(), 3);
    for part in parts {
        assert!(part.accounts.len() <= 8);
        replicas.store(now, "a".into(), part);
    }
    let kept = replicas.get(now, &"a".into()).expect("it is kept");
    assert_eq!(kept.accounts.len(), 20);
    let nothing = used(0, &[]).split(8);
    assert_eq!(nothing.len(), 1, "a VM that used nothing says so");
}

#[test]
fn the_replica_of_a_silent_vm_expires() {
    let now = Instant::now();
    let mut replicas = AccountReplicas::default();
    replicas.store(now, "a".into(), used(3, &["trip"]));
    assert_eq!(replicas.get(now + 90 * SECOND, &"a".into()), None);
    assert!(replicas.is_empty());
}
