//! Cold backend servers, which bear less load until they are warm: detected by reports, limited in rate, released when
//! warm.

use std::time::{Duration, Instant};

use kingcuploft::entry::cold_time;
use kingcuploft::entry::configuration::ColdStart;
use kingcuploft::entry::server_limits::ColdChange;
use kingcuploft::world::ids::{AvailabilityZone, BackendServerName, ServiceName};

use crate::clock;
use crate::context::Context;
use crate::http::headers::Headers;
use crate::limits;
use crate::upstream::Upstream;

/// The most servers that get a log line each when several turn cold or warm together.
const MAX_SERVERS_LOGGED_SINGLY: usize = 4;

/// A server that was not known to be cold, and for how much longer it is.
type NewlyCold = (BackendServerName, Duration);

/// Returns for how much longer a server is cold, by its answer to a probe; zero if the answer says nothing of it.
pub fn parse_header(context: &Context, headers: &Headers) -> Duration {
    let value = headers.get(context.wire_names.cold_ms);
    let value_ms = value.and_then(|value| value.parse::<f64>().ok());
    let cold_for = value_ms.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    cold_for.unwrap_or_default()
}

/// Applies a server's own report of how much longer it is cold. `asked_at` is when the server was asked.
pub fn apply_probe_answer(
    context: &Context,
    upstream: &Upstream,
    cold_for: Duration,
    asked_at: Instant,
) {
    if !cold_for.is_zero() {
        let newly_cold = mark_cold(context, upstream, cold_for);
        return log_turned_cold(context, newly_cold.as_slice());
    }
    upstream.set_not_cold(asked_at);
    let server = &upstream.server.name;
    let share = |per_s| limits::own_share(context, server, per_s);
    let mut limits = context.limits.borrow_mut();
    if limits.record_warm(clock::now(), server, asked_at, share) {
        log_turned_warm(std::slice::from_ref(server));
    }
}

/// Applies how much longer servers are cold by their entries in the platform's store.
pub fn apply_store_report(context: &Context, cold: &[(BackendServerName, Duration)]) {
    let newly_cold = cold.iter().filter_map(|(server, cold_for)| {
        let upstream = context.upstream(server)?;
        mark_cold(context, &upstream, *cold_for)
    });
    let newly_cold: Vec<_> = newly_cold.collect();
    log_turned_cold(context, &newly_cold);
}

/// Applies the cold-start limits of a configuration that has just come into force to the servers that are cold.
pub fn apply_configuration(context: &Context) {
    let now = clock::now();
    let upstreams = context.all_upstreams().into_iter();
    let cold = upstreams.map(|upstream| (upstream.server.name.clone(), upstream.cold_for(now)));
    let cold: Vec<_> = cold.filter(|(_, cold_for)| !cold_for.is_zero()).collect();
    apply_store_report(context, &cold);
}

/// Limits a cold server to the rate that it bears; returns it if it was not known to be cold.
fn mark_cold(context: &Context, upstream: &Upstream, cold_for: Duration) -> Option<NewlyCold> {
    let now = clock::now();
    let cold_for = cold_time::bounded(cold_for);
    upstream.set_cold_until(now + cold_for);
    let cold_start = cold_start(context, &upstream.server.service)?;
    let server = &upstream.server.name;
    let share = |per_s| limits::own_share(context, server, per_s);
    let (per_s, chance) = (cold_start.per_s(), fastrand::f64());
    let mut limits = context.limits.borrow_mut();
    let newly_cold = limits.record_cold(now, server, per_s, cold_for, share, chance);
    (newly_cold == ColdChange::Cold).then(|| (server.clone(), cold_for))
}

fn log_turned_cold(context: &Context, newly_cold: &[NewlyCold]) {
    if newly_cold.len() > MAX_SERVERS_LOGGED_SINGLY {
        return tracing::info!(event = "servers_cold", count = newly_cold.len());
    }
    for (server, cold_for) in newly_cold {
        let cold_ms = cold_for.as_millis() as u64;
        let per_s = context.limits.borrow().per_s(server);
        tracing::info!(event = "server_cold", %server, cold_ms, per_s);
    }
}

fn log_turned_warm(warm: &[BackendServerName]) {
    if warm.len() > MAX_SERVERS_LOGGED_SINGLY {
        return tracing::info!(event = "servers_warm", count = warm.len());
    }
    for server in warm {
        tracing::info!(event = "server_warm", %server);
    }
}

/// Ends the limits of servers that are warm by now.
pub fn expire(context: &Context, now: Instant) {
    if context.limits.borrow().cold_count() == 0 {
        return;
    }
    let share = |server: &BackendServerName, per_s| limits::own_share(context, server, per_s);
    let warm = context.limits.borrow_mut().expire_cold(now, share);
    log_turned_warm(&warm);
}

/// Keeps work from the servers of a zone whose evacuation has ended until each has reported whether it is cold.
///
/// Failure: the zone's servers turned cold while they got no work. They are in the own zone and idle, so each VM would
/// prefer them, and they would get the zone's whole load at once.
pub fn require_cold_reports(context: &Context, zone: &AvailabilityZone) {
    let now = clock::now();
    let upstreams = context.all_upstreams().into_iter();
    for upstream in upstreams.filter(|upstream| upstream.server.zone == *zone) {
        if let Some(cold_start) = cold_start(context, &upstream.server.service) {
            upstream.require_cold_report(now, cold_start.lasts);
        }
    }
}

fn cold_start(context: &Context, service: &ServiceName) -> Option<ColdStart> {
    let configuration = context.configuration()?;
    configuration.services.get(service)?.cold_start
}
