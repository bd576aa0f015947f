//! Applies the disruptions of a day to the simulation.

use std::rc::Rc;
use std::time::Duration;

use crate::day::{Disruption, DisruptionKind};
use crate::history::{CutFromServers, DisturbanceCause};
use crate::server::Server;
use crate::simulation::Simulation;
use crate::vm::Vm;

/// How long after its end a killed or stopped VM restarts at the earliest.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The pause between two planned stops.
const STOP_INTERVAL: Duration = Duration::from_millis(700);

/// How often a stopping VM is checked for its end.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long after the end of a server its entry expires.
const ENTRY_EXPIRES_AFTER: Duration = Duration::from_millis(4500);

/// How long after the end of a server another one starts in its place.
const REPLACED_SERVER_AFTER: Duration = Duration::from_millis(3000);

/// How long after a restore from a snapshot the operator and the servers write again what the store lacks.
const REWRITE_DELAY: Duration = Duration::from_millis(600);

/// The share of the requests that a server refuses that asks for pauses.
const PAUSING_REFUSED_SHARE: f64 = 0.5;

/// How often a draining server tries to write its entry while the store is silent.
const DRAIN_WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// How long a draining server keeps serving after the drain time that is allowed to the VMs.
const SERVES_AFTER_DRAIN: Duration = Duration::from_millis(1500);

/// Applies a disruption and returns when it is over.
pub async fn apply(simulation: &Rc<Simulation>, disruption: &Disruption) {
    match disruption.kind {
        DisruptionKind::VmsKilled => {
            let vms = choose_vms(simulation, disruption.share);
            vms.iter().for_each(|vm| vm.kill());
            restart_after(
                simulation,
                &vms,
                disruption.duration().max(RESTART_DELAY),
                DisturbanceCause::Fault,
            )
            .await;
        }
        DisruptionKind::VmsLosePower => {
            let vms = choose_vms(simulation, disruption.share);
            vms.iter().for_each(|vm| vm.lose_power());
            restart_after(
                simulation,
                &vms,
                disruption.duration().max(RESTART_DELAY),
                DisturbanceCause::Fault,
            )
            .await;
        }
        DisruptionKind::VmsFrozen => {
            let vms = choose_vms(simulation, disruption.share);
            let cause = DisturbanceCause::Fault;
            apply_to_vms(simulation, &vms, disruption.duration(), cause, Vm::freeze).await;
        }
        DisruptionKind::VmsCutOff => {
            let vms = choose_vms(simulation, disruption.share);
            let cause = DisturbanceCause::CutOff;
            apply_to_vms(simulation, &vms, disruption.duration(), cause, Vm::cut_off).await;
        }
        DisruptionKind::VmsCutFromServers => {
            let vms = choose_vms(simulation, disruption.share);
            cut_from_servers(simulation, &vms, disruption).await;
        }
        DisruptionKind::ZoneCutFromServers => {
            let vms = choose_vms_of_a_zone(simulation, disruption.share);
            cut_from_servers(simulation, &vms, disruption).await;
        }
        DisruptionKind::WorkspaceCrowd => {
            simulation.workspace_factor.set(disruption.strength);
            tokio::time::sleep(disruption.duration()).await;
            simulation.workspace_factor.set(1.0);
        }
        DisruptionKind::QuotasLowered => simulation.operator.lower_quotas(disruption.strength),
        DisruptionKind::KeysTaken => simulation.operator.take_keys(),
        DisruptionKind::VmsStopped => stop_one_by_one(simulation, disruption).await,
        DisruptionKind::ServersRefuse => {
            let strength = disruption.strength;
            apply_to_servers(simulation, disruption, |server, is_on| {
                server
                    .faults
                    .refused_share
                    .set(if is_on { strength } else { 0.0 });
            })
            .await;
        }
        DisruptionKind::ServersPause => {
            let pause = Duration::from_secs_f64(disruption.strength);
            apply_to_servers(simulation, disruption, |server, is_on| {
                let refused = if is_on { PAUSING_REFUSED_SHARE } else { 0.0 };
                server.faults.refused_share.set(refused);
                server.faults.pause.set(is_on.then_some(pause));
            })
            .await;
        }
        DisruptionKind::ServersLoseAnswers => {
            let strength = disruption.strength;
            apply_to_servers(simulation, disruption, |server, is_on| {
                server
                    .faults
                    .lost_answer_share
                    .set(if is_on { strength } else { 0.0 });
            })
            .await;
        }
        DisruptionKind::ServersSlow => {
            let strength = disruption.strength;
            apply_to_servers(simulation, disruption, |server, is_on| {
                server
                    .faults
                    .slow_factor
                    .set(if is_on { strength } else { 0.0 });
            })
            .await;
        }
        DisruptionKind::ServersCrash => {
            crash_servers(simulation, &choose_servers(simulation, disruption)).await
        }
        DisruptionKind::ServersNameLimits => name_limits(simulation, disruption).await,
        DisruptionKind::DeadlyRequests => {
            simulation.deadly_share.set(disruption.strength);
            tokio::time::sleep(disruption.duration()).await;
            simulation.deadly_share.set(0.0);
        }
        DisruptionKind::StoreRewinds => rewind_store(simulation, disruption.duration()).await,
        DisruptionKind::ServersLeave => drain_servers(simulation, disruption).await,
        DisruptionKind::ServersStart => start_servers(simulation, disruption),
        DisruptionKind::StoreSilent => silence_store(simulation, disruption.duration()).await,
        DisruptionKind::Crowd => {
            let previous = simulation.load_factor.replace(disruption.strength);
            tokio::time::sleep(disruption.duration()).await;
            simulation.load_factor.set(previous.min(1.0));
        }
        DisruptionKind::ConfigurationChange => {
            simulation.operator.write_next_configuration();
        }
        DisruptionKind::ZoneEvacuated => {
            let zone = fastrand::usize(0..simulation.deployment.zones.len());
            simulation.operator.set_evacuated(zone, true);
            tokio::time::sleep(disruption.duration()).await;
            simulation.operator.set_evacuated(zone, false);
        }
    }
}

