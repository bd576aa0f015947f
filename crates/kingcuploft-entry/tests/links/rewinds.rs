//! A store that is restored from an older copy: what all VMs hold meanwhile, and what it costs the store.

use std::time::Duration;

use kingcuploft::entry::crash_report::CrashReport;
use kingcuploft::entry::notice::Notice;
use kingcuploft_entry::store::Store;

use crate::fleet::{Fleet, Links, server, simulate};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 10,
};

/// How long a change in the store may take to reach all VMs.
const MAX_PROPAGATION: Duration = Duration::from_millis(1_500);

/// How soon servers and the operator write again what the copy lacks.
const REWRITE_DELAY: Duration = Duration::from_millis(1_200);

/// How long a VM that starts may take to synchronize.
const START_TIME: Duration = Duration::from_secs(3);

/// Longer than a VM keeps state that the store has lost and nobody writes again.
const EXPIRY_TIME: Duration = Duration::from_secs(12);

fn report(fingerprint: u64, server: &str) -> Notice {
    Notice::Crash(CrashReport {
        fingerprint,
        of: server.into(),
        in_a_row: 2,
    })
}

/// Returns for how many VMs a condition does not hold.
fn count_without(
    fleet: &Fleet,
    holds: impl Fn(&kingcuploft_entry::context::Context) -> bool,
) -> usize {
    let hosts = (0..fleet.len()).filter_map(|at| fleet.network.host(at));
    hosts.filter(|host| !holds(&host.context)).count()
}

fn count_using(fleet: &Fleet, name: &str) -> usize {
    fleet.len() - count_without(fleet, |context| context.upstream(name).is_some())
}

async fn check_rewind(zones: &[usize]) {
    let mut fleet = Fleet::start(zones, LINKS, 100, 3).await;
    let store = fleet.store.clone();
    store.0.write_backend_server(server("old"));
    store.0.write_backend_server(server("leaves"));
    tokio::time::sleep(MAX_PROPAGATION).await;
    let snapshot = store.0.snapshot();
    store.0.write_backend_server(server("young"));
    store.0.remove_backend_server("leaves");
    store.0.set_evacuated("zone-1", true);
    store.create_notice(&report(7, "young")).await.unwrap();
    fleet.change_one_route();
    tokio::time::sleep(MAX_PROPAGATION).await;
    assert!(fleet.outdated_vms().is_empty());
    let (list_calls, write_calls) = (store.0.list_calls.get(), store.0.zone_write_calls.get());
    let newest_configuration = store.0.configuration.borrow().clone().unwrap();
    store.0.rewind(snapshot);
    tokio::time::sleep(REWRITE_DELAY).await;
    let outdated = fleet.outdated_vms();
    assert!(
        outdated.is_empty(),
        "the configuration in force went back at {outdated:?}"
    );
    let vm_count = fleet.len();
    assert_eq!(
        (count_using(&fleet, "old"), count_using(&fleet, "young")),
        (vm_count, vm_count)
    );
    assert_eq!(count_using(&fleet, "leaves"), 0);
    let knows_evacuation = |context: &kingcuploft_entry::context::Context| {
        context.evacuations.borrow().is_evacuated("zone-1")
    };
    assert_eq!(count_without(&fleet, knows_evacuation), 0);
    store.0.write_backend_server(server("young"));
    store.0.set_evacuated("zone-1", true);
    store.0.write_configuration(newest_configuration);
    tokio::time::sleep(EXPIRY_TIME).await;
    store.0.remove_backend_server("leaves");
    tokio::time::sleep(MAX_PROPAGATION).await;
    assert_eq!(
        (count_using(&fleet, "old"), count_using(&fleet, "young")),
        (vm_count, vm_count)
    );
    assert_eq!(
        (
            count_using(&fleet, "leaves"),
            count_without(&fleet, knows_evacuation)
        ),
        (0, 0)
    );
    let refuses_request =
        |context: &kingcuploft_entry::context::Context| context.quarantine.borrow().is_refused(7);
    assert_eq!(count_without(&fleet, refuses_request), 0);
    assert_eq!(
        store.0.notices.borrow().len(),
        1,
        "the report is in the store again"
    );
    let list_calls = store.0.list_calls.get() - list_calls;
    let write_calls = store.0.zone_write_calls.get() - write_calls;
    assert!(
        list_calls as usize <= 12 * zones.len() + 12,
        "{list_calls} list calls by {vm_count} VMs"
    );
    assert!(
        write_calls as usize <= 2 * zones.len(),
        "{write_calls} zone writes by {vm_count} VMs"
    );
    fleet.change_one_route();
    tokio::time::sleep(MAX_PROPAGATION).await;
    assert!(
        fleet.outdated_vms().is_empty(),
        "a change after the rewind is in force"
    );
}

/// Guards against a configuration that goes back, servers that are lost or used again, and a rush of all VMs to the
/// store.
#[test]
fn vms_of_115_keep_what_was_accepted_when_the_store_is_restored_from_a_copy() {
    simulate(check_rewind(&[29, 29, 29, 28]));
}

#[test]
fn vms_of_312_keep_what_was_accepted_when_the_store_is_restored_from_a_copy() {
    simulate(check_rewind(&[52; 6]));
}

/// Guards against a VM that starts just after the rewind and serves by the older configuration in the store.
#[test]
fn a_vm_that_starts_before_the_operator_writes_again_learns_the_configuration_of_the_others() {
    simulate(async {
        let mut fleet = Fleet::start(&[4, 4], LINKS, 100, 4).await;
        let snapshot = fleet.store.0.snapshot();
        fleet.change_one_route();
        tokio::time::sleep(MAX_PROPAGATION).await;
        fleet.store.0.rewind(snapshot);
        tokio::time::sleep(MAX_PROPAGATION).await;
        for at in 0..fleet.len() {
            fleet.power_off(at);
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.power_on(at, false);
            tokio::time::sleep(START_TIME).await;
            assert!(fleet.outdated_vms().is_empty(), "after VM {at} has started");
        }
    });
}
