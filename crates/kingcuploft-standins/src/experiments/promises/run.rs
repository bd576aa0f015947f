//! One run: callers, fault injection and the observer run concurrently against one deployment.

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

/// The number of entry VMs.
const VM_COUNT: usize = 4;

/// The number of backend servers.
const BACKEND_SERVER_COUNT: usize = 5;

/// The mean rate of calls.
const CALLS_PER_S: f64 = 150.0;

/// The share of protected actions among the calls.
const ACTION_SHARE: f64 = 0.4;

/// How many times a caller sends a protected action again while it does not know that the action ran.
const MAX_RESENDS: usize = 3;

/// How long a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// How long the deployment runs without faults after the last call.
const FAULT_FREE_TIME: Duration = Duration::from_millis(2500);

struct Testbed {
    platform: Platform,
    servers: Vec<BackendServer>,
    entry_vms: EntryVms,
    protection: Protection,
    /// For each backend server that drains: when the drain started, when the last new work was seen, and the request
    /// count at that time.
    drains: Mutex<Vec<Option<(Duration, Duration, u64)>>>,
    accepted_generations: Mutex<Vec<(u64, Duration)>>,
    draining: Mutex<Vec<bool>>,
}

/// Runs the deployment under calls and faults for a time.
///
/// # Errors
///
/// [`ExperimentError`] if the deployment did not start.
pub fn run(seed: u64, time: Duration, protection: Protection) -> Result<Trace, ExperimentError> {
    let runtime = Arc::new(
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()?,
    );
    let folder = tempfile::tempdir()?;
    let testbed = start(&runtime, folder.path(), seed, protection)?;
    let ended = AtomicBool::new(false);
    let records = std::thread::scope(|scope| {
        scope.spawn(|| entry_vms::observe_until(&testbed.entry_vms, &ended));
        scope.spawn(|| watch_drained_servers(&testbed, &ended));
        scope.spawn(|| inject_events(&testbed, seed, time));
        let records = call(&runtime, &testbed, seed, time);
        testbed.clear_faults();
        std::thread::sleep(FAULT_FREE_TIME);
        ended.store(true, Ordering::Relaxed);
        records
    });
    let observations = testbed.entry_vms.finish();
    let drains = testbed
        .drains
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let after = drains
        .iter()
        .flatten()
        .map(|(at, last, _)| last.saturating_sub(*at));
    let trace = Trace {
        records,
        observations,
        accepted_generations: testbed
            .accepted_generations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone(),
        new_work_after_drain: after.max().unwrap_or_default(),
        store_writes: testbed.platform.calls().writes(),
        backend_servers: testbed.servers,
        folder,
        _runtime: runtime,
    };
    drop(testbed.entry_vms);
    Ok(trace)
}

fn start(
    runtime: &Arc<tokio::runtime::Runtime>,
    folder: &std::path::Path,
    seed: u64,
    protection: Protection,
) -> Result<Testbed, ExperimentError> {
    let platform = Platform::start(runtime)?;
    platform.set_seed(seed);
    let mut servers = Vec::new();
    for i in 0..BACKEND_SERVER_COUNT as u64 {
        let work = Work {
            slots: 3,
            mean: Duration::from_millis(8),
            seed: seed.wrapping_mul(31).wrapping_add(i),
            ..Work::default()
        };
        servers.push(BackendServer::start(runtime, work)?);
    }
    let manifest = manifest(&servers, &[false; BACKEND_SERVER_COUNT], protection);
    apply(&platform, &manifest, "start");
    let entry_vms = EntryVms::start(
        Arc::clone(runtime),
        platform.address(),
        folder.into(),
        VM_COUNT,
    )?;
    Ok(Testbed {
        platform,
        servers,
        entry_vms,
        protection,
        drains: Mutex::new(vec![None; BACKEND_SERVER_COUNT]),
        accepted_generations: Mutex::default(),
        draining: Mutex::new(vec![false; BACKEND_SERVER_COUNT]),
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

impl Testbed {
    fn now(&self) -> Duration {
        self.entry_vms.started_at().elapsed()
    }

    /// Applies the manifest with the current drains, records the generation if the store accepted it, and tells whether
    /// it did.
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
        self.accepted_generations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(accepted);
        true
    }

    fn record_drain(&self, server: usize) {
        let now = self.now();
        let requests = self.count_new_work(server);
        let mut drains = self.drains.lock().unwrap_or_else(PoisonError::into_inner);
        drains[server].get_or_insert((now, now, requests));
    }

    fn count_new_work(&self, server: usize) -> u64 {
        let counts = self.servers[server].counts();
        counts.requests - counts.probes
    }

    fn clear_faults(&self) {
        self.platform.set_faults(StoreFaults::default());
        self.entry_vms.open_links();
        let drains = self
            .drains
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for (server, drain) in self.servers.iter().zip(drains) {
            let draining = drain.is_some();
            server.change(|faults| {
                *faults = BackendFaults {
                    draining,
                    ..BackendFaults::default()
                };
            });
        }
    }
}

/// Records when drained backend servers last received new work.
fn watch_drained_servers(testbed: &Testbed, ended: &AtomicBool) {
    while !ended.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(10));
        let now = testbed.now();
        let mut drains = testbed
            .drains
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (server, drain) in drains.iter_mut().enumerate() {
            let requests = testbed.count_new_work(server);
            if let Some((_, last, seen)) = drain
                && requests > *seen
            {
                (*last, *seen) = (now, requests);
            }
        }
    }
}