fn choose_vms(simulation: &Simulation, share: f64) -> Vec<Rc<Vm>> {
    let running: Vec<_> = simulation.vms.iter().filter(|vm| vm.is_running()).collect();
    let count = (share * simulation.vms.len() as f64).round() as usize;
    let mut rng = fastrand::Rng::with_seed(fastrand::u64(..));
    let chosen = rng.choose_multiple(running, count);
    chosen.into_iter().cloned().collect()
}

fn choose_vms_of_a_zone(simulation: &Simulation, share: f64) -> Vec<Rc<Vm>> {
    let zone = fastrand::usize(0..simulation.deployment.zones.len());
    let of_zone: Vec<_> = simulation.vms.iter().filter(|vm| vm.zone == zone).collect();
    let count = (share * of_zone.len() as f64).round() as usize;
    let mut rng = fastrand::Rng::with_seed(fastrand::u64(..));
    let chosen = rng.choose_multiple(of_zone, count);
    chosen.into_iter().cloned().collect()
}

/// Cuts VMs off from all servers of a service, or of all services, for a while.
async fn cut_from_servers(simulation: &Simulation, vms: &[Rc<Vm>], disruption: &Disruption) {
    let from = simulation.history.now();
    let service = disruption.service.as_deref();
    let cut = simulation.server_cuts.begin(vms, service, disruption.how);
    simulation.apply_server_cuts(vms);
    let record = CutFromServers {
        vms: vms.iter().map(|vm| vm.index).collect(),
        service: disruption.service.clone(),
        from,
        until: from + disruption.duration(),
    };
    simulation
        .history
        .cuts_from_servers
        .borrow_mut()
        .push(record);
    tokio::time::sleep(disruption.duration()).await;
    simulation.server_cuts.end(cut);
    simulation.apply_server_cuts(vms);
}

async fn restart_after(
    simulation: &Simulation,
    vms: &[Rc<Vm>],
    after: Duration,
    cause: DisturbanceCause,
) {
    vms.iter()
        .for_each(|vm| simulation.history.record_disturbance(vm.index, cause));
    tokio::time::sleep(after).await;
    for vm in vms.iter().filter(|vm| !vm.is_running()) {
        simulation.history.record_disturbance(vm.index, cause);
        vm.start(false);
        simulation.apply_server_cuts(std::slice::from_ref(vm));
    }
}

async fn apply_to_vms(
    simulation: &Simulation,
    vms: &[Rc<Vm>],
    duration: Duration,
    cause: DisturbanceCause,
    set_fault: fn(&Vm, bool),
) {
    for vm in vms {
        set_fault(vm, true);
    }
    let step = Duration::from_millis(500);
    let mut left = duration;
    while !left.is_zero() {
        vms.iter()
            .for_each(|vm| simulation.history.record_disturbance(vm.index, cause));
        tokio::time::sleep(step.min(left)).await;
        left = left.saturating_sub(step);
    }
    for vm in vms {
        simulation.history.record_disturbance(vm.index, cause);
        set_fault(vm, false);
    }
}

