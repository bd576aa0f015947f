//! `propagation`: the time from the acceptance of a manifest until it is in force on every VM.
//!
//! The store either stays up, goes down as soon as one VM has read the manifest, or goes down right after it accepted
//! the manifest while the operator's tool hands it to one VM. The three cases are interleaved.

use std::fmt::Write;
use std::time::{Duration, Instant};

use kingcuploft::manifest::reader;
use kingcuploft::manifest::root::{Root, service_objects};
use kingcuploft_platform::manifest_root::ROOT_KEY;
use kingcuploft_platform::{ListedVm, VmState};
use kingcuploftd::daemon::Daemon;
use serde::Serialize;

use super::{ExperimentError, Options, Report};
use crate::fleet::{Fleet, FleetOptions};
use crate::platform::Outage;

/// How many manifests are applied in each case.
const APPLIES_PER_CASE: usize = 20;

/// The time within which a manifest must be in force on every VM.
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(5);

/// What happens to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Case {
    /// It stays up.
    StoreUp,
    /// It goes down as soon as one VM has read the manifest.
    DiesAfterOneRead,
    /// It goes down as soon as it has accepted the manifest, which the operator's tool hands to one VM.
    DiesAtOnce,
}

/// The times of one case.
#[derive(Clone, Debug, Serialize)]
struct Row {
    case: Case,
    in_force_ms_p50: f64,
    in_force_ms_max: f64,
}

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] if a fleet did not start or a manifest is not in force within 20 s.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let fleet_options = FleetOptions {
        extra_settings: "peer: {listen: '127.0.0.1:0'}\nlimits: {workers: 2}\n".into(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options.deployment.plan(), fleet_options)?;
    let vms = fleet.daemons.iter().filter_map(|daemon| {
        Some(ListedVm {
            name: daemon.shared().vm.name.to_string(),
            address: daemon.peer_address()?.to_string(),
            availability_zone: daemon.shared().vm.availability_zone.to_string(),
            state: VmState::Live,
        })
    });
    fleet.platform.set_vms(vms.collect());
    wait_for_membership(&fleet)?;
    let cases = [Case::StoreUp, Case::DiesAfterOneRead, Case::DiesAtOnce];
    let mut times: [Vec<Duration>; 3] = Default::default();
    for round in 0..APPLIES_PER_CASE {
        for (case, times) in cases.into_iter().zip(&mut times) {
            times.push(apply(&fleet, case, round)?);
        }
    }
    let rows = cases
        .into_iter()
        .zip(&mut times)
        .map(|(case, times)| row(case, times));
    let rows: Vec<Row> = rows.collect();
    let late = rows
        .iter()
        .filter(|row| row.in_force_ms_max > MAX_IN_FORCE_TIME.as_secs_f64() * 1000.0);
    let broken = late.map(|row| {
        format!(
            "{:?}: {:.0} ms until in force",
            row.case, row.in_force_ms_max
        )
    });
    let report = Report {
        violations: broken.collect(),
        text: table(&rows),
        figures: serde_json::json!({
            "seed": options.seed, "vms": fleet.daemons.len(), "applies": APPLIES_PER_CASE, "rows": rows,
        }),
    };
    fleet.stop();
    Ok(report)
}

fn wait_for_membership(fleet: &Fleet) -> Result<(), ExperimentError> {
    let end = Instant::now() + Duration::from_secs(30);
    let count = fleet.daemons.len();
    let knows_all = |daemon: &Daemon| daemon.shared().fleet.members().len() >= count;
    while !fleet.daemons.iter().all(knows_all) {
        if Instant::now() > end {
            return Err(std::io::Error::other("the VMs do not know each other").into());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// Applies a manifest that differs from the last in one service and returns the time until it is in force on every VM.
fn apply(fleet: &Fleet, case: Case, round: usize) -> Result<Duration, ExperimentError> {
    let changed = format!("deadline_ms: {}", 2001 + round * 3 + case as usize);
    let text = fleet.manifest().replacen("deadline_ms: 2000", &changed, 1);
    let generation = fleet.apply(&text, &format!("{case:?}-{round}"))?;
    let began = Instant::now();
    match case {
        Case::StoreUp => {}
        Case::DiesAfterOneRead => {
            let has = |daemon: &Daemon| daemon.shared().accepted.load().generation >= generation;
            while !fleet.daemons.iter().any(has) {
                std::thread::yield_now();
            }
            set_store_down(fleet, true);
        }
        Case::DiesAtOnce => {
            set_store_down(fleet, true);
            hand_to_one_vm(fleet, &text, round);
        }
    }
    fleet.wait_in_force(generation)?;
    let took = began.elapsed();
    set_store_down(fleet, false);
    // The store watches and circuit breakers recover before the next case.
    std::thread::sleep(Duration::from_millis(700));
    Ok(took)
}

fn set_store_down(fleet: &Fleet, down: bool) {
    let outage = down.then_some(Outage::Unavailable);
    fleet
        .platform
        .change_faults(|faults| faults.outage = outage);
}

/// Hands the accepted manifest to one VM, as the operator's tool does after an apply.
fn hand_to_one_vm(fleet: &Fleet, text: &str, round: usize) {
    let root = fleet.platform.object(ROOT_KEY).map(|object| object.value);
    let root = root.and_then(|text| serde_json::from_str::<Root>(&text).ok());
    let (Some(root), Ok(manifest)) = (root, reader::read("experiment", text)) else {
        return;
    };
    let shared = fleet.daemons[round % fleet.daemons.len()].shared();
    shared
        .manifest
        .update(shared, "an operator", |a| a.root_text(&root.text()));
    for object in service_objects(&manifest) {
        let add_object = |text: &str| {
            shared.manifest.update(shared, "an operator", |a| {
                a.service_text(&object.hash, text)
            })
        };
        add_object(&object.text);
    }
}

fn row(case: Case, times: &mut [Duration]) -> Row {
    times.sort_unstable();
    let ms = |time: Duration| time.as_secs_f64() * 1000.0;
    Row {
        case,
        in_force_ms_p50: ms(times[times.len() / 2]),
        in_force_ms_max: ms(times[times.len() - 1]),
    }
}

fn table(rows: &[Row]) -> String {
    let mut text = String::from("case               in force p50 ms      max ms\n");
    for row in rows {
        let name = format!("{:?}", row.case);
        let (p50, max) = (row.in_force_ms_p50, row.in_force_ms_max);
        writeln!(text, "{name:<18} {p50:>15.1} {max:>11.1}").expect("a string takes all");
    }
    text
}
