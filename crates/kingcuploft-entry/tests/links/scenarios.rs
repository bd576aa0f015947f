//! Configurations reach all VMs in time, over small links and past VMs, links and stores that fail.

use std::time::Duration;

use fastrand::Rng;
use kingcuploft::entry::vm_entry::VmEntry;

use crate::fleet::{Fleet, Links, simulate};

/// The most that an accepted configuration may take to be in force everywhere.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2500);

/// Four zones with 115 VMs together.
const ZONES: [usize; 4] = [30, 29, 30, 26];

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 10,
};

/// Guards against a configuration that is too large for small links to carry to all VMs in time.
#[test]
fn thousands_of_routes_and_one_changed_value_are_in_force_in_time() {
    for seed in 1..3 {
        simulate(async {
            let mut fleet = Fleet::start(&ZONES, LINKS, 19, seed).await;
            for _ in 0..3 {
                fleet.add_routes(1400);
                fleet.wait_until_in_force(APPLY_TIMEOUT).await;
                fleet.change_one_route();
                fleet.wait_until_in_force(APPLY_TIMEOUT).await;
            }
        });
    }
}

/// Guards against a feeder that is given up because its link is slow.
#[test]
fn a_feeder_whose_link_is_slow_is_not_taken_for_silent() {
    simulate(async {
        let mut fleet = Fleet::start(&ZONES, LINKS, 19, 1).await;
        fleet.add_routes(1400);
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.add_routes(1400);
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(fleet.silent_feeder_count(), 0);
    });
}

/// Guards against feeders that fail in the middle of a transfer.
#[test]
fn feeders_lost_frozen_or_cut_in_the_middle_of_a_transfer_keep_nobody_behind() {
    for seed in 0..6 {
        simulate(async {
            let mut fleet = Fleet::start(&ZONES, LINKS, 1419, seed).await;
            let mut rng = Rng::with_seed(seed);
            for _ in 0..3 {
                fleet.add_routes(700);
                tokio::time::sleep(Duration::from_millis(rng.u64(10..120))).await;
                let mut feeders = fleet.feeders();
                rng.shuffle(&mut feeders);
                let (lost, cut) = (feeders[0], feeders[1]);
                fleet.power_off(lost);
                fleet.set_link_cut(cut, true);
                fleet.wait_until_in_force(APPLY_TIMEOUT).await;
                fleet.power_on(lost, false);
                fleet.set_link_cut(cut, false);
                fleet.wait_until_in_force(APPLY_TIMEOUT).await;
                tokio::time::sleep(Duration::from_secs(8)).await;
            }
        });
    }
}

/// Guards against VMs that restart together, all of which need a whole snapshot.
#[test]
fn vms_that_restart_while_routes_are_added_have_them_in_force_in_time() {
    for seed in 0..4 {
        simulate(async {
            let mut fleet = Fleet::start(&ZONES, LINKS, 1419, seed).await;
            fleet.add_routes(1400);
            for at in (0..fleet.len()).filter(|at| at % 3 == 1) {
                fleet.power_off(at);
                fleet.power_on(at, false);
            }
            fleet.wait_until_in_force(APPLY_TIMEOUT).await;
            fleet.remove_routes(500);
            fleet.wait_until_in_force(APPLY_TIMEOUT).await;
        });
    }
}

/// Guards against a change that reaches hundreds of VMs late, or that costs one of them more than its share of
/// bandwidth.
#[test]
fn hundreds_of_vms_have_a_change_in_force_in_time_and_one_value_costs_little() {
    let zones = [54, 56, 58, 45, 45, 54];
    let links = Links {
        large_mbit: 200,
        small_mbit: 20,
    };
    simulate(async {
        let mut fleet = Fleet::start(&zones, links, 1419, 1).await;
        fleet.add_routes(1400);
        let (first, last) = fleet.wait_until_in_force(APPLY_TIMEOUT).await;
        assert!(last - first <= Duration::from_millis(1500));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = fleet.sent_bytes();
        fleet.change_one_route();
        let (first, last) = fleet.wait_until_in_force(APPLY_TIMEOUT).await;
        assert!(last - first <= Duration::from_millis(500));
        let sent = fleet.sent_bytes().into_iter().zip(before);
        let most = sent.map(|(after, before)| after - before).max();
        // A thirtieth of sending all routes to twelve followers.
        assert!(most < Some(100_000), "{most:?}");
    });
}

