//! `slopes`: how the CPU time, memory, latency and store calls of one daemon process grow with the deployment, the call
//! rate and the number of callers.
//!
//! A straight line is fitted through the points of each.

pub mod fit;
mod manifests;

use std::fmt::Write;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use kingcuploft_platform::client::{Client, ClientSettings};
use kingcuploft_platform::manifest_root::{self, ApplyOutcome};
use serde::Serialize;
use tokio::runtime::Runtime;

use self::fit::Fit;
use super::{ExperimentError, Options, Report};
use crate::backend_server::{BackendServer, Work};
use crate::callers::CallPlan;
use crate::fleet::FleetError;
use crate::load::{self, ScheduledCall};
use crate::platform::Platform;
use crate::process::{DaemonProcess, Ports};

/// The services and backend servers of each step. The last one is the size that the users plan for.
const DEPLOYMENT_SIZES: [(usize, usize); 4] = [(1, 10), (74, 1_000), (370, 5_000), (740, 10_000)];

/// The call rate of each step.
const CALL_RATES_PER_S: [f64; 4] = [100.0, 500.0, 1_000.0, 2_000.0];

/// The number of callers of each step.
const CALLER_COUNTS: [usize; 3] = [1, 1_000, 100_000];

/// How many changes, each of one service, are applied at each size.
const CHANGE_COUNT: usize = 10;

/// How long a daemon may take to become ready or to have a new generation in force.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(30);

/// The cost of one deployment size.
#[derive(Clone, Debug, Serialize)]
struct SizePoint {
    services: usize,
    backend_servers: usize,
    manifest_bytes: usize,
    ready_ms: f64,
    resident_kb: f64,
    idle_core_share: f64,
    idle_store_calls_per_s: f64,
    change_in_force_ms: f64,
    change_cpu_ms: f64,
    change_store_reads: f64,
}

/// The cost of one call rate.
#[derive(Clone, Debug, Serialize)]
struct RatePoint {
    calls_per_s: f64,
    cpu_us_per_call: f64,
    core_share: f64,
    p99_ms: f64,
}

/// The cost of one number of callers.
#[derive(Clone, Debug, Serialize)]
struct CallersPoint {
    callers: usize,
    resident_kb: f64,
}

#[derive(Debug, Serialize)]
struct Figures {
    sizes: Vec<SizePoint>,
    rates: Vec<RatePoint>,
    callers: Vec<CallersPoint>,
    resident_kb_by_backend_server: Fit,
    idle_core_share_by_backend_server: Fit,
    ready_ms_by_backend_server: Fit,
    change_cpu_ms_by_backend_server: Fit,
    change_in_force_ms_by_backend_server: Fit,
    core_share_by_call_per_s: Fit,
    resident_kb_by_caller: Fit,
}

/// Runs the experiment.
///
/// # Errors
///
/// [`ExperimentError`] if a daemon did not start or did not adopt a manifest in time.
pub fn run(options: &Options) -> Result<Report, ExperimentError> {
    let runtime = Runtime::new()?;
    let mut sizes = Vec::new();
    for (services, servers) in DEPLOYMENT_SIZES {
        sizes.push(measure_size(&runtime, services, servers, options.duration)?);
    }
    let (rates, callers) = measure_traffic(&runtime, options)?;
    let by_server = |figure: fn(&SizePoint) -> f64| {
        let points = sizes.iter().map(|p| (p.backend_servers as f64, figure(p)));
        fit::line(&points.collect::<Vec<_>>())
    };
    let rate_points: Vec<_> = rates
        .iter()
        .map(|p| (p.calls_per_s, p.core_share))
        .collect();
    let caller_points: Vec<_> = callers
        .iter()
        .map(|p| (p.callers as f64, p.resident_kb))
        .collect();
    let figures = Figures {
        resident_kb_by_backend_server: by_server(|p| p.resident_kb),
        idle_core_share_by_backend_server: by_server(|p| p.idle_core_share),
        ready_ms_by_backend_server: by_server(|p| p.ready_ms),
        change_cpu_ms_by_backend_server: by_server(|p| p.change_cpu_ms),
        change_in_force_ms_by_backend_server: by_server(|p| p.change_in_force_ms),
        core_share_by_call_per_s: fit::line(&rate_points),
        resident_kb_by_caller: fit::line(&caller_points),
        sizes,
        rates,
        callers,
    };
    Ok(Report {
        text: render(&figures),
        figures: serde_json::to_value(&figures)?,
        violations: Vec::new(),
    })
}

