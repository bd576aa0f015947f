//! How soon all VMs know which zones are evacuated.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::{Fleet, Links, simulate};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 10,
};

/// The most that the propagation between VMs may take of the users' bound of five seconds; the rest is the store's.
const MAX_PROPAGATION: Duration = Duration::from_millis(1_500);

/// How often the VMs' state is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the VMs with power and a working link whose state of a zone differs.
fn vms_that_differ(fleet: &Fleet, zone: &str, is_evacuated: bool) -> Vec<usize> {
    let differs = |at: &usize| {
        let host = fleet.network.host(*at);
        host.is_some_and(|host| {
            let holds = host.context.evacuations.borrow().is_evacuated(zone);
            !host.nic.is_cut.get() && holds != is_evacuated
        })
    };
    (0..fleet.len()).filter(differs).collect()
}

async fn wait_until_known(fleet: &Fleet, zone: &str, is_evacuated: bool) -> Duration {
    let started_at = Instant::now();
    loop {
        let differing = vms_that_differ(fleet, zone, is_evacuated);
        if differing.is_empty() {
            return started_at.elapsed();
        }
        assert!(
            started_at.elapsed() < MAX_PROPAGATION,
            "{zone} {is_evacuated}: {differing:?} do not know"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn check_propagation(zones: &[usize]) {
    simulate(async {
        let fleet = Fleet::start(zones, LINKS, 100, 1).await;
        for _ in 0..2 {
            fleet.store.0.set_evacuated("zone-0", true);
            wait_until_known(&fleet, "zone-0", true).await;
            fleet.store.0.set_evacuated("zone-2", true);
            wait_until_known(&fleet, "zone-2", true).await;
            fleet.store.0.set_evacuated("zone-0", false);
            wait_until_known(&fleet, "zone-0", false).await;
            fleet.store.0.set_evacuated("zone-2", false);
            wait_until_known(&fleet, "zone-2", false).await;
        }
    });
}

#[test]
fn all_vms_of_115_know_which_zones_are_evacuated_and_taken_back() {
    check_propagation(&[29, 29, 29, 28]);
}

#[test]
fn all_vms_of_312_know_which_zones_are_evacuated_and_taken_back() {
    check_propagation(&[52; 6]);
}

/// Guards against an evacuation that a VM misses because it is cut off meanwhile, or starts later.
#[test]
fn a_vm_that_was_cut_off_or_starts_knows_at_once() {
    simulate(async {
        let fleet = Fleet::start(&[10, 10, 10], LINKS, 100, 2).await;
        for at in [0, 11, 25] {
            fleet.set_link_cut(at, true);
        }
        fleet.power_off(5);
        fleet.store.0.set_evacuated("zone-1", true);
        tokio::time::sleep(Duration::from_secs(3)).await;
        for at in [0, 11, 25] {
            fleet.set_link_cut(at, false);
        }
        fleet.power_on(5, false);
        tokio::time::sleep(Duration::from_secs(3)).await;
        wait_until_known(&fleet, "zone-1", true).await;
    });
}
