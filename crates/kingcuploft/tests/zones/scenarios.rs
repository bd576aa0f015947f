use std::time::Duration;

use crate::fleet::Fleet;

/// Six zones of fifty VMs.
const ZONES: [usize; 6] = [54, 56, 58, 45, 45, 54];

const SEEDS: std::ops::Range<u64> = 0..6;

fn settled(seed: u64) -> Fleet {
    let mut fleet = Fleet::start(seed, &ZONES);
    fleet.run(Duration::from_secs(8));
    fleet
}

/// Failure: at a first start hundreds of VMs call the store at once.
#[test]
fn a_fleet_that_starts_is_configured_with_few_store_calls() {
    for seed in SEEDS {
        let fleet = settled(seed);
        assert_eq!(
            fleet.uninformed(Duration::ZERO),
            Vec::<&_>::new(),
            "seed {seed}"
        );
        assert_eq!(fleet.readers(), 1, "seed {seed}");
        assert!(
            fleet.max_followers() <= 17,
            "seed {seed}: {}",
            fleet.max_followers()
        );
        assert!(fleet.calls <= 156.0, "seed {seed}: {} calls", fleet.calls);
    }
}

/// Failure: after a restart of all VMs they call the store at once or stay without configuration.
#[test]
fn a_fleet_that_restarts_is_configured_with_few_store_calls() {
    for seed in SEEDS {
        let mut fleet = settled(seed);
        let before = fleet.calls;
        fleet.restart(|_| true);
        fleet.run(Duration::from_millis(700));
        let uninformed = fleet.uninformed(Duration::from_millis(500));
        assert_eq!(uninformed, Vec::<&_>::new(), "seed {seed}");
        let calls = fleet.calls - before;
        assert!(calls <= 156.0, "seed {seed}: {calls} calls");
    }
}

/// Failure: the VMs that read for their zones stop at the same moment, and the configuration changes right after.
#[test]
fn vms_whose_readers_are_gone_get_a_change_within_two_seconds() {
    for seed in SEEDS {
        let mut fleet = settled(seed);
        for zone in 0..ZONES.len() {
            let leader = fleet.leader(zone).unwrap();
            fleet.vms[leader].up = false;
        }
        fleet.version += 1;
        fleet.run(Duration::from_secs(2));
        assert_eq!(fleet.behind(), Vec::<&_>::new(), "seed {seed}");
    }
}

/// Failure: zones take an older configuration, or stay behind, when a partition heals.
#[test]
fn zones_that_were_partitioned_off_catch_up_and_never_go_back() {
    for seed in SEEDS {
        let mut fleet = settled(seed);
        let cut = (seed as usize) % ZONES.len();
        for at in 0..fleet.vms.len() {
            if [cut, (cut + 3) % 6].contains(&fleet.zone_of(at)) {
                fleet.vms[at].group = 1;
            }
        }
        for _ in 0..3 {
            fleet.version += 1;
            fleet.run(Duration::from_secs(2));
            assert_eq!(fleet.behind(), Vec::<&_>::new(), "seed {seed}");
        }
        fleet.vms.iter_mut().for_each(|vm| vm.group = 0);
        fleet.run(Duration::from_secs(2));
        assert_eq!(fleet.behind(), Vec::<&_>::new(), "seed {seed}");
        fleet.run(Duration::from_secs(15));
        assert!(
            fleet.readers() <= 2,
            "seed {seed}: {} read",
            fleet.readers()
        );
    }
}

/// Load pattern: restarts, losses and partitions drawn by seed, one after the other, with a change of the configuration
/// after each.
#[test]
fn random_failures_leave_no_vm_behind_and_no_vm_goes_back() {
    for seed in 0..24 {
        let mut fleet = Fleet::start(seed, &[12, 30, 9]);
        fleet.run(Duration::from_secs(8));
        let mut rng = fastrand::Rng::with_seed(seed);
        while fleet.elapsed() < Duration::from_secs(40) {
            let which = rng.usize(0..51);
            match rng.u32(0..5) {
                0 => fleet.restart(|_| true),
                1 => {
                    let share = rng.usize(2..5);
                    fleet.restart(|at| at % share == which % share);
                }
                2 => fleet.vms[which].up = false,
                3 => fleet.vms[which].group = 1 + which as u32,
                _ => fleet.vms.iter_mut().for_each(|vm| vm.group = 0),
            }
            fleet.version += 1;
            fleet.run(Duration::from_millis(2000));
            assert_eq!(
                fleet.behind(),
                Vec::<&_>::new(),
                "seed {seed}, {:?}",
                fleet.elapsed()
            );
        }
    }
}
