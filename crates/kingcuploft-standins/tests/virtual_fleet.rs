//! Checks the simulated fleet: it is deterministic, and its ideal queue is an upper bound for every policy.

use std::time::Duration;

use kingcuploft_standins::virtual_fleet::deployment::DeploymentKind;
use kingcuploft_standins::virtual_fleet::outcome::End;
use kingcuploft_standins::virtual_fleet::policies::compare_policies;
use kingcuploft_standins::virtual_fleet::workload::Stream;
use kingcuploft_standins::virtual_fleet::{Deployment, Run, ideal, run};

/// How long callers send requests.
const DURATION: Duration = Duration::from_secs(3);

/// Draws a run of Teamway's deployment at this offered load.
fn at_load(load: f64) -> Run {
    let streams = [Stream {
        load,
        ..Stream::default()
    }];
    Run::new(Deployment::teamway(), &streams, DURATION, 5)
}

#[test]
fn every_request_ends_and_no_key_runs_twice() {
    let outcome = run(&at_load(0.6));
    assert!(outcome.records.len() > 3000);
    assert!(outcome.records.iter().all(|r| r.end != End::Lost));
    assert_eq!(outcome.duplicate_runs, 0);
}

#[test]
fn the_same_seed_gives_the_same_latencies() {
    let total_latency = |outcome: kingcuploft_standins::virtual_fleet::Outcome| {
        outcome.records.iter().map(|r| r.latency).sum::<Duration>()
    };
    assert_eq!(
        total_latency(run(&at_load(0.75))),
        total_latency(run(&at_load(0.75)))
    );
}

#[test]
fn the_ideal_queue_beats_adaptive_and_adaptive_beats_random() {
    let rows = compare_policies(DeploymentKind::Teamway, 0.75, DURATION, &[5]);
    let p99_ms = |policy| {
        let row = rows.iter().find(|row| row.policy == policy);
        row.map(|row| row.summary.p99_ms).expect("The policy ran.")
    };
    assert!(p99_ms("ideal") < p99_ms("adaptive"));
    assert!(p99_ms("adaptive") < p99_ms("random"));
}

#[test]
fn the_ideal_queue_never_works_more_than_its_slots_allow() {
    let outcome = ideal::run(&at_load(0.9));
    let work: Duration = outcome.records.iter().map(|r| r.work).sum();
    let last = outcome
        .records
        .iter()
        .map(|r| r.arrived_at + r.latency)
        .max();
    let last = last.expect("There are requests.").as_secs_f64();
    assert!(work.as_secs_f64() <= last * f64::from(outcome.slots));
}
