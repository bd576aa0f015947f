//! Rules that bound what all VMs together send: repeats, requests to cold or limited servers, probes.

use std::time::Duration;

use super::{BoundUsage, IndexedHistory, Rule};
use crate::history::Arrival;

/// The window of the bound on cold servers, which is stated per second.
const SECOND: Duration = Duration::from_secs(1);

/// The requests that a server with a named limit may get, as a multiple of that limit.
const LIMIT_FACTOR: f64 = 1.5;

/// The window over which that is counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// How many requests such a server may get in a window beyond that multiple.
const LIMIT_SLACK: f64 = 5.0;

/// How soon after a server names a limit all VMs must know it.
const LIMIT_KNOWN_AFTER: Duration = Duration::from_millis(2000);

fn count_in_window(times: &[Duration], from: Duration, window: Duration) -> usize {
    let first = times.partition_point(|at| *at < from);
    let last = times.partition_point(|at| *at < from + window);
    last - first
}

/// Returns the greatest share of the repeat budget that any service used in any window.
pub(super) fn budget(case: &IndexedHistory<'_>) -> BoundUsage {
    let bounds = case.deployment.bounds.repeats();
    let mut nearest = BoundUsage::none(Rule::RepeatBudget);
    for service in &case.deployment.services {
        let of_service = |kind: usize| case.deployment.kinds[kind].service == service.name;
        let requests = case.requests.iter().filter(|r| of_service(r.kind));
        let mut requests: Vec<_> = requests.map(|request| request.at).collect();
        if service.name == case.deployment.services[0].name {
            requests.extend(case.history.version_check_times.borrow().iter());
        }
        requests.sort();
        let repeats = repeat_times(case, of_service);
        for from in &repeats {
            let count = count_in_window(&repeats, *from, bounds.window);
            let before = [Duration::ZERO, bounds.window / 2, bounds.window];
            let asked = before.map(|earlier| {
                let from = from.saturating_sub(earlier);
                count_in_window(&requests, from, bounds.window)
            });
            let asked = asked.into_iter().max().unwrap_or_default();
            let allowed = bounds.ratio * asked as f64 + bounds.allowance;
            nearest = nearest.or_greater(count as f64 / allowed, || {
                let name = &service.name;
                format!("{name}: {count} repeats from {from:?} for {asked} requests, {allowed:.0} allowed")
            });
        }
    }
    nearest
}

/// Returns the times of all arrivals after the first of their request, in order.
fn repeat_times(case: &IndexedHistory<'_>, of_service: impl Fn(usize) -> bool) -> Vec<Duration> {
    let by_request = case.arrivals_by_request();
    let of_service = by_request
        .values()
        .filter(|arrivals| of_service(arrivals[0].kind));
    let beyond = of_service.flat_map(|arrivals| {
        let mut times: Vec<_> = arrivals.iter().map(|arrival| arrival.at).collect();
        times.sort();
        times.into_iter().skip(1)
    });
    let mut beyond: Vec<_> = beyond.collect();
    beyond.sort();
    beyond
}

/// Returns the greatest share of its allowed requests that any cold server got in any second.
pub(super) fn cold_servers(case: &IndexedHistory<'_>) -> BoundUsage {
    let bounds = &case.deployment.bounds;
    let mut nearest = BoundUsage::none(Rule::ColdServers);
    for (index, server) in case.history.servers.borrow().iter().enumerate() {
        let Some((from, to)) = server.cold else {
            continue;
        };
        let cold = |a: &&Arrival| a.server == index && a.at >= from && a.at < to;
        let mut times: Vec<_> = case.arrivals.iter().filter(cold).map(|a| a.at).collect();
        times.sort();
        let allowed = server.cold_per_s * bounds.cold_over + bounds.cold_slack;
        for from in &times {
            let count = count_in_window(&times, *from, SECOND);
            nearest = nearest.or_greater(count as f64 / allowed, || {
                format!("server {index}: {count} requests from {from:?}, {allowed:.1} allowed")
            });
        }
    }
    nearest
}

/// Returns the greatest share of its allowed requests that any server got in any `LIMIT_WINDOW` after it had named a
/// limit.
pub(super) fn named_limits(case: &IndexedHistory<'_>) -> BoundUsage {
    let contact = case.deployment.bounds.undisturbed_time();
    let mut nearest = BoundUsage::none(Rule::NamedLimits);
    for (index, server) in case.history.servers.borrow().iter().enumerate() {
        for (per_s, from, to) in &server.limits {
            let told = *from + LIMIT_KNOWN_AFTER;
            let named = |a: &&Arrival| {
                let in_touch = case.history.was_undisturbed(a.vm, a.at, contact);
                a.server == index && a.at >= told && a.at < *to && in_touch
            };
            let mut times: Vec<_> = case.arrivals.iter().filter(named).map(|a| a.at).collect();
            times.sort();
            let allowed = LIMIT_FACTOR * LIMIT_WINDOW.as_secs_f64() * per_s + LIMIT_SLACK;
            for from in &times {
                let count = count_in_window(&times, *from, LIMIT_WINDOW);
                nearest = nearest.or_greater(count as f64 / allowed, || {
                    format!("server {index}: {count} requests from {from:?}, {allowed:.0} allowed")
                });
            }
        }
    }
    nearest
}

/// Returns the probes per server and second over the whole day, as a share of those allowed.
pub(super) fn probes(case: &IndexedHistory<'_>) -> BoundUsage {
    let server_s = case.history.server_seconds.get().max(1.0);
    let per_s = case.history.probes.get() as f64 / server_s;
    let used = per_s / case.deployment.bounds.probes_per_s;
    BoundUsage::none(Rule::Probes)
        .or_greater(used, || format!("{per_s:.1} probes of a server and second"))
}
