//! One run: callers, faults and the observer side by side.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Method;
use kingcuploft::manifest::reader;
use kingcuploft_platform::client::Client;
use kingcuploft_platform::manifest_root::{self, ApplyOutcome};

use super::chaos::{self, ChaosEvent};
use super::entry_vms::{self, EntryVms};
pub use super::protected::Protection;
use super::protected::manifest;
use super::record::{Record, ReportedOutcome};
pub use super::trace::Trace;
use crate::backend_server::{BackendServer, Faults as BackendFaults, Work};
use crate::callers::{CallPlan, Callers};
use crate::experiments::ExperimentError;
use crate::load;
use crate::platform::{Faults as StoreFaults, Platform};

/// How many entry VMs a run has.
const VMS: usize = 4;

/// How many backend servers a run has.
const BACKEND_SERVERS: usize = 5;

/// Calls a second.
const PER_SECOND: f64 = 150.0;

/// The share of protected actions among the calls.
const ACTION_SHARE: f64 = 0.4;

/// How often a caller sends an action again that it was not told the end of.
const RESENDS: usize = 3;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(4);

/// The time without faults at the end.
const SETTLE: Duration = Duration::from_millis(2500);

struct World {
    platform: Platform,
    servers: Vec<BackendServer>,
    entries: EntryVms,
    protection: Protection,
    /// By backend server: when it left, and when the last new work was seen.
    left: Mutex<Vec<Option<(Duration, Duration, u64)>>>,
    accepted: Mutex<Vec<(u64, Duration)>>,
    draining: Mutex<Vec<bool>>,
}

/// Runs the deployment under faults for a time.
///
/// # Errors
///
/// [`ExperimentError`] where the deployment did not start.
pub fn run(seed: u64, time: Duration, protection: Protection) -> Result<Trace, ExperimentError> {
    let runtime = Arc::new(
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()?,
    );
    let folder = tempfile::tempdir()?;
    let world = start(&runtime, folder.path(), seed, protection)?;
    let ended = AtomicBool::new(false);
    let records = std::thread::scope(|scope| {
        scope.spawn(|| entry_vms::observe_until(&world.entries, &ended));
        scope.spawn(|| watch_leavers(&world, &ended));
        scope.spawn(|| disturb(&world, seed, time));
        let records = call(&runtime, &world, seed, time);
        world.mend();
        std::thread::sleep(SETTLE);
        ended.store(true, Ordering::Relaxed);
        records
    });
    let observed = world.entries.finish();
    let left = world
        .left
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let after = left
        .iter()
        .flatten()
        .map(|(at, last, _)| last.saturating_sub(*at));
    let trace = Trace {
        records,
        observed,
        accepted_generations: world
            .accepted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
        new_work_after_drain: after.max().unwrap_or_default(),
        store_writes: world.platform.calls().writes(),
        backend_servers: world.servers,
        folder,
        _runtime: runtime,
    };
    drop(world.entries);
    Ok(trace)
}

fn start(
    runtime: &Arc<tokio::runtime::Runtime>,
    folder: &std::path::Path,
    seed: u64,
    protection: Protection,
) -> Result<World, ExperimentError> {
    let platform = Platform::start(runtime)?;
    platform.set_seed(seed);
    let mut servers = Vec::new();
    for i in 0..BACKEND_SERVERS as u64 {
        let work = Work {
            slots: 3,
            mean: Duration::from_millis(8),
            seed: seed.wrapping_mul(31).wrapping_add(i),
            ..Work::default()
        };
        servers.push(BackendServer::start(runtime, work)?);
    }
    let manifest = manifest(&servers, &[false; BACKEND_SERVERS], protection);
    apply(&platform, &manifest, "start");
    let entries = EntryVms::start(Arc::clone(runtime), platform.address(), folder.into(), VMS)?;
    Ok(World {
        platform,
        servers,
        entries,
        protection,
        left: Mutex::new(vec![None; BACKEND_SERVERS]),
        accepted: Mutex::default(),
        draining: Mutex::new(vec![false; BACKEND_SERVERS]),
    })
}

