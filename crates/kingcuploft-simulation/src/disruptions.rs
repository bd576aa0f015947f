//! Applies the disruptions of a day to the simulation.

use std::rc::Rc;
use std::time::Duration;

use crate::day::{Disruption, DisruptionKind};
use crate::history::DisturbanceCause;
use crate::server::Server;
use crate::simulation::Simulation;
use crate::vm::Vm;

/// How long a killed VM takes at least to restart.
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

/// How long a draining server keeps serving after the drain time that is allowed to the VMs.
const SERVES_AFTER_DRAIN: Duration = Duration::from_millis(1500);

/// Applies a disruption and returns when it is over.
pub async fn apply(world: &Rc<Simulation>, disruption: &Disruption) {
    match disruption.kind {
        DisruptionKind::VmsKilled => {
            let vms = choose_vms(world, disruption.share);
            vms.iter().for_each(|vm| vm.kill());
            restart_after(
                world,
                &vms,
                disruption.duration().max(RESTART_DELAY),
                DisturbanceCause::Fault,
            )
            .await;
        }
        DisruptionKind::VmsLosePower => {
            let vms = choose_vms(world, disruption.share);
            vms.iter().for_each(|vm| vm.lose_power());
            restart_after(
                world,
                &vms,
                disruption.duration().max(RESTART_DELAY),
                DisturbanceCause::Fault,
            )
            .await;
        }
        DisruptionKind::VmsFrozen => {
            let vms = choose_vms(world, disruption.share);
            apply_to_vms(world, &vms, disruption.duration(), Vm::freeze).await;
        }
        DisruptionKind::VmsCutOff => {
            let vms = choose_vms(world, disruption.share);
            apply_to_vms(world, &vms, disruption.duration(), Vm::cut_off).await;
        }
        DisruptionKind::VmsStopped => stop_one_by_one(world, disruption).await,
        DisruptionKind::ServersRefuse => {
            let strength = disruption.strength;
            apply_to_servers(world, disruption, |server, is_on| {
                server
                    .faults
                    .refused_share
                    .set(if is_on { strength } else { 0.0 });
            })
            .await;
        }
        DisruptionKind::ServersLoseAnswers => {
            let strength = disruption.strength;
            apply_to_servers(world, disruption, |server, is_on| {
                server
                    .faults
                    .lost_answer_share
                    .set(if is_on { strength } else { 0.0 });
            })
            .await;
        }
        DisruptionKind::ServersSlow => {
            let strength = disruption.strength;
            apply_to_servers(world, disruption, |server, is_on| {
                server
                    .faults
                    .slow_factor
                    .set(if is_on { strength } else { 0.0 });
            })
            .await;
        }
        DisruptionKind::ServersCrash => {
            crash_servers(world, &choose_servers(world, disruption)).await
        }
        DisruptionKind::ServersNameLimits => name_limits(world, disruption).await,
        DisruptionKind::DeadlyRequests => {
            world.deadly_share.set(disruption.strength);
            tokio::time::sleep(disruption.duration()).await;
            world.deadly_share.set(0.0);
        }
        DisruptionKind::StoreRewinds => rewind_store(world, disruption.duration()).await,
        DisruptionKind::ServersLeave => drain_servers(world, disruption).await,
        DisruptionKind::ServersStart => start_servers(world, disruption),
        DisruptionKind::StoreSilent => silence_store(world, disruption.duration()).await,
        DisruptionKind::Crowd => {
            let usual = world.load_factor.replace(disruption.strength);
            tokio::time::sleep(disruption.duration()).await;
            world.load_factor.set(usual.min(1.0));
        }
        DisruptionKind::ConfigurationChange => {
            world.operator.write_next_configuration();
        }
        DisruptionKind::ZoneEvacuated => {
            let zone = fastrand::usize(0..world.deployment.zones.len());
            world.operator.set_evacuated(zone, true);
            tokio::time::sleep(disruption.duration()).await;
            world.operator.set_evacuated(zone, false);
        }
    }
}

fn choose_vms(world: &Simulation, share: f64) -> Vec<Rc<Vm>> {
    let running: Vec<_> = world.vms.iter().filter(|vm| vm.is_running()).collect();
    let count = (share * world.vms.len() as f64).round() as usize;
    let mut rng = fastrand::Rng::with_seed(fastrand::u64(..));
    let chosen = rng.choose_multiple(running, count);
    chosen.into_iter().cloned().collect()
}

async fn restart_after(
    world: &Simulation,
    vms: &[Rc<Vm>],
    after: Duration,
    cause: DisturbanceCause,
) {
    vms.iter()
        .for_each(|vm| world.history.record_disturbance(vm.index, cause));
    tokio::time::sleep(after).await;
    for vm in vms.iter().filter(|vm| !vm.is_running()) {
        world.history.record_disturbance(vm.index, cause);
        vm.start(false);
    }
}

