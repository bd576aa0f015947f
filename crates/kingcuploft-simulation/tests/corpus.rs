//! Days from past searches: those that came nearest to a bound, and those that show a planted fault.

use std::path::{Path, PathBuf};

use kingcuploft_simulation::day::Day;
use kingcuploft_simulation::planted_fault::{self, PlantedFault};
use kingcuploft_simulation::rules::{BoundUsage, Rule};
use kingcuploft_simulation::search::check_day;

fn days(folder: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("days")
        .join(folder);
    let files = std::fs::read_dir(folder).expect("the folder is there");
    let mut files: Vec<_> = files.map(|file| file.expect("a file").path()).collect();
    files.retain(|file| file.extension().is_some_and(|end| end == "yaml"));
    files.sort();
    files
}

fn broken(file: &Path, planted: Option<PlantedFault>) -> Vec<BoundUsage> {
    broken_with(file, 0, planted)
}

/// Runs a day with its seed raised by `seed_offset` and returns the rules that it breaks.
fn broken_with(file: &Path, seed_offset: u64, planted: Option<PlantedFault>) -> Vec<BoundUsage> {
    let text = std::fs::read_to_string(file).expect("a day");
    let mut day = Day::read(&file.display().to_string(), &text).expect("a day");
    day.seed += seed_offset;
    let usages = planted_fault::run_with(planted, || check_day(&day)).expect("the day can be run");
    usages.into_iter().filter(BoundUsage::is_broken).collect()
}

#[test]
fn the_nearest_days_break_no_rule() {
    let near = days("near");
    assert!(near.len() >= 8);
    for day in near.iter().chain(&days(".")) {
        assert_eq!(broken(day, None), [], "{}", day.display());
    }
}

#[test]
fn each_planted_fault_breaks_a_rule_on_its_day_and_nothing_breaks_without_it() {
    for fault in PlantedFault::ALL {
        let name = format!("{fault:?}");
        let file = days("planted").into_iter();
        let mut file = file.filter(|file| file.file_stem().is_some_and(|stem| *stem == *name));
        let file = file.next().unwrap_or_else(|| panic!("no day shows {name}"));
        assert!(
            !broken(&file, Some(fault)).is_empty(),
            "{name} is not found"
        );
        assert_eq!(broken(&file, None), [], "{name}");
    }
}

/// Guards against a VM that restarts and counts its share of a fleet-wide bound from zero.
#[test]
fn vms_killed_while_servers_refuse_exceed_the_repeat_budget_only_if_they_forget() {
    let file = days(".").into_iter();
    let mut file = file.filter(|file| file.ends_with("killed-twice-while-servers-refuse.yaml"));
    let file = file.next().expect("the day");
    assert_eq!(broken(&file, None), []);
    assert!(!broken(&file, Some(PlantedFault::ForgetsRepeats)).is_empty());
}

/// Guards against a watch that is cut and passes for an outage of the store when it is answered again.
#[test]
fn servers_removed_after_a_cut_watch_get_late_requests_only_if_it_passes_for_an_outage() {
    let file = days(".").into_iter();
    let mut file = file.filter(|file| file.ends_with("watch-cut-before-servers-are-removed.yaml"));
    let file = file.next().expect("the day");
    assert_eq!(broken(&file, None), []);
    let broken = broken(&file, Some(PlantedFault::MistakesOutages));
    assert!(broken.iter().any(|usage| usage.rule == Rule::Draining));
}
