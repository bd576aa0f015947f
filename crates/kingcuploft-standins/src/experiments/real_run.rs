//! Runs the virtual fleet's work on real daemons, with the same arrivals, work times and slow spells, so that both
//! outcomes can be compared.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use kingcuploft::world::refusal::{Outcome as Ran, RefusalReason};
use kingcuploftd::daemon::Daemon;

use super::ExperimentError;
use crate::backend_server::BackendServer;
use crate::callers::{CallPlan, CallResult};
use crate::deployment;
use crate::fleet::{Fleet, FleetOptions};
use crate::load::{self, ScheduledCall};
use crate::virtual_fleet::deployment::{DeploymentKind, HOLD_RULE, SEARCH_RULE};
use crate::virtual_fleet::outcome::{Cost, End, Record};
use crate::virtual_fleet::server::FakeServer;
use crate::virtual_fleet::{Outcome, Run};

/// The mean delay of the links between VMs and backend servers, one way.
const LINK_DELAY: Duration = Duration::from_micros(800);

/// How often the stand-ins' speed is set to the current slow spells.
const SLOW_SPELL_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Runs the work on real daemons under a policy, given as YAML in flow style.
///
/// # Errors
///
/// [`ExperimentError`] if the fleet did not start.
pub fn run(run: &Run, policy: String) -> Result<Outcome, ExperimentError> {
    let fleet_options = FleetOptions {
        policy,
        link_delay: LINK_DELAY,
        extra_settings: format!(
            "limits: {{workers: 48}}\n{}",
            claim_settings(run.deployment.kind)
        ),
        seed: run.seed,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(
        deployment::virtual_deployment(run.deployment.kind),
        fleet_options,
    )?;
    let records: Vec<Record> = (0..run.requests.len())
        .map(|request| run.record(request))
        .collect();
    let records = Arc::new(Mutex::new(records));
    let ended = AtomicBool::new(false);
    let control_before = control_bytes(&fleet.daemons);
    let began = Instant::now();
    std::thread::scope(|scope| {
        scope.spawn(|| apply_slow_spells(&fleet.backend_servers[0], &run.servers(), &ended));
        let to = fleet.addresses();
        let shared_records = Arc::clone(&records);
        let address = move |call: &ScheduledCall| to[call.address_index % to.len()];
        load::run_with(
            &fleet.runtime,
            address,
            scheduled_calls(run),
            move |call, received, took| {
                let mut records = shared_records
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                records[call.group].end = end_of_call(&received);
                records[call.group].latency = took;
            },
        );
        ended.store(true, Ordering::Relaxed);
    });
    let sending_time_ratio = began.elapsed().as_secs_f64() / run.duration.as_secs_f64();
    let mut cost = cost(&fleet);
    let control = control_bytes(&fleet.daemons) - control_before;
    // Scales the bytes to the planned duration, over which the virtual fleet computes its rate too.
    cost.note_bytes = (control as f64 / sending_time_ratio) as u64;
    let keys = run
        .requests
        .iter()
        .filter_map(|request| request.key.as_ref());
    let double_runs = keys.map(|key| fleet.runs(key).saturating_sub(1)).sum();
    fleet.stop();
    let records = records
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    Ok(run.outcome(records, cost, double_runs))
}

/// Returns the claim settings of a deployment, as in its example: Teamway spends more store writes for a lower latency of
/// holds, Bern saves writes.
fn claim_settings(kind: DeploymentKind) -> &'static str {
    match kind {
        DeploymentKind::Teamway => "claims: {fleet_writes_per_s: 200}\n",
        DeploymentKind::Bern => "",
    }
}

fn scheduled_calls(run: &Run) -> Vec<ScheduledCall> {
    let vms = run.deployment.vm_count as f64;
    let requests = run.requests.iter().enumerate();
    let calls = requests.map(|(i, request)| {
        let (method, path) = match request.rule {
            HOLD_RULE => (Method::POST, "hold"),
            SEARCH_RULE => (Method::GET, "search"),
            _ => (Method::GET, "lookup"),
        };
        let mut headers = vec![
            ("x-work-us", request.work.as_micros().to_string()),
            ("x-caller", request.caller.to_string()),
        ];
        headers.extend(
            request
                .key
                .as_ref()
                .map(|key| ("idempotency-key", key.to_string())),
        );
        ScheduledCall {
            at: request.arrives_at,
            address_index: (request.vm_draw * vms) as usize,
            plan: CallPlan {
                method,
                host: format!("{}.example", run.deployment.service.name),
                path: format!("/{path}/{i}"),
                headers,
                body: Bytes::new(),
            },
            deadline: run.deployment.service.rules[request.rule].deadline(),
            group: i,
        }
    });
    calls.collect()
}

/// Slows each backend server down as its virtual counterpart is slowed down at the same time.
fn apply_slow_spells(servers: &[BackendServer], spells: &[FakeServer], ended: &AtomicBool) {
    let began = Instant::now();
    let mut factors = vec![1.0; servers.len()];
    while !ended.load(Ordering::Relaxed) {
        for (i, server) in servers.iter().enumerate() {
            let factor = spells[i].factor(began.elapsed());
            if factor != factors[i] {
                factors[i] = factor;
                server.change(|faults| faults.slow_factor = factor);
            }
        }
        std::thread::sleep(SLOW_SPELL_POLL_INTERVAL);
    }
}

fn end_of_call(received: &CallResult) -> End {
    match received {
        CallResult::Answer { status, .. } if *status < 500 => End::Answered,
        CallResult::Answer { .. } => End::Failed,
        CallResult::NoAnswer => End::Lost,
        CallResult::Refused {
            reason, outcome, ..
        } => {
            let reason = RefusalReason::ALL
                .iter()
                .find(|known| known.label() == reason);
            let ran = match outcome.as_str() {
                "ran" => Ran::Ran,
                "not_run" => Ran::NotRun,
                _ => Ran::Unknown,
            };
            reason.map_or(End::Lost, |reason| End::Refused(*reason, ran))
        }
    }
}

fn cost(fleet: &Fleet) -> Cost {
    let mut cost = Cost::default();
    for server in fleet.backend_servers.iter().flatten() {
        let counts = server.counts();
        cost.calls += counts.requests - counts.probes;
        cost.probes += counts.probes;
        cost.probe_slot_time += Duration::from_micros(counts.probe_us);
        cost.used_slot_time += Duration::from_micros(counts.work_us + counts.probe_us);
    }
    let sent =
        |step| move |daemon: &Daemon| sum_labelled_metric(daemon, "kingcuploft_hedges_total", step);
    let hedges = |step| fleet.daemons.iter().map(sent(step)).sum::<u64>();
    cost.hedges = hedges("sent_slow_spell") + hedges("sent_late");
    cost
}

/// Returns the bytes that the daemons exchanged with their peers.
fn control_bytes(daemons: &[Daemon]) -> u64 {
    let bytes = |daemon: &Daemon| sum_metric(daemon, "kingcuploft_peer_bytes_total");
    daemons.iter().map(bytes).sum()
}

/// Returns the sum of a counter's samples.
fn sum_metric(daemon: &Daemon, name: &str) -> u64 {
    sum_labelled_metric(daemon, name, "")
}

/// Returns the sum of a counter's samples whose line contains this label.
fn sum_labelled_metric(daemon: &Daemon, name: &str, label: &str) -> u64 {
    let text = daemon.shared().metrics.text();
    let samples = text
        .lines()
        .filter(|line| line.starts_with(name) && line.contains(label));
    let values = samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}
