//! Watches VMs that start again until they are ready, as a check of their readiness sees them.

use std::rc::Rc;
use std::time::Duration;

use crate::history::VmStart;
use crate::simulation::Simulation;
use crate::vm::Vm;

/// How often the readiness of a VM is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Records the start of a VM now, and how long it takes to be ready, until it is or ends.
pub(crate) async fn watch_start(simulation: Rc<Simulation>, vm: Rc<Vm>) {
    let history = simulation.history.clone();
    let (at, start) = (history.now(), vm.starts());
    let entry = {
        let mut starts = history.vm_starts.borrow_mut();
        starts.push(VmStart {
            vm: vm.index,
            at,
            ready_after: None,
            waited: Duration::ZERO,
            informed: None,
            waited_for_store: Duration::ZERO,
        });
        starts.len() - 1
    };
    let mut informed_since: Vec<Option<Duration>> = vec![None; simulation.vms.len()];
    let mut store_since = None;
    while vm.is_running() && vm.starts() == start {
        if vm.is_ready() {
            let ready_after = history.now() - at;
            history.vm_starts.borrow_mut()[entry].ready_after = Some(ready_after);
            return;
        }
        note_informed(&simulation, &vm, &mut informed_since);
        note_wait(&simulation, entry, &informed_since);
        let is_listed = vm.is_in_contact() && vm.lists_what_it_needs();
        store_since = is_listed.then(|| store_since.unwrap_or(history.now()));
        note_wait_for_store(&simulation, entry, store_since);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Notes since when each VM has been ready and within this one's reach.
fn note_informed(simulation: &Simulation, vm: &Vm, informed_since: &mut [Option<Duration>]) {
    let now = simulation.history.now();
    let finds_others = vm.is_in_contact() && (vm.lists_zones() || reaches_seed(simulation, vm));
    for (other, since) in simulation.vms.iter().zip(informed_since) {
        let is_informed = finds_others && other.is_in_contact() && other.is_ready();
        *since = is_informed.then(|| since.unwrap_or(now));
    }
}

/// Returns whether another VM that all are told of is ready and can be reached.
fn reaches_seed(simulation: &Simulation, vm: &Vm) -> bool {
    let mut seeds = simulation.deployment.seeds();
    seeds.any(|seed| {
        let seed = &simulation.vms[seed];
        seed.index != vm.index && seed.is_in_contact() && seed.is_ready()
    })
}

/// Notes how long the VM of a start has waited beside the one that has been ready and within reach for longest.
fn note_wait(simulation: &Simulation, entry: usize, informed_since: &[Option<Duration>]) {
    let known = informed_since.iter().enumerate();
    let known = known.filter_map(|(vm, since)| Some((vm, (*since)?)));
    let Some((informed, since)) = known.min_by_key(|(_, since)| *since) else {
        return;
    };
    let waited = simulation.history.now() - since;
    let start = &mut simulation.history.vm_starts.borrow_mut()[entry];
    if waited >= start.waited {
        (start.waited, start.informed) = (waited, Some(informed));
    }
}

/// Notes how long the VM of a start has waited while the store has listed what it needs.
fn note_wait_for_store(simulation: &Simulation, entry: usize, since: Option<Duration>) {
    let waited = since.map(|since| simulation.history.now() - since);
    let start = &mut simulation.history.vm_starts.borrow_mut()[entry];
    start.waited_for_store = start.waited_for_store.max(waited.unwrap_or_default());
}