/// Guards against a VM that takes the store for unavailable, or its watch for lost, while a long answer arrives.
#[test]
fn a_configuration_that_takes_seconds_to_come_from_the_store_is_waited_for() {
    let links = Links {
        large_mbit: 10,
        small_mbit: 10,
    };
    simulate(async {
        let mut fleet = Fleet::start(&[1], links, 10_000, 1).await;
        fleet.wait_until_in_force(APPLY_TIMEOUT).await;
        fleet.add_routes(1400);
        fleet.wait_until_in_force(APPLY_TIMEOUT).await;
    });
}

/// Guards against heartbeats that cost a VM more bandwidth than it may spend on control.
#[test]
fn a_fleet_at_rest_sends_less_than_two_kilobytes_a_second_and_vm() {
    at_rest(Duration::ZERO);
}

/// Guards against VMs that measure time by another clock than their timers, and send each other as news what has
/// changed by time alone.
#[test]
fn a_fleet_at_rest_sends_no_more_on_a_slow_machine() {
    at_rest(Duration::from_millis(2100));
}

/// Checks what an idle fleet sends, after the machine that simulates it has stood still for so long.
fn at_rest(stands_still: Duration) {
    simulate(async {
        let fleet = Fleet::start(&ZONES, LINKS, 1419, 1).await;
        std::thread::sleep(stands_still);
        let before = fleet.sent_bytes();
        tokio::time::sleep(Duration::from_secs(10)).await;
        let sent = fleet.sent_bytes().into_iter().zip(before);
        let busiest = sent.map(|(after, before)| after - before).max();
        assert!(busiest <= Some(20_000), "{busiest:?} bytes in ten seconds");
    });
}

/// Guards against a zone that misses changes because the store turns away its reader and all VMs that its record names.
#[test]
fn a_zone_that_the_store_turns_away_gets_changes_from_another_zone() {
    for (seed, zone) in (0..6).zip(["zone-0", "zone-1", "zone-3"].iter().cycle()) {
        simulate(async {
            let mut fleet = Fleet::start(&ZONES, LINKS, 19, seed).await;
            for _ in 0..3 {
                fleet.reject_at_store(|vm| &*vm.zone == *zone);
                tokio::time::sleep(Duration::from_millis(500)).await;
                fleet.change_one_route();
                fleet.wait_until_in_force(APPLY_TIMEOUT).await;
                fleet.reject_at_store(|_| false);
                tokio::time::sleep(Duration::from_secs(3)).await;
                fleet.change_one_route();
                fleet.wait_until_in_force(APPLY_TIMEOUT).await;
            }
        });
    }
}

/// Guards against a zone whose leader stays with a reader that has lost the store, while another VM of the zone has it.
#[test]
fn zones_get_changes_where_the_store_turns_away_their_leaders() {
    for seed in 0..6 {
        simulate(async {
            let mut fleet = Fleet::start(&ZONES, LINKS, 19, seed).await;
            for _ in 0..3 {
                let named = fleet.vms_named_except_last();
                let is_first = |vm: &VmEntry| &*vm.zone == "zone-0" || named.contains(&vm.name);
                fleet.reject_at_store(is_first);
                tokio::time::sleep(Duration::from_millis(500)).await;
                fleet.change_one_route();
                fleet.wait_until_in_force(APPLY_TIMEOUT).await;
                fleet.reject_at_store(|_| false);
                tokio::time::sleep(Duration::from_secs(3)).await;
                fleet.change_one_route();
                fleet.wait_until_in_force(APPLY_TIMEOUT).await;
            }
        });
    }
}
