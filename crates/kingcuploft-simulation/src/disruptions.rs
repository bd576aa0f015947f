//! Applies the disruptions of a day to the simulation.

use std::rc::Rc;
use std::time::Duration;

use crate::day::{Disruption, DisruptionKind};
use crate::history::{CutFromServers, DisturbanceCause};
use crate::readiness;
use crate::server::Server;
use crate::simulation::Simulation;
use crate::store_disruptions;
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

/// The share of the requests that a server refuses that asks for pauses.
const PAUSING_REFUSED_SHARE: f64 = 0.5;

/// The time between the removals of two servers' entries.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(100);

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
        DisruptionKind::ZoneKilled => {
            let vms = choose_vms_of_a_zone(simulation, disruption.share);
            vms.iter().for_each(|vm| vm.kill());
            let restart_delay = disruption.duration().max(RESTART_DELAY);
            restart_after(simulation, &vms, restart_delay, DisturbanceCause::Fault).await;
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
        DisruptionKind::StoreRewinds => {
            store_disruptions::rewind(simulation, disruption.duration()).await
        }
        DisruptionKind::ServersLeave => drain_servers(simulation, disruption).await,
        DisruptionKind::ServersRemoved => remove_servers(simulation, disruption).await,
        DisruptionKind::ServersStart => start_servers(simulation, disruption),
        DisruptionKind::StoreSilent => {
            store_disruptions::silence(simulation, disruption.duration()).await;
        }
        DisruptionKind::StoreCutsWatches => simulation.store.0.cut_watches(),
        DisruptionKind::StoreLosesAnswers => {
            store_disruptions::lose_answers(simulation, disruption.duration()).await;
        }
        DisruptionKind::StorePages => store_disruptions::page_lists(simulation, disruption).await,
        DisruptionKind::ForeignEntries => {
            let count = disruption.strength as usize;
            simulation.store.0.write_foreign_entries(count);
        }
        DisruptionKind::StoreFailsLists => {
            store_disruptions::fail_lists(simulation, disruption).await;
        }
        DisruptionKind::StoreTurnsAway => {
            let vms = choose_vms(simulation, disruption.share);
            let cause = DisturbanceCause::CutOff;
            let turn_away = Vm::turn_away_at_store;
            apply_to_vms(simulation, &vms, disruption.duration(), cause, turn_away).await;
        }
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
    simulation: &Rc<Simulation>,
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
        let watch = readiness::watch_start(simulation.clone(), vm.clone());
        tokio::task::spawn_local(watch);
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
    let is_serving = |server: &&Rc<Server>| {
        !server.has_stopped.get() && !server.is_draining.get() && !server.is_removed.get()
    };
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
    tokio::time::sleep(drain_time(simulation) + SERVES_AFTER_DRAIN).await;
    for server in &servers {
        simulation.stop_server(server);
        simulation.store.0.remove_backend_server(&server.name);
        simulation.start_server(&server.service.name, server.zone, true);
    }
}

fn drain_time(simulation: &Simulation) -> Duration {
    Duration::from_millis(simulation.deployment.bounds.drain_ms)
}

/// Removes the entries of servers, one shortly after the other; they say nothing, and serve on for a while.
async fn remove_servers(simulation: &Rc<Simulation>, disruption: &Disruption) {
    for server in choose_servers(simulation, disruption) {
        while simulation.store.0.silent.get() {
            tokio::time::sleep(DRAIN_WRITE_INTERVAL).await;
        }
        simulation.operator.remove_server(&server);
        let simulation = simulation.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(drain_time(&simulation) + SERVES_AFTER_DRAIN).await;
            simulation.stop_server(&server);
            simulation.start_server(&server.service.name, server.zone, true);
        });
        tokio::time::sleep(REMOVAL_INTERVAL).await;
    }
}

fn start_servers(simulation: &Simulation, disruption: &Disruption) {
    for server in choose_servers(simulation, disruption) {
        simulation.start_server(&server.service.name, server.zone, true);
    }
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
