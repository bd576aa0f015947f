//! Prints a table of what callers receive under overload, with each part of admission control switched off in turn.
//!
//! `cargo run --release -p kingcuploft-standins --example admission_table [SEED]`

use std::time::Duration;

use kingcuploft::world::contract::Priority;
use kingcuploft_standins::virtual_fleet::outcome::{End, Outcome, Record, latency};
use kingcuploft_standins::virtual_fleet::scenario::with_changes;
use kingcuploft_standins::virtual_fleet::workload::Stream;
use kingcuploft_standins::virtual_fleet::{Deployment, Run, run};
use serde_json::{Value, json};

const DURATION: Duration = Duration::from_secs(5);

fn admission_variants() -> Vec<(&'static str, Value)> {
    let off = |part: &str| json!({"admission": {part: false}});
    vec![
        ("all on", Value::Null),
        ("fair_share off", off("fair_share")),
        ("deadline_aware off", off("deadline_aware")),
        ("priorities off", off("priorities")),
        (
            "concurrency.adaptive off",
            json!({"concurrency": {"adaptive": false}}),
        ),
    ]
}

fn load_patterns() -> Vec<(&'static str, Vec<Stream>)> {
    let all = |load| Stream {
        load,
        ..Stream::default()
    };
    let hot = Stream {
        load: 2.0,
        caller: "hot".into(),
        callers: 1,
        ..Stream::default()
    };
    vec![
        ("0.75", vec![all(0.75)]),
        ("1.5", vec![all(1.5)]),
        ("3", vec![all(3.0)]),
        ("0.6 + hot 2.0", vec![all(0.6), hot]),
    ]
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok());
    let seed = seed.unwrap_or(5);
    println!(
        "| load | variant | goodput | in time | protected | background | others of hot | late | p50 ms | p99 ms | refusal p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for (load, streams) in load_patterns() {
        for (variant, settings) in admission_variants() {
            let mut deployment = Deployment::teamway();
            let policy = &mut deployment.service.policy;
            *policy = with_changes(policy, &settings);
            let outcome = run(&Run::new(deployment, &streams, DURATION, seed));
            println!("| {load} | {variant} | {} |", row(&outcome));
        }
    }
}

fn row(outcome: &Outcome) -> String {
    let all = outcome.summary(|_| true);
    let share = |keep: &dyn Fn(&Record) -> bool| {
        let kept: Vec<&Record> = outcome.records.iter().filter(|r| keep(r)).collect();
        let in_time = kept.iter().filter(|r| r.within_deadline()).count();
        in_time as f64 / kept.len().max(1) as f64
    };
    let refused = outcome.records.iter();
    let refused = refused.filter(|r| matches!(r.end, End::Refused(..)));
    let refused = latency(refused.map(|r| r.latency));
    let in_run = outcome.records.iter();
    let in_run =
        in_run.filter(|r| r.within_deadline() && r.arrived_at + r.latency <= outcome.duration);
    let work: Duration = in_run.map(|r| r.work).sum();
    let figures = [
        work.as_secs_f64() / (outcome.duration.as_secs_f64() * f64::from(outcome.slots)),
        share(&|_| true),
        share(&|r| r.priority == Priority::Protected),
        share(&|r| r.priority == Priority::Background),
        share(&|r| !r.caller.starts_with("hot")),
        all.late as f64 / outcome.records.len() as f64,
    ];
    let mut cells: Vec<String> = figures.iter().map(|f| format!("{f:.3}")).collect();
    let refusal_p99_ms = refused.value_at_quantile(0.99) as f64 / 1000.0;
    cells.extend([all.p50_ms, all.p99_ms, refusal_p99_ms].map(|ms| format!("{ms:.1}")));
    cells.join(" | ") + &format!(" | {:?}", all.refused)
}
