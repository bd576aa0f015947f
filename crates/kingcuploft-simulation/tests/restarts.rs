//! VMs that start again while the store's lists fail, judged by when they are ready.

use kingcuploft_simulation::day::Day;
use kingcuploft_simulation::rules::{self, BoundUsage, Rule};
use kingcuploft_simulation::simulation::{DayResult, run_unlogged};

/// One VM of a zone keeps what the store held; the others of the zone start again.
const ZONE_KILLED: &str = "deployment: 13-vms\nlength_ms: 10000\ndisruptions:\n  \
    - {at_ms: 1000, kind: store_pages, strength: 1.0, for_ms: 60000}\n  \
    - {at_ms: 1000, kind: foreign_entries, strength: 5.0}\n  \
    - {at_ms: 3000, kind: zone_killed, share: 0.8, for_ms: 1000}\n";

fn run(text: &str, seed: u64, lists: &str) -> DayResult {
    let text = format!("{text}{lists}seed: {seed}\n");
    let day = Day::read("test", &text).unwrap_or_else(|error| panic!("{error}"));
    run_unlogged(&day).unwrap_or_else(|error| panic!("{error}"))
}

fn usage(result: &DayResult) -> BoundUsage {
    let usages = rules::check(result).into_iter();
    let mut of_rule = usages.filter(|usage| usage.rule == Rule::RestartedVmsServe);
    of_rule.next().expect("the rule")
}

#[test]
fn vms_that_are_killed_start_again_and_list_what_the_store_holds_in_pages() {
    for seed in 1..=8 {
        let result = run(ZONE_KILLED, seed, "");
        let restarts = rules::restarts(&result);
        assert!(restarts.starts >= 2, "seed {seed}: {restarts:?}");
        assert_eq!(restarts.ready, restarts.starts, "seed {seed}");
        assert!(!usage(&result).is_broken(), "seed {seed}");
    }
}

/// Guards against VMs of a zone that wait for one that lacks the same list, while VMs that hold it are not asked.
#[test]
fn vms_killed_while_lists_are_refused_are_fed_by_vms_that_were_not() {
    for collection in ["configuration", "backend_servers", "evacuations"] {
        let lists = format!(
            "  - {{at_ms: 2000, kind: store_fails_lists, collection: {collection}, for_ms: 60000}}\n"
        );
        for seed in 1..=8 {
            let usage = usage(&run(ZONE_KILLED, seed, &lists));
            assert!(!usage.is_broken(), "{collection}, seed {seed}: {usage:?}");
        }
    }
}

/// Guards against a rule that asks for what no VM of the fleet can know.
#[test]
fn a_fleet_of_which_nobody_is_left_is_not_expected_to_serve() {
    let all_killed = ZONE_KILLED.replace("zone_killed, share: 0.8", "vms_killed, share: 1.0");
    let lists =
        "  - {at_ms: 2000, kind: store_fails_lists, collection: backend_servers, for_ms: 60000}\n";
    let result = run(&all_killed, 1, lists);
    assert_eq!(rules::restarts(&result).ready, 0);
    assert!(!usage(&result).is_broken());
}
