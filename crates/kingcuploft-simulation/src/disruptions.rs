//! Applies the disruptions of a day to the simulation.

use std::rc::Rc;
use std::time::Duration;

use crate::day::{Disruption, DisruptionKind};
use crate::history::{CutFromServers, DisturbanceCause};
use crate::readiness;
use crate::server_disruptions::{
    apply_to_servers, choose_servers, crash_servers, drain_servers, name_limits, remove_servers,
    start_servers,
};
use crate::simulation::Simulation;
use crate::store_disruptions;
use crate::vm::Vm;

/// How long after its end a killed or stopped VM restarts at the earliest.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The pause between two planned stops.
const STOP_INTERVAL: Duration = Duration::from_millis(700);

/// How often a stopping VM is checked for its end.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The share of the requests that a server refuses that asks for pauses.
const PAUSING_REFUSED_SHARE: f64 = 0.5;

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
