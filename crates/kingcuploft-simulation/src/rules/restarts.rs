//! The rule on VMs that start again.

use std::time::Duration;

use kingcuploft::utils::HashMap;

use super::{BoundUsage, IndexedHistory, Restarts, Rule};
use crate::simulation::DayResult;

/// How soon a VM that starts must be ready while it can reach one that is, or a store that lists what it needs.
const READY_WITHIN: Duration = Duration::from_secs(2);

/// Returns the longest time for which a VM that started again refused callers while it could reach one VM that knew all
/// it lacked, or a store that listed that at least in part, as a share of the allowed time.
pub(super) fn restarted_vms_serve(history: &IndexedHistory<'_>) -> BoundUsage {
    let mut greatest = BoundUsage::none(Rule::RestartedVmsServe);
    for start in history.raw.vm_starts.borrow().iter() {
        let used = start.waited.as_secs_f64() / READY_WITHIN.as_secs_f64();
        greatest = greatest.or_greater(used, || {
            let (vm, at, waited) = (start.vm, start.at, start.waited);
            let informed = start.informed.unwrap_or_default();
            format!("VM {vm} started at {at:?} and was not ready for {waited:?} while VM {informed} was and could be reached")
        });
        let used = start.waited_for_store.as_secs_f64() / READY_WITHIN.as_secs_f64();
        greatest = greatest.or_greater(used, || {
            let (vm, at, waited) = (start.vm, start.at, start.waited_for_store);
            format!("VM {vm} started at {at:?} and was not ready for {waited:?} while the store listed what it needs")
        });
    }
    greatest
}

/// Measures how VMs that start again become ready, and what that costs the store.
pub(super) fn measure(result: &DayResult) -> Restarts {
    let starts = result.history.vm_starts.borrow();
    let ready_after = starts.iter().filter_map(|start| start.ready_after);
    let last = ready_after.clone().max().unwrap_or_default();
    let calls = result.history.store_calls.borrow();
    let length_s = result.history.ended_at.get().as_secs_f64();
    let vm_seconds = result.deployment.vms() as f64 * length_s;
    let mut in_second: HashMap<(usize, u64), usize> = HashMap::default();
    for (vm, at) in calls.iter() {
        *in_second.entry((*vm, at.as_secs())).or_default() += 1;
    }
    Restarts {
        starts: starts.len(),
        ready: ready_after.count(),
        last_ready_after_ms: last.as_millis() as u64,
        store_calls_per_vm_s: calls.len() as f64 / vm_seconds.max(1.0),
        most_store_calls_in_s: in_second.into_values().max().unwrap_or(0),
    }
}