async fn stop_one_by_one(simulation: &Rc<Simulation>, disruption: &Disruption) {
    for vm in choose_vms(simulation, disruption.share) {
        let simulation = simulation.clone();
        tokio::task::spawn_local(async move {
            let now = simulation.history.now();
            simulation
                .history
                .planned_stops
                .borrow_mut()
                .push((vm.index, now));
            simulation
                .history
                .record_disturbance(vm.index, DisturbanceCause::PlannedStop);
            vm.stop();
            while vm.is_running() {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
            vm.kill();
            restart_after(
                &simulation,
                &[vm],
                RESTART_DELAY,
                DisturbanceCause::PlannedStop,
            )
            .await;
        });
        tokio::time::sleep(STOP_INTERVAL).await;
    }
}

fn choose_servers(simulation: &Simulation, disruption: &Disruption) -> Vec<Rc<Server>> {
    let servers = simulation.servers.borrow();
    let of_service = |server: &&Rc<Server>| {
        let service = disruption.service.as_deref();
        service.is_none_or(|service| server.service.name == service)
    };
    let is_serving = |server: &&Rc<Server>| !server.has_stopped.get() && !server.is_draining.get();
    let all: Vec<_> = servers
        .iter()
        .filter(is_serving)
        .filter(of_service)
        .collect();
    let count = (disruption.share * all.len() as f64).round() as usize;
    let mut rng = fastrand::Rng::with_seed(fastrand::u64(..));
    let chosen = rng.choose_multiple(all, count);
    chosen.into_iter().cloned().collect()
}

async fn apply_to_servers(
    simulation: &Simulation,
    disruption: &Disruption,
    set_fault: impl Fn(&Server, bool),
) {
    let servers = choose_servers(simulation, disruption);
    servers.iter().for_each(|server| set_fault(server, true));
    tokio::time::sleep(disruption.duration()).await;
    servers.iter().for_each(|server| set_fault(server, false));
}

/// Stops servers without notice and later starts others in their place.
pub async fn crash_servers(simulation: &Rc<Simulation>, servers: &[Rc<Server>]) {
    for server in servers {
        simulation.stop_server(server);
    }
    tokio::time::sleep(REPLACED_SERVER_AFTER).await;
    for server in servers {
        simulation.start_server(&server.service.name, server.zone, true);
    }
    tokio::time::sleep(ENTRY_EXPIRES_AFTER.saturating_sub(REPLACED_SERVER_AFTER)).await;
    for server in servers {
        simulation.store.0.remove_backend_server(&server.name);
    }
}

async fn drain_servers(simulation: &Rc<Simulation>, disruption: &Disruption) {
    let servers = choose_servers(simulation, disruption);
    for server in &servers {
        server.is_draining.set(true);
    }
    while simulation.store.0.silent.get() {
        tokio::time::sleep(DRAIN_WRITE_INTERVAL).await;
    }
    for server in &servers {
        simulation.operator.write_server(server);
    }
    let drain = Duration::from_millis(simulation.deployment.bounds.drain_ms);
    tokio::time::sleep(drain + SERVES_AFTER_DRAIN).await;
    for server in &servers {
        simulation.stop_server(server);
        simulation.store.0.remove_backend_server(&server.name);
        simulation.start_server(&server.service.name, server.zone, true);
    }
}

fn start_servers(simulation: &Simulation, disruption: &Disruption) {
    for server in choose_servers(simulation, disruption) {
        simulation.start_server(&server.service.name, server.zone, true);
    }
}

async fn silence_store(simulation: &Simulation, duration: Duration) {
    let from = simulation.history.now();
    simulation.store.0.silent.set(true);
    let at = {
        let mut disturbances = simulation.history.store_disturbances.borrow_mut();
        disturbances.push((from, Duration::MAX));
        disturbances.len() - 1
    };
    tokio::time::sleep(duration).await;
    simulation.store.0.silent.set(false);
    simulation.history.store_disturbances.borrow_mut()[at].1 = simulation.history.now();
}

async fn name_limits(simulation: &Simulation, disruption: &Disruption) {
    let servers = choose_servers(simulation, disruption);
    let per_s = disruption.strength;
    for server in &servers {
        server.faults.limit.set(Some(per_s));
        simulation
            .history
            .record_named_limit(server.index, Some(per_s));
    }
    tokio::time::sleep(disruption.duration()).await;
    for server in &servers {
        // A later disruption may have set another limit.
        if server.faults.limit.get() == Some(per_s) {
            server.faults.limit.set(None);
            simulation.history.record_named_limit(server.index, None);
        }
    }
}

/// Restores the store from a snapshot of the given age; the operator and the servers then write again what it lacks.
async fn rewind_store(simulation: &Simulation, age: Duration) {
    let snapshot = simulation.store.0.snapshot();
    tokio::time::sleep(age).await;
    let from = simulation.history.now();
    simulation.store.0.rewind(snapshot);
    tokio::time::sleep(REWRITE_DELAY).await;
    simulation.operator.rewrite();
    let servers = simulation.servers.borrow().clone();
    for server in &servers {
        match server.has_stopped.get() {
            true => simulation.store.0.remove_backend_server(&server.name),
            false => simulation.operator.write_server(server),
        }
    }
    let mut disturbances = simulation.history.store_disturbances.borrow_mut();
    disturbances.push((from, simulation.history.now()));
}
