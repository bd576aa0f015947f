use std::time::Duration;

use fastrand::Rng;
use kingcuploft::entry::vm_entry::VmEntry;

use crate::fleet::{Fleet, Links, play};

/// Within which time an accepted configuration has to be in force everywhere.
const APPLY: Duration = Duration::from_millis(2500);

/// Four zones of 115 VMs.
const ZONES: [usize; 4] = [30, 29, 30, 26];

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 10,
};

/// Guards against a configuration that small links can't carry to all VMs in time.
#[test]
fn routes_by_the_thousand_and_one_changed_value_are_in_force_in_time() {
    for seed in 1..3 {
        play(async {
            let mut fleet = Fleet::start(&ZONES, LINKS, 19, seed).await;
            for _ in 0..3 {
                fleet.add_routes(1400);
                fleet.in_force(APPLY).await;
                fleet.change_one();
                fleet.in_force(APPLY).await;
            }
        });
    }
}

/// Guards against a feeder that is left because its link is slow.
#[test]
fn a_feeder_whose_link_is_slow_is_not_taken_for_silent() {
    play(async {
        let mut fleet = Fleet::start(&ZONES, LINKS, 19, 1).await;
        fleet.add_routes(1400);
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet.add_routes(1400);
        tokio::time::sleep(Duration::from_secs(10)).await;
        assert_eq!(fleet.silent_feeders(), 0);
    });
}

/// Guards against feeders that are gone in the middle of a transfer.
#[test]
fn feeders_lost_frozen_or_cut_in_the_middle_of_a_transfer_keep_nobody_behind() {
    for seed in 0..6 {
        play(async {
            let mut fleet = Fleet::start(&ZONES, LINKS, 1419, seed).await;
            let mut rng = Rng::with_seed(seed);
            for _ in 0..3 {
                fleet.add_routes(700);
                tokio::time::sleep(Duration::from_millis(rng.u64(10..120))).await;
                let mut feeders = fleet.feeders();
                rng.shuffle(&mut feeders);
                let (lost, cut) = (feeders[0], feeders[1]);
                fleet.power_off(lost);
                fleet.cut(cut, true);
                fleet.in_force(APPLY).await;
                fleet.power_on(lost, false);
                fleet.cut(cut, false);
                fleet.in_force(APPLY).await;
                tokio::time::sleep(Duration::from_secs(8)).await;
            }
        });
    }
}

/// Guards against VMs that restart together and are all told everything.
#[test]
fn vms_that_restart_while_routes_are_added_know_them_in_time() {
    for seed in 0..4 {
        play(async {
            let mut fleet = Fleet::start(&ZONES, LINKS, 1419, seed).await;
            fleet.add_routes(1400);
            for at in (0..fleet.len()).filter(|at| at % 3 == 1) {
                fleet.power_off(at);
                fleet.power_on(at, false);
            }
            fleet.in_force(APPLY).await;
            fleet.remove_routes(500);
            fleet.in_force(APPLY).await;
        });
    }
}

/// Guards against a change that reaches hundreds of VMs late, or costs one of them more than its share.
#[test]
fn hundreds_of_vms_know_a_change_in_time_and_one_value_costs_little() {
    let zones = [54, 56, 58, 45, 45, 54];
    let links = Links {
        large_mbit: 200,
        small_mbit: 20,
    };
    play(async {
        let mut fleet = Fleet::start(&zones, links, 1419, 1).await;
        fleet.add_routes(1400);
        let (first, last) = fleet.in_force(APPLY).await;
        assert!(last - first <= Duration::from_millis(1500));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before = fleet.sent_bytes();
        fleet.change_one();
        let (first, last) = fleet.in_force(APPLY).await;
        assert!(last - first <= Duration::from_millis(500));
        let sent = fleet.sent_bytes().into_iter().zip(before);
        let most = sent.map(|(after, before)| after - before).max();
        // A thirtieth of telling all routes to twelve.
        assert!(most < Some(100_000), "{most:?}");
    });
}

/// Guards against a VM that takes the store for away, or its watch for lost, while a long answer arrives.
#[test]
fn a_configuration_that_takes_seconds_to_come_from_the_store_is_waited_for() {
    let links = Links {
        large_mbit: 10,
        small_mbit: 10,
    };
    play(async {
        let mut fleet = Fleet::start(&[1], links, 10_000, 1).await;
        fleet.in_force(APPLY).await;
        fleet.add_routes(1400);
        fleet.in_force(APPLY).await;
    });
}

/// Guards against heartbeats that cost a VM more than it may spend on control.
#[test]
fn a_fleet_at_rest_sends_less_than_two_kilobytes_a_second_and_vm() {
    at_rest(Duration::ZERO);
}

/// Guards against VMs that go by another clock than their timers, and tell each other what time alone has changed.
#[test]
fn a_fleet_at_rest_sends_no_more_on_a_slow_machine() {
    at_rest(Duration::from_millis(2100));
}

/// Looks at a fleet at rest, after the machine that plays it has stood still for so long.
fn at_rest(stands_still: Duration) {
    play(async {
        let fleet = Fleet::start(&ZONES, LINKS, 1419, 1).await;
        std::thread::sleep(stands_still);
        let before = fleet.sent_bytes();
        tokio::time::sleep(Duration::from_secs(10)).await;
        let sent = fleet.sent_bytes().into_iter().zip(before);
        let busiest = sent.map(|(after, before)| after - before).max();
        assert!(busiest <= Some(20_000), "{busiest:?} bytes in ten seconds");
    });
}

/// Guards against a zone that hears of no change where the store turns away its reader and all that the record names.
#[test]
fn a_zone_that_the_store_turns_away_hears_of_changes_from_another_zone() {
    for (seed, zone) in (0..6).zip(["zone-0", "zone-1", "zone-3"].iter().cycle()) {
        play(async {
            let mut fleet = Fleet::start(&ZONES, LINKS, 19, seed).await;
            for _ in 0..3 {
                fleet.turn_away(|vm| &*vm.zone == *zone);
                tokio::time::sleep(Duration::from_millis(500)).await;
                fleet.change_one();
                fleet.in_force(APPLY).await;
                fleet.turn_away(|_| false);
                tokio::time::sleep(Duration::from_secs(3)).await;
                fleet.change_one();
                fleet.in_force(APPLY).await;
            }
        });
    }
}

/// Guards against a zone whose leader stays with a reader that has lost the store, while another VM of the zone has it.
#[test]
fn zones_hear_of_changes_where_the_store_turns_away_those_that_lead_them() {
    for seed in 0..6 {
        play(async {
            let mut fleet = Fleet::start(&ZONES, LINKS, 19, seed).await;
            for _ in 0..3 {
                let named = fleet.named_but_last();
                let is_first = |vm: &VmEntry| &*vm.zone == "zone-0" || named.contains(&vm.name);
                fleet.turn_away(is_first);
                tokio::time::sleep(Duration::from_millis(500)).await;
                fleet.change_one();
                fleet.in_force(APPLY).await;
                fleet.turn_away(|_| false);
                tokio::time::sleep(Duration::from_secs(3)).await;
                fleet.change_one();
                fleet.in_force(APPLY).await;
            }
        });
    }
}
