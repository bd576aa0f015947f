//! Prints the experiment `policies`: `policies [teamway|bern] [load] [seconds] [seeds]`.

use std::time::Duration;

use kingcuploft_standins::virtual_fleet::deployment::Place;
use kingcuploft_standins::virtual_fleet::policies::policies;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number =
        |i: usize, default: f64| args.get(i).and_then(|a| a.parse().ok()).unwrap_or(default);
    let place = match args.first().map(String::as_str) {
        Some("bern") => Place::Bern,
        _ => Place::Teamway,
    };
    let duration = Duration::from_secs_f64(number(2, 20.0));
    let seeds: Vec<u64> = (1..=number(3, 3.0) as u64).collect();
    println!(
        "policy seed p50_ms p99_ms p999_ms answered late failed refused probe hedge notes_bps"
    );
    for row in policies(place, number(1, 0.75), duration, &seeds) {
        let s = &row.summary;
        println!(
            "{} {} {:.1} {:.1} {:.1} {} {} {} {:?} {:.4} {:.4} {:.0}",
            row.policy,
            row.seed,
            s.p50_ms,
            s.p99_ms,
            s.p999_ms,
            s.answered,
            s.late,
            s.failed,
            s.refused,
            s.probe_share,
            s.hedge_share,
            s.notes_bytes_per_second_per_node,
        );
    }
}