/// Measures one size: the start, the idle load, and changes of one service each.
fn measure_size(
    runtime: &Runtime,
    services: usize,
    servers: usize,
    idle: Duration,
) -> Result<SizePoint, ExperimentError> {
    let platform = Platform::start(runtime)?;
    let manifest = manifests::manifest_of_size(services, servers, 0);
    apply(&platform, &manifest, "start")?;
    let folder = tempfile::tempdir()?;
    let began = Instant::now();
    let daemon = start_daemon(folder.path(), &platform)?;
    let ready = began.elapsed();
    std::thread::sleep(Duration::from_millis(500));
    let (cpu, calls) = (daemon.cpu(), platform.calls());
    std::thread::sleep(idle);
    let idle_cpu = daemon.cpu() - cpu;
    let idle_calls = platform.calls().all() - calls.all();
    let (cpu, calls) = (daemon.cpu(), platform.calls());
    let mut in_force = Duration::ZERO;
    for change in 1..=CHANGE_COUNT {
        let generation = apply(
            &platform,
            &manifests::manifest_of_size(services, servers, change),
            "change",
        )?;
        let began = Instant::now();
        wait_for_generation(&daemon, generation)?;
        in_force += began.elapsed();
    }
    let change_cpu = daemon.cpu() - cpu;
    let reads = platform.calls();
    let reads = reads.gets + reads.lists - calls.gets - calls.lists;
    Ok(SizePoint {
        services,
        backend_servers: servers,
        manifest_bytes: manifest.len(),
        ready_ms: ready.as_secs_f64() * 1e3,
        resident_kb: daemon.resident_kb(),
        idle_core_share: idle_cpu.as_secs_f64() / idle.as_secs_f64(),
        idle_store_calls_per_s: idle_calls as f64 / idle.as_secs_f64(),
        change_in_force_ms: in_force.as_secs_f64() * 1e3 / CHANGE_COUNT as f64,
        change_cpu_ms: change_cpu.as_secs_f64() * 1e3 / CHANGE_COUNT as f64,
        change_store_reads: reads as f64 / CHANGE_COUNT as f64,
    })
}

/// Measures one daemon under load: by call rate, then by the number of callers.
fn measure_traffic(
    runtime: &Runtime,
    options: &Options,
) -> Result<(Vec<RatePoint>, Vec<CallersPoint>), ExperimentError> {
    let platform = Platform::start(runtime)?;
    let mut servers = Vec::new();
    for seed in 0..8 {
        let work = Work {
            slots: 64,
            mean: Duration::from_millis(1),
            seed,
            ..Work::default()
        };
        servers.push(BackendServer::start(runtime, work)?);
    }
    apply(
        &platform,
        &manifests::manifest_of_servers(&servers),
        "start",
    )?;
    let folder = tempfile::tempdir()?;
    let daemon = start_daemon(folder.path(), &platform)?;
    let mut rates = Vec::new();
    for rate in CALL_RATES_PER_S {
        rates.push(measure_rate(runtime, &daemon, rate, options));
    }
    let mut callers = Vec::new();
    for count in CALLER_COUNTS {
        send(runtime, &daemon, 2_000.0, count, options);
        callers.push(CallersPoint {
            callers: count,
            resident_kb: daemon.resident_kb(),
        });
    }
    Ok((rates, callers))
}

fn measure_rate(
    runtime: &Runtime,
    daemon: &DaemonProcess,
    rate: f64,
    options: &Options,
) -> RatePoint {
    let cpu = daemon.cpu();
    let tally = send(runtime, daemon, rate, 40, options);
    let used = daemon.cpu() - cpu;
    RatePoint {
        calls_per_s: rate,
        cpu_us_per_call: used.as_secs_f64() * 1e6 / tally.calls.max(1) as f64,
        core_share: used.as_secs_f64() / options.duration.as_secs_f64(),
        p99_ms: tally.quantile_ms(0.99),
    }
}

