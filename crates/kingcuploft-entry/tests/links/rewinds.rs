//! A store that comes back from a copy: what all VMs believe meanwhile, and what it costs.

use std::time::Duration;

use kingcuploft::entry::crash_report::CrashReport;
use kingcuploft::entry::notice::Notice;
use kingcuploft_entry::store::Store;

use crate::fleet::{Fleet, Links, play, server};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 10,
};

/// How long VMs may take to know what the store tells.
const KNOWN: Duration = Duration::from_millis(1_500);

/// How soon servers and the operator write again what the copy lacks.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_200);

/// When a VM that has started anew counts as in touch.
const IN_TOUCH: Duration = Duration::from_secs(3);

/// Longer than anything is believed that nobody writes again.
const SETTLED: Duration = Duration::from_secs(12);

fn report(fingerprint: u64, server: &str) -> Notice {
    Notice::Crash(CrashReport {
        fingerprint,
        of: server.into(),
        in_a_row: 2,
    })
}

/// Returns how many VMs there are of which something does not hold.
fn but(fleet: &Fleet, holds: impl Fn(&kingcuploft_entry::context::Context) -> bool) -> usize {
    let hosts = (0..fleet.len()).filter_map(|at| fleet.network.host(at));
    hosts.filter(|host| !holds(&host.context)).count()
}

fn uses(fleet: &Fleet, name: &str) -> usize {
    fleet.len() - but(fleet, |context| context.upstream(name).is_some())
}

async fn comes_back(zones: &[usize]) {
    let mut fleet = Fleet::start(zones, LINKS, 100, 3).await;
    let store = fleet.store.clone();
    store.0.write_backend_server(server("old"));
    store.0.write_backend_server(server("leaves"));
    tokio::time::sleep(KNOWN).await;
    let copy = store.0.snapshot();
    store.0.write_backend_server(server("young"));
    store.0.remove_backend_server("leaves");
    store.0.set_evacuated("zone-1", true);
    store.create_notice(&report(7, "young")).await.unwrap();
    fleet.change_one();
    tokio::time::sleep(KNOWN).await;
    assert!(fleet.behind().is_empty());
    let (lists, records) = (store.0.list_calls.get(), store.0.zone_write_calls.get());
    let newest = store.0.configuration.borrow().clone().unwrap();
    store.0.rewind(copy);
    tokio::time::sleep(WRITTEN_AGAIN).await;
    let behind = fleet.behind();
    assert!(
        behind.is_empty(),
        "the configuration in force went back at {behind:?}"
    );
    let all = fleet.len();
    assert_eq!((uses(&fleet, "old"), uses(&fleet, "young")), (all, all));
    assert_eq!(uses(&fleet, "leaves"), 0);
    let evacuated = |context: &kingcuploft_entry::context::Context| {
        context.evacuations.borrow().is_evacuated("zone-1")
    };
    assert_eq!(but(&fleet, evacuated), 0);
    store.0.write_backend_server(server("young"));
    store.0.set_evacuated("zone-1", true);
    store.0.write_configuration(newest);
    tokio::time::sleep(SETTLED).await;
    store.0.remove_backend_server("leaves");
    tokio::time::sleep(KNOWN).await;
    assert_eq!((uses(&fleet, "old"), uses(&fleet, "young")), (all, all));
    assert_eq!((uses(&fleet, "leaves"), but(&fleet, evacuated)), (0, 0));
    let refused =
        |context: &kingcuploft_entry::context::Context| context.quarantine.borrow().is_refused(7);
    assert_eq!(but(&fleet, refused), 0);
    assert_eq!(
        store.0.notices.borrow().len(),
        1,
        "the report is in the store again"
    );
    let lists = store.0.list_calls.get() - lists;
    let records = store.0.zone_write_calls.get() - records;
    assert!(
        lists as usize <= 12 * zones.len() + 12,
        "{lists} lists by {all} VMs"
    );
    assert!(
        records as usize <= 2 * zones.len(),
        "{records} records by {all} VMs"
    );
    fleet.change_one();
    tokio::time::sleep(KNOWN).await;
    assert!(
        fleet.behind().is_empty(),
        "a change after the copy is in force"
    );
}

/// Guards against a configuration that goes back, servers that are lost or come back, and a rush of VMs at the store.
#[test]
fn vms_of_115_believe_what_was_accepted_when_the_store_comes_back_from_a_copy() {
    play(comes_back(&[29, 29, 29, 28]));
}

#[test]
fn vms_of_312_believe_what_was_accepted_when_the_store_comes_back_from_a_copy() {
    play(comes_back(&[52; 6]));
}

/// Guards against a VM that starts just after and serves by the older configuration that the store has.
#[test]
fn a_vm_that_starts_before_the_operator_writes_again_learns_the_configuration_of_the_others() {
    play(async {
        let mut fleet = Fleet::start(&[4, 4], LINKS, 100, 4).await;
        let copy = fleet.store.0.snapshot();
        fleet.change_one();
        tokio::time::sleep(KNOWN).await;
        fleet.store.0.rewind(copy);
        tokio::time::sleep(KNOWN).await;
        for at in 0..fleet.len() {
            fleet.power_off(at);
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.power_on(at, false);
            tokio::time::sleep(IN_TOUCH).await;
            assert!(fleet.behind().is_empty(), "after VM {at} has started");
        }
    });
}