fn apply(platform: &Platform, manifest: &str, id: &str) -> Option<u64> {
    let manifest = reader::read("promises", manifest).ok()?;
    let client = Client::new(&platform.address().to_string());
    match manifest_root::apply(&client, manifest, id) {
        Ok(ApplyOutcome::Accepted(generation)) => Some(generation),
        _ => None,
    }
}

impl World {
    fn now(&self) -> Duration {
        self.entries.started_at().elapsed()
    }

    /// Applies the manifest as it stands and notes the generation where it was accepted.
    fn apply(&self, id: &str) -> bool {
        let draining = self
            .draining
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let text = manifest(&self.servers, &draining, self.protection);
        let Some(generation) = apply(&self.platform, &text, id) else {
            return false;
        };
        let accepted = (generation, self.now());
        self.accepted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(accepted);
        true
    }

    fn leaves(&self, server: usize) {
        let now = self.now();
        let requests = self.new_work(server);
        let mut left = self.left.lock().unwrap_or_else(PoisonError::into_inner);
        left[server].get_or_insert((now, now, requests));
    }

    fn new_work(&self, server: usize) -> u64 {
        let counts = self.servers[server].counts();
        counts.requests - counts.probes
    }

    fn mend(&self) {
        self.platform.set_faults(StoreFaults::default());
        self.entries.open_links();
        let left = self
            .left
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for (server, left) in self.servers.iter().zip(left) {
            let draining = left.is_some();
            server.change(|faults| {
                *faults = BackendFaults {
                    draining,
                    ..BackendFaults::default()
                };
            });
        }
    }
}

/// Notes new work at backend servers that left.
fn watch_leavers(world: &World, ended: &AtomicBool) {
    while !ended.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(10));
        let now = world.now();
        let mut left = world.left.lock().unwrap_or_else(PoisonError::into_inner);
        for (server, left) in left.iter_mut().enumerate() {
            let requests = world.new_work(server);
            if let Some((_, last, seen)) = left
                && requests > *seen
            {
                (*last, *seen) = (now, requests);
            }
        }
    }
}

/// Lets the drawn faults happen, each on a thread of its own, since some last.
fn disturb(world: &World, seed: u64, time: Duration) {
    let steps = chaos::draw_events(seed, time, VMS, BACKEND_SERVERS);
    std::thread::scope(|scope| {
        for (i, due) in steps.into_iter().enumerate() {
            let wait = due.at.saturating_sub(world.now());
            std::thread::sleep(wait);
            scope.spawn(move || happen(world, i, due.event));
        }
    });
}

fn happen(world: &World, number: usize, step: ChaosEvent) {
    match step {
        ChaosEvent::Store(faults) => world.platform.set_faults(faults),
        ChaosEvent::Backend(server, faults) => world.servers[server].change(|now| {
            *now = BackendFaults {
                draining: now.draining,
                ..faults
            };
        }),
        ChaosEvent::CloseConnections(server) => world.servers[server].close_connections(),
        ChaosEvent::Pause(vm, time) => world.entries.pause(vm, time),
        ChaosEvent::Kill(vm) => world.entries.kill(vm),
        ChaosEvent::Stop(vm) => world.entries.stop(vm),
        ChaosEvent::CutPlatform(vm, time) => world.entries.cut_platform(vm, time),
        ChaosEvent::CutPeers(vm, time) => world.entries.cut_peers(vm, time),
        ChaosEvent::ConcurrentApplies => std::thread::scope(|scope| {
            for operator in 0..2 {
                scope.spawn(move || world.apply(&format!("{number}-{operator}")));
            }
        }),
        ChaosEvent::DrainByManifest(server) => {
            world
                .draining
                .lock()
                .unwrap_or_else(PoisonError::into_inner)[server] = true;
            if world.apply(&format!("{number}-leave")) {
                world.leaves(server);
            }
        }
        ChaosEvent::DrainByReply(server) => {
            world.servers[server].change(|faults| faults.draining = true);
            world.leaves(server);
        }
    }
}

