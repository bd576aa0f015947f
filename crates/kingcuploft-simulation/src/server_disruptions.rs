//! Disruptions of the backend servers.

use std::rc::Rc;
use std::time::Duration;

use crate::day::Disruption;
use crate::server::Server;
use crate::simulation::Simulation;

/// How long after the end of a server its entry expires.
const ENTRY_EXPIRES_AFTER: Duration = Duration::from_millis(4500);

/// How long after the end of a server another one starts in its place.
const REPLACED_SERVER_AFTER: Duration = Duration::from_millis(3000);

/// The time between the removals of two servers' entries.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(100);

/// How often a draining server tries to write its entry while the store is silent.
const DRAIN_WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// How long a draining server keeps serving after the drain time that is allowed to the VMs.
const SERVES_AFTER_DRAIN: Duration = Duration::from_millis(1500);

pub(crate) fn choose_servers(simulation: &Simulation, disruption: &Disruption) -> Vec<Rc<Server>> {
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

pub(crate) async fn apply_to_servers(
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
pub(crate) async fn crash_servers(simulation: &Rc<Simulation>, servers: &[Rc<Server>]) {
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

pub(crate) async fn drain_servers(simulation: &Rc<Simulation>, disruption: &Disruption) {
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
pub(crate) async fn remove_servers(simulation: &Rc<Simulation>, disruption: &Disruption) {
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

pub(crate) fn start_servers(simulation: &Simulation, disruption: &Disruption) {
    for server in choose_servers(simulation, disruption) {
        simulation.start_server(&server.service.name, server.zone, true);
    }
}

pub(crate) async fn name_limits(simulation: &Simulation, disruption: &Disruption) {
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