fn send(
    runtime: &Runtime,
    daemon: &DaemonProcess,
    rate: f64,
    callers: usize,
    options: &Options,
) -> crate::tally::Tally {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let arrivals = load::arrivals(&mut rng, rate, options.duration);
    let calls = arrivals
        .into_iter()
        .enumerate()
        .map(|(i, at)| ScheduledCall {
            at,
            address_index: 0,
            plan: CallPlan {
                method: Method::GET,
                host: "service-0.example".into(),
                path: format!("/lookup/{i}"),
                headers: vec![("x-caller", format!("caller-{}", i % callers))],
                body: Bytes::new(),
            },
            deadline: Duration::from_secs(2),
            group: 0,
        });
    let calls = calls.collect();
    load::run(runtime, &[daemon.ports().callers], calls, 1).remove(0)
}

fn start_daemon(
    folder: &std::path::Path,
    platform: &Platform,
) -> Result<DaemonProcess, ExperimentError> {
    let ports = Ports::free()?;
    let settings = format!(
        "vm: entry-0\navailability_zone: zone-0\nlisten: {}\nadmin_listen: {}\nplatform: {}\n",
        ports.callers,
        ports.admin,
        platform.address()
    );
    let mut daemon = DaemonProcess::start(folder, "entry-0", ports, &settings)?;
    match daemon.wait_ready(DAEMON_TIMEOUT) {
        true => Ok(daemon),
        false => Err(FleetError::NotInForce("the daemon is not ready".into()).into()),
    }
}

fn wait_for_generation(daemon: &DaemonProcess, generation: u64) -> Result<(), FleetError> {
    let until = Instant::now() + DAEMON_TIMEOUT;
    while daemon.generation().is_none_or(|found| found < generation) {
        if Instant::now() > until {
            return Err(FleetError::NotInForce("the daemon does not follow".into()));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

fn apply(platform: &Platform, manifest: &str, id: &str) -> Result<u64, FleetError> {
    let manifest = kingcuploft::manifest::reader::read("plan", manifest)
        .map_err(|faults| FleetError::Plan(format!("{faults:?}")))?;
    // Lifts the rate limit of the operator's client, which is not measured here.
    let settings = ClientSettings {
        calls_per_s: 1e6,
        calls_burst: 1e6,
        ..ClientSettings::default()
    };
    let client = Client::with_settings(&platform.address().to_string(), settings, 1);
    match manifest_root::apply(&client, manifest, id) {
        Ok(ApplyOutcome::Accepted(generation)) => Ok(generation),
        other => Err(FleetError::NotInForce(format!("{other:?}"))),
    }
}

fn render(figures: &Figures) -> String {
    let mut text = String::new();
    let mut line = |line: std::fmt::Arguments<'_>| {
        text.write_fmt(line).expect("a string takes all");
        text.push('\n');
    };
    for p in &figures.sizes {
        line(format_args!("{p:?}"));
    }
    for p in &figures.rates {
        line(format_args!("{p:?}"));
    }
    for p in &figures.callers {
        line(format_args!("{p:?}"));
    }
    let fits = [
        (
            "resident KB by backend server",
            figures.resident_kb_by_backend_server,
        ),
        (
            "idle share of a core by backend server",
            figures.idle_core_share_by_backend_server,
        ),
        (
            "ms to ready by backend server",
            figures.ready_ms_by_backend_server,
        ),
        (
            "CPU ms of a change by backend server",
            figures.change_cpu_ms_by_backend_server,
        ),
        (
            "ms in force by backend server",
            figures.change_in_force_ms_by_backend_server,
        ),
        (
            "share of a core by call/s",
            figures.core_share_by_call_per_s,
        ),
        ("resident KB by caller", figures.resident_kb_by_caller),
    ];
    for (name, fit) in fits {
        line(format_args!("{name}: {fit:?}"));
    }
    text
}
