//! `claims`: the store writes and the added latency of a protected action, by ledger layout and by rate.
//!
//! Each VM runs the daemon's real claims task with a platform client of its own over loopback HTTP, and receives claims
//! as the dispatcher would send them. The action itself takes 10 ms. The baseline writes an object for each action, two
//! writes each, with sixteen concurrent calls on each VM.

pub(super) mod ledger_vm;
mod per_action;

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use kingcuploft::settings::claim::ClaimSettings;
use kingcuploftd::settings::Settings;
use serde::Serialize;
use tokio::runtime::Runtime;

use self::ledger_vm::LedgerVm;
use self::per_action::PerActionVm;
use super::{ExperimentError, Options, Report};
use crate::load::arrivals;
use crate::platform::Platform;

/// The number of VMs that claim actions.
pub(super) const VM_COUNT: usize = 14;

/// The mean rates that are measured, over all VMs.
const ACTIONS_PER_S: [f64; 4] = [10.0, 100.0, 400.0, 1000.0];

/// The time of one call to the platform.
const STORE_CALL_TIME: Duration = Duration::from_millis(2);

/// How long the load runs before the measurement starts.
const WARM_UP_TIME: Duration = Duration::from_secs(3);

/// The work time of one action at its backend server.
const ACTION_TIME: Duration = Duration::from_millis(10);

/// Which VM writes a claim, and into what object.
#[derive(Clone, Copy, Debug)]
enum WriteStrategy {
    /// The VM that received the action writes an object for each action.
    PerAction,
    /// Any VM writes to the ledger.
    AnyVm {
        partitions: u16,
        linger_ms: u64,
        /// The write rate that all VMs together aim for.
        target_writes_per_s: u64,
    },
    /// One VM writes to each partition of the ledger, as if its peers forwarded claims to it at no cost.
    OneWriter {
        partitions: u16,
        linger_ms: u64,
        /// The write rate that all VMs together aim for.
        target_writes_per_s: u64,
    },
}

const STRATEGIES: [(&str, WriteStrategy); 8] = [
    ("object per action", WriteStrategy::PerAction),
    (
        "any VM, 16 partitions, no aim",
        any_vm(16, 3, UNLIMITED_WRITES),
    ),
    (
        "any VM, 1 partition, no aim",
        any_vm(1, 3, UNLIMITED_WRITES),
    ),
    ("any VM, 1 partition, aim 200 writes/s", any_vm(1, 3, 200)),
    ("any VM, 1 partition, aim 90 writes/s", any_vm(1, 3, 90)),
    ("any VM, 1 partition, aim 45 writes/s", any_vm(1, 3, 45)),
    (
        "one writer, 1 partition, aim 45 writes/s",
        one_writer(1, 3, 45),
    ),
    (
        "one writer, 4 partitions, aim 45 writes/s",
        one_writer(4, 3, 45),
    ),
];

/// A target that the writes never reach.
const UNLIMITED_WRITES: u64 = 1_000_000;

const fn any_vm(partitions: u16, linger_ms: u64, target_writes_per_s: u64) -> WriteStrategy {
    WriteStrategy::AnyVm {
        partitions,
        linger_ms,
        target_writes_per_s,
    }
}

const fn one_writer(partitions: u16, linger_ms: u64, target_writes_per_s: u64) -> WriteStrategy {
    WriteStrategy::OneWriter {
        partitions,
        linger_ms,
        target_writes_per_s,
    }
}

/// One decided claim: when it was made, how long the decision took, and whether it is held.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecidedClaim {
    pub(super) began: Instant,
    pub(super) latency: Duration,
    pub(super) held: bool,
}

/// The decided claims of one VM, and the counts and latencies of those that are measured.
#[derive(Debug)]
pub(super) struct ClaimResults {
    latency_us: Histogram<u64>,
    held: u64,
    refused: u64,
    pub(super) decided: Vec<DecidedClaim>,
}

impl Default for ClaimResults {
    fn default() -> Self {
        Self {
            latency_us: Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit"),
            held: 0,
            refused: 0,
            decided: Vec::new(),
        }
    }
}

impl ClaimResults {
    fn add(&mut self, began: Instant, held: bool) {
        let latency = began.elapsed();
        self.decided.push(DecidedClaim {
            began,
            latency,
            held,
        });
    }

    fn count(&mut self, claim: DecidedClaim) {
        match claim.held {
            true => {
                self.held += 1;
                let us = claim.latency.as_micros() as u64;
                self.latency_us.saturating_record(us);
            }
            false => self.refused += 1,
        }
    }
}

/// One line of the table.
#[derive(Debug, Serialize)]
struct Row {
    way: &'static str,
    actions_per_s: f64,
    actions: u64,
    refused: u64,
    writes_per_s: f64,
    writes_per_action: f64,
    conflicts_per_action: f64,
    reads_per_s: f64,
    p50_ms: f64,
    p99_ms: f64,
}

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] if a stand-in did not start.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let mut rows = Vec::new();
    for rate in ACTIONS_PER_S {
        for (name, strategy) in STRATEGIES {
            rows.push(measure(options, name, strategy, rate)?);
        }
    }
    Ok(Report {
        text: table(&rows),
        figures: serde_json::to_value(&rows)?,
        violations: Vec::new(),
    })
}

