//! Runs every file of `scenarios/` with the virtual fleet. Its expectations must hold as written and must fail with the
//! mechanism under test switched off, which proves that the scenario depends on that mechanism.

use std::path::{Path, PathBuf};

use kingcuploft_standins::virtual_fleet::scenario::Scenario;

fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let entries = std::fs::read_dir(folder).expect("The folder exists.");
    let paths = entries.map(|entry| entry.expect("The entry is readable.").path());
    let mut scenario_files: Vec<PathBuf> = paths.collect();
    scenario_files.sort();
    scenario_files
}

/// Runs one scenario both ways and returns the expectations that are not met.
fn failures_of(path: &Path) -> Vec<String> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let text = std::fs::read_to_string(path).expect("The scenario is readable.");
    let scenario = match Scenario::read(&text) {
        Ok(scenario) => scenario,
        Err(error) => return vec![format!("{name}: {error}")],
    };
    let failed = scenario.run_as_written();
    let mut failures: Vec<String> = failed
        .iter()
        .map(|expectation| format!("{name}: {expectation}"))
        .collect();
    if scenario.run_switched_off().is_empty() {
        failures.push(format!("{name}: holds with its mechanism switched off"));
    }
    failures
}

#[test]
fn every_scenario_holds_and_fails_with_its_mechanism_switched_off() {
    let scenario_files = scenario_files();
    assert!(!scenario_files.is_empty());
    let threads = scenario_files.into_iter();
    let threads = threads.map(|path| std::thread::spawn(move || failures_of(&path)));
    let threads: Vec<_> = threads.collect();
    let failures = threads.into_iter().flat_map(|thread| {
        thread
            .join()
            .expect("The thread of the scenario does not panic.")
    });
    let failures: Vec<String> = failures.collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