/// Makes the calls of a run, with resends, and returns every record.
fn call(
    runtime: &tokio::runtime::Runtime,
    world: &World,
    seed: u64,
    time: Duration,
) -> Vec<Record> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let arrivals = load::arrivals(&mut rng, PER_SECOND, time);
    let records = Mutex::new(Vec::new());
    let numbers = AtomicUsize::new(0);
    let callers = Callers::default();
    let began = world.entries.started_at();
    let shared = (&records, &numbers, &callers, world);
    runtime.block_on(async {
        let mut tasks = FuturesUnordered::new();
        for (i, at) in arrivals.into_iter().enumerate() {
            let key = (rng.f64() < ACTION_SHARE).then(|| format!("{seed}-{i}"));
            let call_seed = rng.u64(..);
            tasks.push(async move {
                tokio::time::sleep_until((began + at).into()).await;
                caller(shared, i, key, call_seed).await;
            });
        }
        while tasks.next().await.is_some() {}
    });
    records.into_inner().unwrap_or_else(PoisonError::into_inner)
}

type Shared<'a> = (
    &'a Mutex<Vec<Record>>,
    &'a AtomicUsize,
    &'a Callers,
    &'a World,
);

/// One caller: sends an action again, through any VM, until it is told the end of it.
async fn caller(shared: Shared<'_>, i: usize, key: Option<String>, seed: u64) {
    let (records, numbers, callers, world) = shared;
    let mut rng = fastrand::Rng::with_seed(seed);
    let method = if key.is_some() {
        Method::POST
    } else {
        Method::GET
    };
    let path = if key.is_some() {
        format!("/holds/{i}")
    } else {
        format!("/lookup/{i}")
    };
    let sends = if key.is_some() { 1 + RESENDS } else { 1 };
    for _ in 0..sends {
        let call = numbers.fetch_add(1, Ordering::Relaxed);
        let mut headers = vec![("x-call-id", call.to_string())];
        headers.extend(key.clone().map(|key| ("idempotency-key", key)));
        let plan = CallPlan {
            method: method.clone(),
            host: "trip.example".into(),
            path: path.clone(),
            headers,
            body: Bytes::from(if key.is_some() {
                format!("action {i}")
            } else {
                String::new()
            }),
        };
        let (address, daemon_id) = world.entries.choose_vm(rng.usize(..));
        let sent = world.now();
        let received = callers.call(address, &plan, PATIENCE).await;
        let record = Record {
            call_id: call,
            key: key.clone(),
            expected: format!("{method} {path}\n"),
            daemon_id,
            sent_at: sent,
            ended_at: world.now(),
            received,
        };
        let told = record.reported_outcome();
        records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
        // One action in eight is sent again although its end is known: a crossed resend.
        if matches!(told, ReportedOutcome::Answered | ReportedOutcome::Ran) && rng.u8(..8) != 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(rng.u64(5..300))).await;
    }
}

/// Returns the records whose connection was cut though their VM stopped as planned.
pub fn cut_in_flight(trace: &Trace) -> u64 {
    let observed = &trace.observed;
    let cut = trace.records.iter().filter(|record| {
        let stopped = observed
            .planned_stops
            .iter()
            .any(|(daemon_id, _)| *daemon_id == record.daemon_id);
        let disturbed = observed.paused_or_killed.contains(&record.daemon_id);
        let nothing = record.received == crate::callers::CallResult::NoAnswer;
        let impatient = record.ended_at.saturating_sub(record.sent_at) >= PATIENCE;
        stopped && !disturbed && nothing && !impatient
    });
    cut.count() as u64
}
