//! Compares the selection policies in the virtual fleet and prints their figures as means over the seeds:
//! `policies [teamway|bern] [load] [seconds] [seeds] [settings as JSON ...]`.
//!
//! Each JSON argument adds a variant with these settings, such as `{"notes":{"bytes_per_second":1800}}`.

use std::time::Duration;

use kingcuploft_standins::virtual_fleet::deployment::DeploymentKind;
use kingcuploft_standins::virtual_fleet::outcome::Summary;
use kingcuploft_standins::virtual_fleet::policies::{
    ComparisonSettings, Row, Variant, compare_variants,
};

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize, default: f64| {
        let arg = args.get(i);
        arg.and_then(|arg| arg.parse().ok()).unwrap_or(default)
    };
    let trial = ComparisonSettings {
        kind: match args.first().map(String::as_str) {
            Some("bern") => DeploymentKind::Bern,
            _ => DeploymentKind::Teamway,
        },
        load: number(1, 0.75),
        duration: Duration::from_secs_f64(number(2, 20.0)),
    };
    let seeds: Vec<u64> = (1..=number(3, 3.0) as u64).collect();
    let mut variants = Variant::policies();
    variants.extend(args.iter().skip(4).map(|json| Variant {
        name: json.clone(),
        settings: serde_json::from_str(json).ok(),
    }));
    let rows = compare_variants(trial, &variants, &seeds);
    println!(
        "  p50_ms   p99_ms  p999_ms answered late failed refused probe_share notes_b/s policy"
    );
    for variant in &variants {
        let rows: Vec<&Row> = rows.iter().filter(|r| r.policy == variant.name).collect();
        let mean = |figure: &dyn Fn(&Summary) -> f64| {
            rows.iter().map(|row| figure(&row.summary)).sum::<f64>() / rows.len() as f64
        };
        println!(
            "{:8.2} {:8.2} {:8.2} {:8.0} {:4.0} {:6.0} {:7.0} {:11.5} {:9.0} {}",
            mean(&|s| s.p50_ms),
            mean(&|s| s.p99_ms),
            mean(&|s| s.p999_ms),
            mean(&|s| s.answered as f64),
            mean(&|s| s.late as f64),
            mean(&|s| s.failed as f64),
            mean(&|s| s.refused.values().sum::<u64>() as f64),
            mean(&|s| s.probe_share),
            mean(&|s| s.notes_bytes_per_second_per_node),
            variant.name,
        );
    }
}
