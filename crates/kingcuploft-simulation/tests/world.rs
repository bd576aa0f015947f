//! Runs of whole days, checked by what callers and servers observed.

use kingcuploft_simulation::day::Day;
use kingcuploft_simulation::rules;
use kingcuploft_simulation::simulation::{DayResult, run};

fn day(text: &str) -> Day {
    Day::read("test", text).unwrap_or_else(|error| panic!("{error}"))
}

fn run_day(text: &str) -> DayResult {
    run(&day(text)).unwrap_or_else(|error| panic!("{error}"))
}

fn broken(result: &DayResult) -> Vec<rules::BoundUsage> {
    let usages = rules::check(result).into_iter();
    usages.filter(rules::BoundUsage::is_broken).collect()
}

const CALM: &str = "deployment: 19-vms\nseed: 1\nlength_ms: 10000\ndisruptions: []\n";

#[test]
fn callers_of_a_calm_day_are_served_and_no_rule_is_broken() {
    let result = run_day(CALM);
    assert!(rules::answered_share(&result) > 0.99);
    assert_eq!(broken(&result), []);
}

#[test]
fn the_same_seed_gives_the_same_lines() {
    let (first, second) = (run_day(CALM), run_day(CALM));
    assert!(first.lines == second.lines && !first.lines.is_empty());
}

/// Guards against a VM that no other VM counts: it has handed its zone over to a larger one and follows the reader of
/// another zone.
#[test]
fn all_vms_are_counted_when_zones_have_been_handed_over() {
    for seed in 1..=5 {
        let text = CALM.replace("seed: 1", &format!("seed: {seed}"));
        assert_eq!(run_day(&text).known_vms, vec![Some(19); 19], "seed {seed}");
    }
}
