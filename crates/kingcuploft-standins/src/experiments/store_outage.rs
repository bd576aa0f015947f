//! `store_outage`: how fast protected actions are refused while the store is down, how soon they are served after it
//! recovers, and the peak rate of store calls then.
//!
//! Failure: the store answers 503, closes connections, or accepts calls and never answers. The peak after recovery shows
//! whether all VMs call the store at the same time (a thundering herd).

use std::time::{Duration, Instant};

use kingcuploft::settings::claim::ClaimSettings;
use serde::Serialize;
use tokio::runtime::Runtime;

use super::claims::ledger_vm::LedgerVm;
use super::claims::{DecidedClaim, VM_COUNT, settings};
use super::{ExperimentError, Options, Report};
use crate::load::arrivals;
use crate::platform::{Outage, Platform};

/// The rate, in actions a second over all VMs.
const ACTIONS_PER_S: f64 = 100.0;

/// How long the store is up before and after the outage.
const STORE_UP_TIME: Duration = Duration::from_secs(2);

/// The time of one call to the platform.
const STORE_CALL_TIME: Duration = Duration::from_millis(2);

/// The window in which calls are counted for the peak rate.
const PEAK_WINDOW: Duration = Duration::from_millis(100);

/// The time after the store's recovery within which a claim must be held again, in ms.
const MAX_RECOVERY_MS: f64 = 1000.0;

/// The figures of one kind of outage.
#[derive(Debug, Serialize)]
struct Row {
    outage: &'static str,
    seconds: f64,
    actions_in_outage: usize,
    held_in_outage: usize,
    refusal_p50_ms: f64,
    refusal_p99_ms: f64,
    refusal_max_ms: f64,
    calls_per_s_before: f64,
    calls_per_s_in_outage: f64,
    calls_per_s_after: f64,
    peak_calls_per_s_after: f64,
    first_held_ms: f64,
    last_vm_held_ms: f64,
}

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] if a stand-in did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let outages = [
        ("answers 503", Outage::Unavailable),
        ("closes connections", Outage::Closed),
        ("is silent", Outage::Silence),
    ];
    let mut rows = Vec::new();
    for (name, outage) in outages {
        rows.push(measure(options, name, outage)?);
    }
    let late = rows
        .iter()
        .filter(|row| row.first_held_ms > MAX_RECOVERY_MS);
    Ok(Report {
        text: format!("{rows:#?}"),
        figures: serde_json::to_value(&rows)?,
        violations: late
            .map(|row| {
                format!(
                    "the store {}: back after {} ms",
                    row.outage, row.first_held_ms
                )
            })
            .collect(),
    })
}

/// A time, and the number of calls that the platform had counted by then.
type Sample = (Instant, u64);

fn measure(options: &Options, name: &'static str, outage: Outage) -> Result<Row, ExperimentError> {
    let runtime = Runtime::new()?;
    let platform = Platform::start(&runtime)?;
    platform.change_faults(|faults| faults.delay = STORE_CALL_TIME);
    let settings = settings(&platform, ClaimSettings::default())?;
    let vm = |i| LedgerVm::start(settings.clone(), i);
    let vms: Vec<LedgerVm> = (0..VM_COUNT).map(vm).collect();
    std::thread::sleep(Duration::from_millis(300));
    let began = Instant::now();
    let down = began + STORE_UP_TIME;
    let back = down + options.duration;
    let mut samples = Vec::new();
    run_load(options, &platform, &vms, outage, &mut samples);
    let decided: Vec<Vec<DecidedClaim>> = vms.into_iter().map(|vm| vm.finish().decided).collect();
    Ok(figures(name, &decided, &samples, down, back))
}

/// Claims actions at a steady mean rate while the store is up, down and up again.
fn run_load(
    options: &Options,
    platform: &Platform,
    vms: &[LedgerVm],
    outage: Outage,
    samples: &mut Vec<Sample>,
) {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let began = Instant::now();
    let down = began + STORE_UP_TIME;
    let back = down + options.duration;
    let mut is_down = false;
    let due = arrivals(
        &mut rng,
        ACTIONS_PER_S,
        STORE_UP_TIME * 2 + options.duration,
    );
    for (action, at) in due.iter().enumerate() {
        let at = began + *at;
        while Instant::now() < at {
            let now = Instant::now();
            let should_be_down = now >= down && now < back;
            if should_be_down != is_down {
                is_down = should_be_down;
                platform.change_faults(|faults| faults.outage = is_down.then_some(outage));
            }
            samples.push((now, platform.calls().all()));
            std::thread::sleep((at - now).min(Duration::from_millis(5)));
        }
        vms[rng.usize(0..vms.len())].claim(action as u64);
    }
}

fn figures(
    outage: &'static str,
    decided: &[Vec<DecidedClaim>],
    samples: &[Sample],
    down: Instant,
    back: Instant,
) -> Row {
    let all = decided.iter().flatten();
    let in_outage: Vec<&DecidedClaim> = all
        .filter(|claim| claim.began > down && claim.began + claim.latency < back)
        .collect();
    let refused = in_outage.iter().filter(|claim| !claim.held);
    let mut refused_ms: Vec<f64> = refused
        .map(|claim| claim.latency.as_secs_f64() * 1000.0)
        .collect();
    refused_ms.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = (refused_ms.len().saturating_sub(1) as f64 * share) as usize;
        refused_ms.get(index).copied().unwrap_or_default()
    };
    let first_held = decided.iter().filter_map(|vm| {
        let held = vm.iter().filter(|claim| claim.held);
        let ends = held.map(|claim| claim.began + claim.latency);
        let after = ends.filter(|end| *end > back).min()?;
        Some((after - back).as_secs_f64() * 1000.0)
    });
    let first_held: Vec<f64> = first_held.collect();
    let after_end = back + STORE_UP_TIME;
    Row {
        outage,
        seconds: (back - down).as_secs_f64(),
        actions_in_outage: in_outage.len(),
        held_in_outage: in_outage.iter().filter(|claim| claim.held).count(),
        refusal_p50_ms: at(0.5),
        refusal_p99_ms: at(0.99),
        refusal_max_ms: at(1.0),
        calls_per_s_before: rate(samples, down - STORE_UP_TIME, down),
        calls_per_s_in_outage: rate(samples, down + Duration::from_secs(1), back),
        calls_per_s_after: rate(samples, back, after_end),
        peak_calls_per_s_after: peak(samples, back),
        first_held_ms: first_held.iter().copied().fold(f64::MAX, f64::min),
        last_vm_held_ms: first_held.iter().copied().fold(0.0, f64::max),
    }
}

fn rate(samples: &[Sample], from: Instant, to: Instant) -> f64 {
    let within = samples.iter().filter(|(at, _)| *at >= from && *at < to);
    let within: Vec<&Sample> = within.collect();
    match (within.first(), within.last()) {
        (Some((first, before)), Some((last, after))) if last > first => {
            (after - before) as f64 / (*last - *first).as_secs_f64()
        }
        _ => 0.0,
    }
}

/// Returns the greatest number of calls in any window after the store's recovery, as a rate.
fn peak(samples: &[Sample], back: Instant) -> f64 {
    let after: Vec<&Sample> = samples.iter().filter(|(at, _)| *at >= back).collect();
    let peaks = after.iter().map(|(at, calls)| {
        let end = after.iter().rfind(|(end, _)| *end <= *at + PEAK_WINDOW);
        end.map_or(0, |(_, later)| later - calls)
    });
    peaks.max().unwrap_or_default() as f64 / PEAK_WINDOW.as_secs_f64()
}
