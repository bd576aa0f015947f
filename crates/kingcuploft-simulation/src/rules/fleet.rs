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

/// How soon after an answer that names a limit has reached a VM all VMs must know the limit.
const LIMIT_KNOWN_AFTER: Duration = Duration::from_millis(2000);

/// Returns how many of the sorted times lie in a window.
fn count_in_window(times: &[Duration], from: Duration, window: Duration) -> usize {
    let first = times.partition_point(|at| *at < from);
    let last = times.partition_point(|at| *at < from + window);
    last - first
}

/// Returns the greatest share of the repeat budget that any service used in any window.
pub(super) fn budget(history: &IndexedHistory<'_>) -> BoundUsage {
    let bounds = history.deployment.bounds.repeats();
    let mut greatest = BoundUsage::none(Rule::RepeatBudget);
    for service in &history.deployment.services {
        let of_service = |kind: usize| history.deployment.kinds[kind].service == service.name;
        let requests = history.requests.iter().filter(|r| of_service(r.kind));
        let mut requests: Vec<_> = requests.map(|request| request.at).collect();
        if service.name == history.deployment.services[0].name {
            requests.extend(history.raw.version_check_times.borrow().iter());
        }
        requests.sort();
        let repeats = repeat_times(history, of_service);
        for from in &repeats {
            let count = count_in_window(&repeats, *from, bounds.window);
            let before = [Duration::ZERO, bounds.window / 2, bounds.window];
            let requests_in_window = before.map(|earlier| {
                let from = from.saturating_sub(earlier);
                count_in_window(&requests, from, bounds.window)
            });
            let requests_in_window = requests_in_window.into_iter().max().unwrap_or_default();
            let allowed = bounds.ratio * requests_in_window as f64 + bounds.allowance;
            greatest = greatest.or_greater(count as f64 / allowed, || {
                let name = &service.name;
                format!("{name}: {count} repeats from {from:?} for {requests_in_window} requests, {allowed:.0} allowed")
            });
        }
    }
    greatest
}

/// Returns the times of all arrivals after the first of their request, in order.
fn repeat_times(history: &IndexedHistory<'_>, of_service: impl Fn(usize) -> bool) -> Vec<Duration> {
    let by_request = history.arrivals_by_request();
    let of_service = by_request
        .values()
        .filter(|arrivals| of_service(arrivals[0].kind));
    let repeats = of_service.flat_map(|arrivals| {
        let mut times: Vec<_> = arrivals.iter().map(|arrival| arrival.at).collect();
        times.sort();
        times.into_iter().skip(1)
    });
    let mut repeats: Vec<_> = repeats.collect();
    repeats.sort();
    repeats
}

/// Returns the greatest share of its allowed requests that any cold server got in any second.
pub(super) fn cold_servers(history: &IndexedHistory<'_>) -> BoundUsage {
    let bounds = &history.deployment.bounds;
    let mut greatest = BoundUsage::none(Rule::ColdServers);
    for (index, server) in history.raw.servers.borrow().iter().enumerate() {
        let Some((from, to)) = server.cold else {
            continue;
        };
        let cold = |a: &&Arrival| a.server == index && a.at >= from && a.at < to;
        let mut times: Vec<_> = history.arrivals.iter().filter(cold).map(|a| a.at).collect();
        times.sort();
        let allowed = server.cold_per_s * bounds.cold_over + bounds.cold_slack;
        for from in &times {
            let count = count_in_window(&times, *from, SECOND);
            greatest = greatest.or_greater(count as f64 / allowed, || {
                format!("server {index}: {count} requests from {from:?}, {allowed:.1} allowed")
            });
        }
    }
    greatest
}

/// Returns the greatest share of its allowed requests that any server got in any `LIMIT_WINDOW` after it had told a VM a
/// limit. What arrives before can't be kept back: nobody knows of the limit.
pub(super) fn named_limits(history: &IndexedHistory<'_>) -> BoundUsage {
    let undisturbed_time = history.deployment.bounds.undisturbed_time();
    let mut greatest = BoundUsage::none(Rule::NamedLimits);
    for (index, server) in history.raw.servers.borrow().iter().enumerate() {
        for limit in &server.limits {
            let Some(told_at) = limit.told_at else {
                continue;
            };
            let known_from = told_at + LIMIT_KNOWN_AFTER;
            let named = |a: &&Arrival| {
                let is_undisturbed = history.raw.was_undisturbed(a.vm, a.at, undisturbed_time);
                a.server == index && a.at >= known_from && a.at < limit.until && is_undisturbed
            };
            let mut times: Vec<_> = history
                .arrivals
                .iter()
                .filter(named)
                .map(|a| a.at)
                .collect();
            times.sort();
            let allowed = LIMIT_FACTOR * LIMIT_WINDOW.as_secs_f64() * limit.per_s + LIMIT_SLACK;
            for from in &times {
                let count = count_in_window(&times, *from, LIMIT_WINDOW);
                greatest = greatest.or_greater(count as f64 / allowed, || {
                    format!("server {index}: {count} requests from {from:?}, {allowed:.0} allowed")
                });
            }
        }
    }
    greatest
}

/// Returns the probes per server and second over the whole day, as a share of those allowed.
pub(super) fn probes(history: &IndexedHistory<'_>) -> BoundUsage {
    let server_s = history.raw.server_seconds.get().max(1.0);
    let per_s = history.raw.probes.get() as f64 / server_s;
    let used = per_s / history.deployment.bounds.probes_per_s;
    BoundUsage::none(Rule::Probes)
        .or_greater(used, || format!("{per_s:.1} probes of a server and second"))
}
