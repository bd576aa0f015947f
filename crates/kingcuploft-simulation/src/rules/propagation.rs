//! Rules on how soon the VMs act on what the store accepted.

use std::time::Duration;

use super::{BoundUsage, IndexedHistory, Rule};
use crate::history::{AcceptedWrite, Arrival};

/// A request that a VM sent just before the bound may still be in flight for this long.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(2);

/// Returns whether the path from a request's VM to its server was cut shortly before it arrived, so that the cut may have
/// held it up.
fn may_be_held_up(history: &IndexedHistory<'_>, arrival: &Arrival) -> bool {
    let since = arrival
        .at
        .saturating_sub(Duration::from_millis(history.deployment.bounds.contact_ms));
    let servers = history.raw.servers.borrow();
    let service = servers.get(arrival.server).map(|server| &server.service);
    let cuts = history.raw.cuts_from_servers.borrow();
    cuts.iter().any(|cut| {
        let is_of_path = cut.vms.contains(&arrival.vm)
            && (cut.service.is_none() || cut.service.as_ref() == service);
        is_of_path && cut.from <= arrival.at && cut.until >= since
    })
}

/// Returns how late the last arrival after an accepted write was, as a share of the bound, and which it was. Counts only
/// arrivals from VMs that had run undisturbed, and that no cut has held up.
fn lateness<'a>(
    history: &IndexedHistory<'_>,
    accepted: Duration,
    until: Duration,
    arrivals: impl Iterator<Item = &'a Arrival>,
    bound_ms: u64,
) -> Option<(f64, &'a Arrival)> {
    let bound = Duration::from_millis(bound_ms);
    let undisturbed_time = history.deployment.bounds.undisturbed_time();
    let counted = arrivals.filter(|arrival| {
        arrival.at >= accepted
            && arrival.at < until
            && history
                .raw
                .was_undisturbed(arrival.vm, arrival.at, undisturbed_time)
            && !may_be_held_up(history, arrival)
    });
    let last = counted.max_by_key(|arrival| arrival.at)?;
    let late = last.at.saturating_sub(accepted + IN_FLIGHT_TIME);
    Some((late.as_secs_f64() / bound.as_secs_f64(), last))
}

/// Returns for how long leaving servers still got requests, as a share of the allowed time.
pub(super) fn draining(history: &IndexedHistory<'_>) -> BoundUsage {
    let mut greatest = BoundUsage::none(Rule::Draining);
    for (at, accepted) in history.raw.accepted_writes.borrow().iter() {
        let AcceptedWrite::ServerLeaving { server } = accepted else {
            continue;
        };
        let arrivals = history.arrivals.iter().filter(|a| a.server == *server);
        let bound_ms = history.deployment.bounds.drain_ms;
        if let Some((used, last)) = lateness(history, *at, Duration::MAX, arrivals, bound_ms) {
            greatest = greatest.or_greater(used, || {
                let (id, vm, late_at) = (last.id, last.vm, last.at);
                format!("server {server} left at {at:?} and got request {id:x} of VM {vm} at {late_at:?}")
            });
        }
    }
    greatest
}

/// Returns for how long evacuated zones still got requests, as a share of the allowed time.
pub(super) fn evacuations(history: &IndexedHistory<'_>) -> BoundUsage {
    let mut greatest = BoundUsage::none(Rule::Evacuations);
    let all = history.raw.accepted_writes.borrow();
    let servers = history.raw.servers.borrow();
    for (at, accepted) in all.iter() {
        let AcceptedWrite::ZoneEvacuated { zone } = accepted else {
            continue;
        };
        let reinstated = all.iter().find(|(reinstated_at, reinstated)| {
            reinstated_at > at && *reinstated == AcceptedWrite::ZoneReinstated { zone: *zone }
        });
        let until = reinstated.map_or(Duration::MAX, |(reinstated_at, _)| *reinstated_at);
        let of_zone = |a: &&Arrival| servers.get(a.server).is_some_and(|s| s.zone == *zone);
        let arrivals = history.arrivals.iter().filter(of_zone);
        let bound_ms = history.deployment.bounds.evacuation_ms;
        if let Some((used, last)) = lateness(history, *at, until, arrivals, bound_ms) {
            greatest = greatest.or_greater(used, || {
                let (id, vm, late_at) = (last.id, last.vm, last.at);
                format!("zone {zone} was emptied at {at:?} and got request {id:x} of VM {vm} at {late_at:?}")
            });
        }
    }
    greatest
}

/// Returns for how long VMs lacked a route that a configuration added, as a share of the allowed time.
pub(super) fn configuration(history: &IndexedHistory<'_>) -> BoundUsage {
    let bound = Duration::from_millis(history.deployment.bounds.configuration_ms);
    let undisturbed_time = history.deployment.bounds.undisturbed_time();
    let mut greatest = BoundUsage::none(Rule::ConfigurationInForce);
    for (accepted_at, accepted) in history.raw.accepted_writes.borrow().iter() {
        let AcceptedWrite::Configuration { version } = accepted else {
            continue;
        };
        for (vm, checked_version, at, has_route) in history.raw.version_checks.borrow().iter() {
            let is_undisturbed = history.raw.was_undisturbed(*vm, *at, undisturbed_time);
            if checked_version != version || *has_route || !is_undisturbed || at < accepted_at {
                continue;
            }
            let late = *at - *accepted_at;
            greatest = greatest.or_greater(late.as_secs_f64() / bound.as_secs_f64(), || {
                format!("version {version} of {accepted_at:?} is not in force on VM {vm} at {at:?}")
            });
        }
    }
    greatest
}

/// Counts the checks in which a VM lacked a route that it had had before, without a restart in between.
pub(super) fn never_reverts(history: &IndexedHistory<'_>) -> BoundUsage {
    let checks = history.raw.version_checks.borrow();
    let undisturbed_time = history.deployment.bounds.undisturbed_time();
    let mut reverts = 0;
    let mut what = String::new();
    for (at, (vm, version, when, has_route)) in checks.iter().enumerate() {
        if *has_route || !history.raw.was_undisturbed(*vm, *when, undisturbed_time) {
            continue;
        }
        let since = when.saturating_sub(undisturbed_time);
        let mut earlier = checks[..at].iter();
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
