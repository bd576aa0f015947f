//! Prints a table of the latency and the extra calls without and with hedged requests, at several loads.
//!
//! `cargo run --release -p kingcuploft-standins --example hedge_table`

use std::time::Duration;

use kingcuploft_standins::virtual_fleet::scenario::with_changes;
use kingcuploft_standins::virtual_fleet::workload::Stream;
use kingcuploft_standins::virtual_fleet::{Deployment, Run, run};
use serde_json::json;

const DURATION: Duration = Duration::from_secs(10);

const SEEDS: [u64; 3] = [5, 7, 11];

fn main() {
    println!(
        "| load | hedges | p50 ms | p99 ms | p99.9 ms | hedges over requests | calls over requests |"
    );
    println!("|---|---|---|---|---|---|---|");
    for load in [0.25, 0.5, 0.75, 0.9] {
        for (name, budget_share, late) in [
            ("none", 0.0, false),
            ("slow spells, 2%", 0.02, false),
            ("late too, 2%", 0.02, true),
        ] {
            let rows = SEEDS.map(|seed| figures(load, budget_share, late, seed));
            let mean = |i: usize| rows.iter().map(|row| row[i]).sum::<f64>() / rows.len() as f64;
            println!(
                "| {load} | {name} | {:.1} | {:.1} | {:.1} | {:.4} | {:.4} |",
                mean(0),
                mean(1),
                mean(2),
                mean(3),
                mean(4),
            );
        }
    }
}

fn figures(load: f64, budget_share: f64, late: bool, seed: u64) -> [f64; 5] {
    let mut deployment = Deployment::teamway();
    let policy = &mut deployment.service.policy;
    *policy = with_changes(
        policy,
        &json!({"hedge": {"budget_share": budget_share, "late": late}}),
    );
    let streams = [Stream {
        load,
        ..Stream::default()
    }];
    let outcome = run(&Run::new(deployment, &streams, DURATION, seed));
    let summary = outcome.summary(|_| true);
    [
        summary.p50_ms,
        summary.p99_ms,
        summary.p999_ms,
        summary.hedge_share,
        outcome.cost.calls as f64 / outcome.records.len() as f64,
    ]
}
