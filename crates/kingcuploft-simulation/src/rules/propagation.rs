//! Rules on how soon the VMs act on what the store accepted.

use std::time::Duration;

use super::{BoundUsage, IndexedHistory, Rule};
use crate::history::{AcceptedWrite, Arrival};

/// A request that a VM sent just before the bound may still be in flight for this long.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(2);

/// Returns how late the last arrival after an accepted write was, as a share of the bound, and when it was. Counts only
/// arrivals from VMs that had run undisturbed.
fn lateness<'a>(
    case: &IndexedHistory<'_>,
    accepted: Duration,
    until: Duration,
    arrivals: impl Iterator<Item = &'a Arrival>,
    bound_ms: u64,
) -> Option<(f64, Duration)> {
    let bound = Duration::from_millis(bound_ms);
    let contact = case.deployment.bounds.undisturbed_time();
    let in_touch = arrivals.filter(|arrival| {
        arrival.at >= accepted
            && arrival.at < until
            && case
                .history
                .was_undisturbed(arrival.vm, arrival.at, contact)
    });
    let last = in_touch.map(|arrival| arrival.at).max()?;
    let late = last.saturating_sub(accepted + IN_FLIGHT_TIME);
    Some((late.as_secs_f64() / bound.as_secs_f64(), last))
}

/// Returns for how long draining servers still got requests, as a share of the allowed time.
pub(super) fn draining(case: &IndexedHistory<'_>) -> BoundUsage {
    let mut nearest = BoundUsage::none(Rule::Draining);
    for (at, accepted) in case.history.accepted_writes.borrow().iter() {
        let AcceptedWrite::ServerDraining { server } = accepted else {
            continue;
        };
        let arrivals = case.arrivals.iter().filter(|a| a.server == *server);
        let bound_ms = case.deployment.bounds.drain_ms;
        if let Some((used, last)) = lateness(case, *at, Duration::MAX, arrivals, bound_ms) {
            nearest = nearest.or_greater(used, || {
                format!("server {server} left at {at:?} and got a request at {last:?}")
            });
        }
    }
    nearest
}

/// Returns for how long evacuated zones still got requests, as a share of the allowed time.
pub(super) fn evacuations(case: &IndexedHistory<'_>) -> BoundUsage {
    let mut nearest = BoundUsage::none(Rule::Evacuations);
    let all = case.history.accepted_writes.borrow();
    let servers = case.history.servers.borrow();
    for (at, accepted) in all.iter() {
        let AcceptedWrite::ZoneEvacuated { zone } = accepted else {
            continue;
        };
        let back = all.iter().find(|(back_at, back)| {
            back_at > at && *back == AcceptedWrite::ZoneReinstated { zone: *zone }
        });
        let until = back.map_or(Duration::MAX, |(back_at, _)| *back_at);
        let of_zone = |a: &&Arrival| servers.get(a.server).is_some_and(|s| s.zone == *zone);
        let arrivals = case.arrivals.iter().filter(of_zone);
        let bound_ms = case.deployment.bounds.evacuation_ms;
        if let Some((used, last)) = lateness(case, *at, until, arrivals, bound_ms) {
            nearest = nearest.or_greater(used, || {
                format!("zone {zone} was emptied at {at:?} and got a request at {last:?}")
            });
        }
    }
    nearest
}

/// Returns for how long VMs lacked a route that a configuration added, as a share of the allowed time.
pub(super) fn configuration(case: &IndexedHistory<'_>) -> BoundUsage {
    let bound = Duration::from_millis(case.deployment.bounds.configuration_ms);
    let contact = case.deployment.bounds.undisturbed_time();
    let mut nearest = BoundUsage::none(Rule::ConfigurationInForce);
    for (accepted_at, accepted) in case.history.accepted_writes.borrow().iter() {
        let AcceptedWrite::Configuration { version } = accepted else {
            continue;
        };
        for (vm, looked, at, has_route) in case.history.version_checks.borrow().iter() {
            let in_touch = case.history.was_undisturbed(*vm, *at, contact);
            if looked != version || *has_route || !in_touch || at < accepted_at {
                continue;
            }
            let late = *at - *accepted_at;
            nearest = nearest.or_greater(late.as_secs_f64() / bound.as_secs_f64(), || {
                format!("version {version} of {accepted_at:?} is not in force on VM {vm} at {at:?}")
            });
        }
    }
    nearest
}

/// Counts the checks in which a VM lacked a route that it had had before, without a restart in between.
pub(super) fn never_reverts(case: &IndexedHistory<'_>) -> BoundUsage {
    let served_by = case.history.version_checks.borrow();
    let contact = case.deployment.bounds.undisturbed_time();
    let mut reverts = 0;
    let mut what = String::new();
    for (at, (vm, version, when, has_route)) in served_by.iter().enumerate() {
        if *has_route || !case.history.was_undisturbed(*vm, *when, contact) {
            continue;
        }
        let since = when.saturating_sub(contact);
        let mut earlier = served_by[..at].iter();
        let had = earlier.any(|(other, v, earlier, has)| {
            other == vm && *has && v >= version && *earlier >= since
        });
        if had {
            reverts += 1;
            what = format!("VM {vm} lacks version {version} again at {when:?}");
        }
    }
    BoundUsage::of_violations(Rule::NeverReverts, reverts, what)
}
