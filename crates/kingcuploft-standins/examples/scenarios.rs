//! Runs each scenario file as written and with the tested part switched off, and prints the measured figures beside the
//! expected ranges: `scenarios FILE...`.

use kingcuploft_standins::virtual_fleet::run;
use kingcuploft_standins::virtual_fleet::scenario::Scenario;
use serde_json::Value;

fn main() -> Result<(), String> {
    for path in std::env::args().skip(1) {
        let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
        let scenario = Scenario::read(&text)?;
        let on = run(&scenario.build_run(&Value::Null));
        let off = run(&scenario.build_run(&scenario.switched_off));
        for expectation in &scenario.expect {
            println!(
                "| {path} | {:?} | {:?}..{:?} | {:.4} | {:.4} |",
                expectation.figure,
                expectation.at_least,
                expectation.at_most,
                expectation.measure(&on),
                expectation.measure(&off),
            );
        }
    }
    Ok(())
}
