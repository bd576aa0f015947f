//! Disruptions of the store.

use std::time::Duration;

use kingcuploft_entry::store::Collection;

use crate::day::Disruption;
use crate::list_fault::ListedCollection;
use crate::simulation::Simulation;

/// How long after a restore from a snapshot the operator and the servers write again what the store lacks.
const REWRITE_DELAY: Duration = Duration::from_millis(600);

/// How often it is checked whether answers were lost.
const LOSS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Loses the answers to the watches that wait for the next change of one collection, if it changes within this time.
pub(crate) async fn lose_answers(simulation: &Simulation, within: Duration) {
    let collection = Collection::WATCHED[fastrand::usize(0..Collection::WATCHED.len())];
    let answers = &simulation.store.0.lost_answers;
    let until = simulation.history.now() + within;
    answers.lose_next(collection);
    while answers.is_losing(collection) && simulation.history.now() < until {
        tokio::time::sleep(LOSS_POLL_INTERVAL).await;
    }
    if !answers.stop_losing(collection) {
        let now = simulation.history.now();
        let mut disturbances = simulation.history.store_disturbances.borrow_mut();
        disturbances.push((now, now));
    }
}

/// Has the store answer no calls for a while.
pub(crate) async fn silence(simulation: &Simulation, duration: Duration) {
    simulation.store.0.silent.set(true);
    let at = begin_disturbance(simulation);
    tokio::time::sleep(duration).await;
    simulation.store.0.silent.set(false);
    end_disturbance(simulation, at);
}

/// Restores the store from a snapshot of the given age; the operator and the servers then write again what it lacks.
pub(crate) async fn rewind(simulation: &Simulation, age: Duration) {
    let snapshot = simulation.store.0.snapshot();
    tokio::time::sleep(age).await;
    let from = simulation.history.now();
    simulation.store.0.rewind(snapshot);
    tokio::time::sleep(REWRITE_DELAY).await;
    simulation.operator.rewrite();
    let servers = simulation.servers.borrow().clone();
    for server in &servers {
        match server.has_stopped.get() || server.is_removed.get() {
            true => simulation.store.0.remove_backend_server(&server.name),
            false => simulation.operator.write_server(server),
        }
    }
    let mut disturbances = simulation.history.store_disturbances.borrow_mut();
    disturbances.push((from, simulation.history.now()));
}

/// Has the store list its entries in pages for a while.
pub(crate) async fn page_lists(simulation: &Simulation, disruption: &Disruption) {
    let limit = disruption.strength as usize;
    let lists = &simulation.store.0.lists;
    lists.page_limit.set(limit);
    tokio::time::sleep(disruption.duration()).await;
    // A later disruption may have set another limit.
    if lists.page_limit.get() == limit {
        lists.page_limit.set(0);
    }
}

/// Has the lists of one collection fail for a while.
pub(crate) async fn fail_lists(simulation: &Simulation, disruption: &Disruption) {
    let all = ListedCollection::ALL;
    let drawn = || all[fastrand::usize(0..all.len())];
    let collection = disruption.collection.unwrap_or_else(drawn).collection();
    let lists = &simulation.store.0.lists;
    lists.begin_fault(collection, disruption.lists);
    // A VM that starts can't know of an evacuation that its list hides; all else it can notice or does without.
    let is_hidden = collection == Collection::Evacuations && disruption.lists.hides_entries();
    let hidden = is_hidden.then(|| begin_disturbance(simulation));
    tokio::time::sleep(disruption.duration()).await;
    lists.end_fault(collection, disruption.lists);
    if let Some(at) = hidden {
        end_disturbance(simulation, at);
    }
}

/// Records that the store is disturbed from now on; returns the index of the disturbance.
fn begin_disturbance(simulation: &Simulation) -> usize {
    let from = simulation.history.now();
    let mut disturbances = simulation.history.store_disturbances.borrow_mut();
    disturbances.push((from, Duration::MAX));
    disturbances.len() - 1
}

/// Records that a disturbance of the store ends now.
fn end_disturbance(simulation: &Simulation, at: usize) {
    simulation.history.store_disturbances.borrow_mut()[at].1 = simulation.history.now();
}