async fn apply_to_vms(world: &Simulation, vms: &[Rc<Vm>], lasts: Duration, act: fn(&Vm, bool)) {
    for vm in vms {
        act(vm, true);
    }
    let step = Duration::from_millis(500);
    let mut left = lasts;
    while !left.is_zero() {
        vms.iter().for_each(|vm| {
            world
                .history
                .record_disturbance(vm.index, DisturbanceCause::Fault)
        });
        tokio::time::sleep(step.min(left)).await;
        left = left.saturating_sub(step);
    }
    for vm in vms {
        world
            .history
            .record_disturbance(vm.index, DisturbanceCause::Fault);
        act(vm, false);
    }
}

async fn stop_one_by_one(world: &Rc<Simulation>, disruption: &Disruption) {
    for vm in choose_vms(world, disruption.share) {
        let world = world.clone();
        tokio::task::spawn_local(async move {
            let now = world.history.now();
            world
                .history
                .planned_stops
                .borrow_mut()
                .push((vm.index, now));
            world
                .history
                .record_disturbance(vm.index, DisturbanceCause::PlannedStop);
            vm.stop();
            while vm.is_running() {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
            vm.kill();
            restart_after(&world, &[vm], RESTART_DELAY, DisturbanceCause::PlannedStop).await;
        });
        tokio::time::sleep(STOP_INTERVAL).await;
    }
}

fn choose_servers(world: &Simulation, disruption: &Disruption) -> Vec<Rc<Server>> {
    let servers = world.servers.borrow();
    let of_service = |server: &&Rc<Server>| {
        let service = disruption.service.as_deref();
        service.is_none_or(|service| server.service.name == service)
    };
    let there = |server: &&Rc<Server>| !server.has_stopped.get() && !server.is_draining.get();
    let all: Vec<_> = servers.iter().filter(there).filter(of_service).collect();
    let count = (disruption.share * all.len() as f64).round() as usize;
    let mut rng = fastrand::Rng::with_seed(fastrand::u64(..));
    let chosen = rng.choose_multiple(all, count);
    chosen.into_iter().cloned().collect()
}

async fn apply_to_servers(
    world: &Simulation,
    disruption: &Disruption,
    act: impl Fn(&Server, bool),
) {
    let servers = choose_servers(world, disruption);
    servers.iter().for_each(|server| act(server, true));
    tokio::time::sleep(disruption.duration()).await;
    servers.iter().for_each(|server| act(server, false));
}

/// Stops servers without notice and later starts others in their place.
pub async fn crash_servers(world: &Rc<Simulation>, servers: &[Rc<Server>]) {
    for server in servers {
        world.stop_server(server);
    }
    tokio::time::sleep(REPLACED_SERVER_AFTER).await;
    for server in servers {
        world.start_server(&server.service.name, server.zone, true);
    }
    tokio::time::sleep(ENTRY_EXPIRES_AFTER.saturating_sub(REPLACED_SERVER_AFTER)).await;
    for server in servers {
        world.store.0.remove_backend_server(&server.name);
    }
}

async fn drain_servers(world: &Rc<Simulation>, disruption: &Disruption) {
    let servers = choose_servers(world, disruption);
    for server in &servers {
        server.is_draining.set(true);
        world.operator.write_server(server);
    }
    let drain = Duration::from_millis(world.deployment.bounds.drain_ms);
    tokio::time::sleep(drain + SERVES_AFTER_DRAIN).await;
    for server in &servers {
        world.stop_server(server);
        world.store.0.remove_backend_server(&server.name);
        world.start_server(&server.service.name, server.zone, true);
    }
}

fn start_servers(world: &Simulation, disruption: &Disruption) {
    for server in choose_servers(world, disruption) {
        world.start_server(&server.service.name, server.zone, true);
    }
}

async fn silence_store(world: &Simulation, lasts: Duration) {
    let from = world.history.now();
    world.store.0.silent.set(true);
    let at = {
        let mut disturbed = world.history.store_disturbances.borrow_mut();
        disturbed.push((from, Duration::MAX));
        disturbed.len() - 1
    };
    tokio::time::sleep(lasts).await;
    world.store.0.silent.set(false);
    world.history.store_disturbances.borrow_mut()[at].1 = world.history.now();
}

async fn name_limits(world: &Simulation, disruption: &Disruption) {
    let servers = choose_servers(world, disruption);
    let per_s = disruption.strength;
    for server in &servers {
        server.faults.limit.set(Some(per_s));
        world.history.record_named_limit(server.index, Some(per_s));
    }
    tokio::time::sleep(disruption.duration()).await;
    for server in &servers {
        // A later disruption may have set another limit.
        if server.faults.limit.get() == Some(per_s) {
            server.faults.limit.set(None);
            world.history.record_named_limit(server.index, None);
        }
    }
}

/// Restores the store from a snapshot of the given age; the operator and the servers then write again what it lacks.
async fn rewind_store(world: &Simulation, age: Duration) {
    let copy = world.store.0.snapshot();
    tokio::time::sleep(age).await;
    let from = world.history.now();
    world.store.0.rewind(copy);
    tokio::time::sleep(REWRITE_DELAY).await;
    world.operator.rewrite();
    let servers = world.servers.borrow().clone();
    for server in &servers {
        match server.has_stopped.get() {
            true => world.store.0.remove_backend_server(&server.name),
            false => world.operator.write_server(server),
        }
    }
    let mut disturbed = world.history.store_disturbances.borrow_mut();
    disturbed.push((from, world.history.now()));
}
