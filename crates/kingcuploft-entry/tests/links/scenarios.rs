use std::time::Duration;

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
