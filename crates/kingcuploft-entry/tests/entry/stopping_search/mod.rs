//! A seeded search in virtual time for requests that a planned stop cuts, or handles otherwise than promised.
//!
//! Each seed draws servers, callers of different habits and events around the stop. What servers ran is then compared with
//! what callers got.

mod answers;
mod callers;
mod check;
mod draw;
mod events;
mod history;
mod process;
mod requests;
mod scenario;
mod servers;

use std::collections::BTreeMap;

use kingcuploft_simulation::planted_fault::{self, PlantedFault};

use check::Violation;
use scenario::{Layout, Report};

/// The seeds that each run of the tests searches.
const SEEDS: std::ops::Range<u64> = 0..200;

/// The same, where several VMs are played for each seed.
const FLEET_SEEDS: std::ops::Range<u64> = 0..50;

/// The variables that name the first seed and the number of seeds of a longer search.
const FIRST_SEED: &str = "STOPPING_SEARCH_FIRST";
const SEED_COUNT: &str = "STOPPING_SEARCH_COUNT";

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn seeds(layout: Layout) -> std::ops::Range<u64> {
    let usual = match layout {
        Layout::Alone => SEEDS,
        Layout::CutOff => FLEET_SEEDS,
    };
    let first = variable(FIRST_SEED).unwrap_or(usual.start);
    let count = variable(SEED_COUNT).unwrap_or(usual.end - usual.start);
    first..first + count
}

/// The violations of which each has a test of its own in `stopping_cuts`.
const TESTED_ALONE: [Violation; 3] = [
    Violation::LostBehindWork,
    Violation::LostSentLate,
    Violation::Unannounced,
];

/// Plays these seeds; returns how often each violation was found, and its first report.
fn search(seeds: std::ops::Range<u64>, layout: Layout) -> BTreeMap<Violation, (usize, Report)> {
    let mut found = BTreeMap::new();
    for report in seeds.flat_map(|seed| scenario::play(seed, layout)) {
        let (count, _) = found.entry(report.violation).or_insert((0, report));
        *count += 1;
    }
    found
}

/// Searches for those violations that `is_sought` tells; fails if there are any.
fn check(layout: Layout, is_sought: impl Fn(Violation) -> bool) {
    let mut found = search(seeds(layout), layout);
    found.retain(|violation, _| is_sought(*violation));
    for (violation, (count, report)) in &found {
        println!("{violation:?} {count} times, first: {report}");
    }
    assert!(found.is_empty(), "{:?}", found.keys());
}

/// Guards against a planned stop that cuts requests that servers run, or handles them otherwise than promised.
#[test]
fn a_planned_stop_handles_requests_as_promised_whatever_callers_and_servers_do() {
    check(Layout::Alone, |violation| {
        !TESTED_ALONE.contains(&violation)
    });
}

/// Guards against the violations that have tests of their own, in other shapes than these tests have.
#[test]
fn a_planned_stop_keeps_all_answers_that_are_ready_and_says_what_it_did_not_read() {
    check(Layout::Alone, |violation| TESTED_ALONE.contains(&violation));
}

/// Guards against the same where VMs pass requests to others, and any of them stops.
#[test]
fn a_planned_stop_handles_requests_as_promised_where_vms_pass_them_on() {
    check(Layout::CutOff, |violation| {
        !TESTED_ALONE.contains(&violation)
    });
}

/// Guards against a search that finds nothing.
#[test]
fn the_search_finds_a_planted_stop_that_does_not_wait_for_requests() {
    for layout in [Layout::Alone, Layout::CutOff] {
        let play = || search(0..20, layout);
        let found = planted_fault::run_with(Some(PlantedFault::StopsAtOnce), play);
        let kinds: Vec<_> = found
            .iter()
            .map(|(kind, (count, _))| (kind, count))
            .collect();
        assert!(
            found.contains_key(&Violation::Lost),
            "{layout:?}: {kinds:?}"
        );
    }
}
