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

/// Guards against a cut that spares servers which start while it lasts.
#[test]
fn a_vm_that_is_cut_off_reaches_no_server_that_starts_meanwhile() {
    const FIRST_SERVERS: usize = 30;
    let result = run_day(
        "deployment: 19-vms\nseed: 1\nlength_ms: 12000\ndisruptions:\n  \
         - {at_ms: 1000, kind: vms_cut_from_servers, share: 0.6, for_ms: 7000, how: new_silent}\n  \
         - {at_ms: 1500, kind: servers_start, share: 1.0}\n",
    );
    let cuts = result.history.cuts_from_servers.borrow();
    let arrivals = result.history.arrivals.borrow();
    let at_new = arrivals
        .iter()
        .filter(|arrival| arrival.server >= FIRST_SERVERS && cuts[0].vms.contains(&arrival.vm));
    let (during, after): (Vec<_>, Vec<_>) = at_new.partition(|arrival| arrival.at < cuts[0].until);
    assert_eq!(during.len(), 0);
    assert!(!after.is_empty());
}
