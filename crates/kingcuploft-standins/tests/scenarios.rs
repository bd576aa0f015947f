//! Plays every file of `scenarios/`: as it stands it must hold, and with its part switched off it
//! must not.

use std::path::{Path, PathBuf};

use kingcuploft_standins::virtual_fleet::scenario::Scenario;

fn files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let entries = std::fs::read_dir(folder).expect("The folder is there.");
    let paths = entries.map(|entry| entry.expect("An entry can be read.").path());
    let mut files: Vec<PathBuf> = paths.collect();
    files.sort();
    files
}

/// Returns what is wrong with one scenario.
fn faults(path: &Path) -> Vec<String> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let text = std::fs::read_to_string(path).expect("The scenario can be read.");
    let scenario = match Scenario::read(&text) {
        Ok(scenario) => scenario,
        Err(error) => return vec![format!("{name}: {error}")],
    };
    let missed = scenario.run_as_written();
    let mut faults: Vec<String> = missed.iter().map(|m| format!("{name}: {m}")).collect();
    if scenario.run_switched_off().is_empty() {
        faults.push(format!("{name}: holds with its part switched off"));
    }
    faults
}

#[test]
fn every_scenario_holds_and_fails_with_its_part_switched_off() {
    let files = files();
    assert!(!files.is_empty());
    let plays = files.into_iter();
    let plays = plays.map(|path| std::thread::spawn(move || faults(&path)));
    let plays: Vec<_> = plays.collect();
    let faults = plays
        .into_iter()
        .flat_map(|play| play.join().expect("A play ends."));
    let faults: Vec<String> = faults.collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