/// Injects the events when they are due, each on its own thread because some take a while.
fn inject_events(testbed: &Testbed, seed: u64, time: Duration) {
    let events = chaos::draw_events(seed, time, VM_COUNT, BACKEND_SERVER_COUNT);
    std::thread::scope(|scope| {
        for (i, scheduled) in events.into_iter().enumerate() {
            let wait = scheduled.at.saturating_sub(testbed.now());
            std::thread::sleep(wait);
            scope.spawn(move || inject(testbed, i, scheduled.event));
        }
    });
}

fn inject(testbed: &Testbed, number: usize, event: ChaosEvent) {
    match event {
        ChaosEvent::Store(faults) => testbed.platform.set_faults(faults),
        ChaosEvent::Backend(server, faults) => testbed.servers[server].change(|now| {
            *now = BackendFaults {
                draining: now.draining,
                ..faults
            };
        }),
        ChaosEvent::CloseConnections(server) => testbed.servers[server].close_connections(),
        ChaosEvent::Pause(vm, time) => testbed.entry_vms.pause(vm, time),
        ChaosEvent::Kill(vm) => testbed.entry_vms.kill(vm),
        ChaosEvent::Stop(vm) => testbed.entry_vms.stop(vm),
        ChaosEvent::CutPlatform(vm, time) => testbed.entry_vms.cut_platform(vm, time),
        ChaosEvent::CutPeers(vm, time) => testbed.entry_vms.cut_peers(vm, time),
        ChaosEvent::ConcurrentApplies => std::thread::scope(|scope| {
            for operator in 0..2 {
                scope.spawn(move || testbed.apply(&format!("{number}-{operator}")));
            }
        }),
        ChaosEvent::DrainByManifest(server) => {
            testbed
                .draining
                .lock()
                .unwrap_or_else(PoisonError::into_inner)[server] = true;
            if testbed.apply(&format!("{number}-leave")) {
                testbed.record_drain(server);
            }
        }
        ChaosEvent::DrainByReply(server) => {
            testbed.servers[server].change(|faults| faults.draining = true);
            testbed.record_drain(server);
        }
    }
}

/// Makes the calls of a run, with resends, and returns all records.
fn call(
    runtime: &tokio::runtime::Runtime,
    testbed: &Testbed,
    seed: u64,
    time: Duration,
) -> Vec<Record> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let arrivals = load::arrivals(&mut rng, CALLS_PER_S, time);
    let records = Mutex::new(Vec::new());
    let next_call_id = AtomicUsize::new(0);
    let callers = Callers::default();
    let began = testbed.entry_vms.started_at();
    let shared = (&records, &next_call_id, &callers, testbed);
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

type CallContext<'a> = (
    &'a Mutex<Vec<Record>>,
    &'a AtomicUsize,
    &'a Callers,
    &'a Testbed,
);

/// Runs one caller, which sends an action again through any VM until it learns that the action ran.
async fn caller(shared: CallContext<'_>, i: usize, key: Option<String>, seed: u64) {
    let (records, next_call_id, callers, testbed) = shared;
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
    let sends = if key.is_some() { 1 + MAX_RESENDS } else { 1 };
    for _ in 0..sends {
        let call = next_call_id.fetch_add(1, Ordering::Relaxed);
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
        let (address, daemon_id) = testbed.entry_vms.choose_vm(rng.usize(..));
        let sent = testbed.now();
        let received = callers.call(address, &plan, CALL_TIMEOUT).await;
        let record = Record {
            call_id: call,
            key: key.clone(),
            expected: format!("{method} {path}\n"),
            daemon_id,
            sent_at: sent,
            ended_at: testbed.now(),
            received,
        };
        let outcome = record.reported_outcome();
        records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
        // One action in eight is sent again although it is known to have run, as when a resend overtakes the answer.
        if matches!(outcome, ReportedOutcome::Answered | ReportedOutcome::Ran) && rng.u8(..8) != 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(rng.u64(5..300))).await;
    }
}

/// Counts the calls that received no answer although their daemon only shut down gracefully.
pub fn cut_in_flight(trace: &Trace) -> u64 {
    let observations = &trace.observations;
    let cut = trace.records.iter().filter(|record| {
        let stopped = observations
            .planned_stops
            .iter()
            .any(|(daemon_id, _)| *daemon_id == record.daemon_id);
        let paused_or_killed = observations.paused_or_killed.contains(&record.daemon_id);
        let nothing = record.received == crate::callers::CallResult::NoAnswer;
        let timed_out = record.ended_at.saturating_sub(record.sent_at) >= CALL_TIMEOUT;
        stopped && !paused_or_killed && nothing && !timed_out
    });
    cut.count() as u64
}
