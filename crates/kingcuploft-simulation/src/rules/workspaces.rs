//! Rules on workspaces: their quotas and their keys.

use std::time::Duration;

use super::{BoundUsage, IndexedHistory, Rule};
use crate::deployment::CallerWorkspace;
use crate::history::AcceptedWrite;

/// Returns the most requests of a workspace that ran within the window, over all VMs, as a share of those allowed.
pub(super) fn quotas(history: &IndexedHistory<'_>) -> BoundUsage {
    let mut greatest = BoundUsage::none(Rule::Quotas);
    let bounds = history.deployment.bounds.quotas();
    for (index, workspace) in history.deployment.workspaces.iter().enumerate() {
        let ran = first_runs(history, index);
        for (at, (from, _)) in ran.iter().enumerate() {
            let until = *from + bounds.window;
            let within = ran[at..].iter().take_while(|(sent, _)| *sent < until);
            let count = within.filter(|(_, ran_at)| *ran_at < until).count();
            let share = quota_share(history, *from);
            let allowed = allowed(workspace, share, bounds.window.as_secs_f64());
            let allowed = allowed * (1.0 + bounds.overage) + bounds.slack;
            greatest = greatest.or_greater(count as f64 / allowed, || {
                let name = &workspace.name;
                format!("{name}: {count} requests from {from:?}, {allowed:.1} allowed")
            });
        }
    }
    greatest
}

fn allowed(workspace: &CallerWorkspace, share: f64, window_s: f64) -> f64 {
    share * (workspace.per_s * window_s + workspace.burst)
}

/// Returns when the requests of a workspace that ran were sent, and when they first ran, in the order of sending.
fn first_runs(history: &IndexedHistory<'_>, workspace: usize) -> Vec<(Duration, Duration)> {
    let by_request = history.arrivals_by_request();
    let of_workspace = history.requests.iter();
    let of_workspace = of_workspace.filter(|request| request.workspace == Some(workspace));
    let runs = of_workspace.filter_map(|request| {
        let arrivals = by_request.get(&request.id)?.iter();
        let ran_at = arrivals.filter(|arrival| arrival.ran.get()).map(|a| a.at);
        Some((request.at, ran_at.min()?))
    });
    let mut runs: Vec<_> = runs.collect();
    runs.sort_unstable();
    runs
}

/// Returns the share of the first quota that binds a window: a lower one does so a window after all VMs must know it.
fn quota_share(history: &IndexedHistory<'_>, from: Duration) -> f64 {
    let bounds = &history.deployment.bounds;
    let wait = Duration::from_millis(bounds.configuration_ms + bounds.contact_ms);
    let writes = history.raw.accepted_writes.borrow();
    let binding = writes.iter().filter_map(|(at, write)| match write {
        AcceptedWrite::QuotasLowered { share } if from >= *at + wait + bounds.quotas().window => {
            let all_undisturbed = (0..history.deployment.vms()).all(|vm| {
                let until = *at + wait;
                history.raw.was_undisturbed(vm, until, wait)
            });
            all_undisturbed.then_some(*share)
        }
        _ => None,
    });
    binding.fold(1.0, f64::min)
}

/// Counts the requests with a key that was taken away that ran, sent to an undisturbed VM later than a configuration must
/// be in force.
pub(super) fn taken_keys(history: &IndexedHistory<'_>) -> BoundUsage {
    let bounds = &history.deployment.bounds;
    let in_force_after = Duration::from_millis(bounds.configuration_ms);
    let by_request = history.arrivals_by_request();
    let writes = history.raw.accepted_writes.borrow();
    let mut ran = Vec::new();
    for (at, write) in writes.iter() {
        let AcceptedWrite::KeysTaken { generation } = write else {
            continue;
        };
        let late = history.requests.iter().filter(|request| {
            let undisturbed_time = bounds.undisturbed_time();
            request.key_generation < *generation
                && request.at > *at + in_force_after
                && history
                    .raw
                    .was_undisturbed(request.vm, request.at, undisturbed_time)
        });
        ran.extend(late.filter(|request| {
            let arrivals = by_request.get(&request.id);
            arrivals.is_some_and(|all| all.iter().any(|arrival| arrival.ran.get()))
        }));
    }
    let what = ran.first().map_or_else(String::new, |request| {
        format!(
            "request {:016x} of {:?} at VM {}",
            request.id, request.at, request.vm
        )
    });
    BoundUsage::of_violations(Rule::TakenKeys, ran.len(), what)
}
