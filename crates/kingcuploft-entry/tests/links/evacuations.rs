//! Zones that are evacuated, and how soon all VMs know.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::{Fleet, Links, play};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 10,
};

/// The part of the users' bound that is not the store's: they allow five seconds.
const KNOWN_WITHIN: Duration = Duration::from_millis(1_500);

/// How often it is looked which VM knows what.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Returns the VMs with power and link that believe otherwise of a zone.
fn believe_otherwise(fleet: &Fleet, zone: &str, is_evacuated: bool) -> Vec<usize> {
    let differs = |at: &usize| {
        let host = fleet.network.host(*at);
        host.is_some_and(|host| {
            let holds = host.context.evacuations.borrow().is_evacuated(zone);
            !host.nic.is_cut.get() && holds != is_evacuated
        })
    };
    (0..fleet.len()).filter(differs).collect()
}

async fn known_to_all(fleet: &Fleet, zone: &str, is_evacuated: bool) -> Duration {
    let begun = Instant::now();
    loop {
        let others = believe_otherwise(fleet, zone, is_evacuated);
        if others.is_empty() {
            return begun.elapsed();
        }
        assert!(
            begun.elapsed() < KNOWN_WITHIN,
            "{zone} {is_evacuated}: {others:?} do not know"
        );
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

fn all_know(zones: &[usize]) {
    play(async {
        let fleet = Fleet::start(zones, LINKS, 100, 1).await;
        for _ in 0..2 {
            fleet.store.0.set_evacuated("zone-0", true);
            known_to_all(&fleet, "zone-0", true).await;
            fleet.store.0.set_evacuated("zone-2", true);
            known_to_all(&fleet, "zone-2", true).await;
            fleet.store.0.set_evacuated("zone-0", false);
            known_to_all(&fleet, "zone-0", false).await;
            fleet.store.0.set_evacuated("zone-2", false);
            known_to_all(&fleet, "zone-2", false).await;
        }
    });
}

#[test]
fn all_vms_of_115_know_which_zones_are_evacuated_and_taken_back() {
    all_know(&[29, 29, 29, 28]);
}

#[test]
fn all_vms_of_312_know_which_zones_are_evacuated_and_taken_back() {
    all_know(&[52; 6]);
}

/// Guards against an evacuation that a VM misses while its link is cut, or that starts meanwhile.
#[test]
fn a_vm_that_was_cut_off_or_starts_knows_at_once() {
    play(async {
        let fleet = Fleet::start(&[10, 10, 10], LINKS, 100, 2).await;
        for at in [0, 11, 25] {
            fleet.cut(at, true);
        }
        fleet.power_off(5);
        fleet.store.0.set_evacuated("zone-1", true);
        tokio::time::sleep(Duration::from_secs(3)).await;
        for at in [0, 11, 25] {
            fleet.cut(at, false);
        }
        fleet.power_on(5, false);
        tokio::time::sleep(Duration::from_secs(3)).await;
        known_to_all(&fleet, "zone-1", true).await;
    });
}