/// A VM that claims actions by one of the write strategies.
enum ClaimVm {
    Ledger(LedgerVm),
    PerAction(PerActionVm),
}

impl ClaimVm {
    fn claim(&self, action: u64) {
        match self {
            Self::Ledger(vm) => vm.claim(action),
            Self::PerAction(vm) => vm.claim(action),
        }
    }

    fn finish(self) -> ClaimResults {
        match self {
            Self::Ledger(vm) => vm.finish(),
            Self::PerAction(vm) => vm.finish(),
        }
    }
}

fn measure(
    options: &Options,
    name: &'static str,
    strategy: WriteStrategy,
    rate: f64,
) -> Result<Row, ExperimentError> {
    let runtime = Runtime::new()?;
    let platform = Platform::start(&runtime)?;
    platform.change_faults(|faults| faults.delay = STORE_CALL_TIME);
    let vms = start(&platform, strategy)?;
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let began = Instant::now();
    let arrival_times = arrivals(&mut rng, rate, WARM_UP_TIME + options.duration);
    let warm_up_actions = arrival_times
        .iter()
        .filter(|at| **at < WARM_UP_TIME)
        .count();
    let mut before = platform.calls();
    for (action, at) in arrival_times.iter().enumerate() {
        std::thread::sleep((began + *at).saturating_duration_since(Instant::now()));
        if action == warm_up_actions {
            before = platform.calls();
        }
        vms[writer_index(strategy, action, &mut rng)].claim(action as u64);
    }
    let after = platform.calls();
    let measured_from = began + WARM_UP_TIME;
    let mut all = ClaimResults::default();
    for vm in vms {
        let decided = vm.finish().decided.into_iter();
        decided
            .filter(|claim| claim.began >= measured_from)
            .for_each(|claim| all.count(claim));
    }
    let actions = (arrival_times.len() - warm_up_actions) as f64;
    let seconds = options.duration.as_secs_f64();
    let writes = (after.writes() - before.writes()) as f64;
    let ms = |quantile| all.latency_us.value_at_quantile(quantile) as f64 / 1000.0;
    Ok(Row {
        way: name,
        actions_per_s: rate,
        actions: actions as u64,
        refused: all.refused,
        writes_per_s: writes / seconds,
        writes_per_action: writes / actions,
        conflicts_per_action: (after.conflicts - before.conflicts) as f64 / actions,
        reads_per_s: (after.gets - before.gets) as f64 / seconds,
        p50_ms: ms(0.5),
        p99_ms: ms(0.99),
    })
}

fn start(platform: &Platform, strategy: WriteStrategy) -> Result<Vec<ClaimVm>, ExperimentError> {
    let (partitions, linger_ms, target_writes_per_s) = match strategy {
        WriteStrategy::PerAction => {
            let vm = |i| ClaimVm::PerAction(PerActionVm::start(platform, i));
            return Ok((0..VM_COUNT).map(vm).collect());
        }
        WriteStrategy::AnyVm {
            partitions,
            linger_ms,
            target_writes_per_s,
        }
        | WriteStrategy::OneWriter {
            partitions,
            linger_ms,
            target_writes_per_s,
        } => (partitions, linger_ms, target_writes_per_s),
    };
    let claims = ClaimSettings {
        partitions,
        linger_ms,
        fleet_writes_per_s: target_writes_per_s,
        ..ClaimSettings::default()
    };
    let settings = settings(platform, claims)?;
    let vm = |i| ClaimVm::Ledger(LedgerVm::start(settings.clone(), i));
    Ok((0..VM_COUNT).map(vm).collect())
}

pub(super) fn settings(
    platform: &Platform,
    claims: ClaimSettings,
) -> Result<Settings, ExperimentError> {
    let text = format!(
        "vm: entry\navailability_zone: a\nlisten: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\nplatform: {}\n",
        platform.address()
    );
    let settings: Settings = serde_saphyr::from_str(&text)
        .map_err(|error| crate::fleet::FleetError::Plan(error.to_string()))?;
    Ok(Settings { claims, ..settings })
}

/// Returns the index of the VM that writes the claim of an action.
fn writer_index(strategy: WriteStrategy, action: usize, rng: &mut fastrand::Rng) -> usize {
    match strategy {
        WriteStrategy::OneWriter { partitions, .. } => action % usize::from(partitions),
        _ => rng.usize(0..VM_COUNT),
    }
}

fn table(rows: &[Row]) -> String {
    let mut text = String::new();
    let heads =
        "actions/s  writes/s  writes/action  conflicts/action  reads/s  p50 ms  p99 ms  refused";
    text += &format!("{:<44}{heads}\n", "way");
    for row in rows {
        text += &format!(
            "{:<44}{:>9.0}{:>10.1}{:>15.2}{:>18.3}{:>9.1}{:>8.1}{:>8.1}{:>9}\n",
            row.way,
            row.actions_per_s,
            row.writes_per_s,
            row.writes_per_action,
            row.conflicts_per_action,
            row.reads_per_s,
            row.p50_ms,
            row.p99_ms,
            row.refused,
        );
    }
    text
}
