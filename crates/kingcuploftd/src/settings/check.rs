//! Checks the values of parsed settings: numbers, names and addresses that cannot work.

use std::net::SocketAddr;

use super::{Limits, Settings};

/// The path of a faulty field, with what was found and expected.
pub(super) type Found = (&'static str, String);

/// The longest name of a VM or availability zone; it is part of request ids.
const MAX_NAME_BYTES: usize = 64;

/// The most threads or file descriptors that a limit may ask for.
const MAX_THREADS: usize = 4096;
const MAX_CONNECTIONS: usize = 1_000_000;

/// The longest time, in ms: a day.
const MAX_MS: u64 = 86_400_000;

/// Returns every fault of parsed settings.
pub(super) fn faults(settings: &Settings) -> Vec<Found> {
    let mut faults = Vec::new();
    name(&mut faults, "vm", &settings.vm);
    name(
        &mut faults,
        "availability_zone",
        &settings.availability_zone,
    );
    addresses(&mut faults, settings);
    platform(&mut faults, &settings.platform);
    limits(&mut faults, &settings.limits);
    store(&mut faults, settings);
    claims(&mut faults, settings);
    if let Some(fault) = settings.peer.fault() {
        faults.push(("peer", fault.into()));
    }
    at_least_one(
        &mut faults,
        "peer.budget.bytes_per_s",
        settings.peer.budget.bytes_per_s,
    );
    faults
}

/// Checks a name, which becomes part of header values, log lines and object keys.
fn name(faults: &mut Vec<Found>, field: &'static str, name: &str) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        let expected = format!(
            "{name:?} found, expected 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`"
        );
        faults.push((field, expected));
    }
}

fn addresses(faults: &mut Vec<Found>, settings: &Settings) {
    let same = |a: SocketAddr, b: SocketAddr| {
        let meet = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
        meet && a.port() == b.port() && a.port() != 0
    };
    if same(settings.listen, settings.admin_listen) {
        let expected = format!(
            "{} is `listen` too, expected another port",
            settings.admin_listen
        );
        faults.push(("admin_listen", expected));
    }
    if let Some(peer) = settings.peer.listen
        && (same(peer, settings.listen) || same(peer, settings.admin_listen))
    {
        let expected = format!("{peer} is `listen` or `admin_listen` too, expected another port");
        faults.push(("peer.listen", expected));
    }
    if !settings.admin_listen.ip().is_loopback() && settings.admin_token_file.is_none() {
        let expected =
            "missing, expected a file with a token, as `admin_listen` is no loopback address";
        faults.push(("admin_token_file", expected.into()));
    }
}

fn platform(faults: &mut Vec<Found>, platform: &str) {
    let parts = platform.rsplit_once(':');
    let allowed = parts.is_some_and(|(host, port)| {
        let plain = !host.is_empty() && !host.contains(['/', '@', ' ', '?', '#']);
        plain && port.parse::<u16>().is_ok_and(|port| port > 0)
    });
    if !allowed {
        let expected = format!("{platform:?} found, expected `host:port`");
        faults.push(("platform", expected));
    }
}

fn limits(faults: &mut Vec<Found>, limits: &Limits) {
    between(faults, "limits.workers", limits.workers, MAX_THREADS);
    between(
        faults,
        "limits.connections",
        limits.connections,
        MAX_CONNECTIONS,
    );
    between(faults, "limits.vms", limits.vms, MAX_CONNECTIONS);
    between(faults, "limits.ring", limits.ring, MAX_CONNECTIONS);
    time(faults, "limits.stop_timeout_ms", limits.stop_timeout_ms);
    time(faults, "limits.idle_timeout_ms", limits.idle_timeout_ms);
    time(faults, "limits.header_timeout_ms", limits.header_timeout_ms);
    time(faults, "limits.body_timeout_ms", limits.body_timeout_ms);
    if limits.not_ready_ms > MAX_MS {
        time(faults, "limits.not_ready_ms", limits.not_ready_ms);
    }
}

fn store(faults: &mut Vec<Found>, settings: &Settings) {
    let store = &settings.store;
    time(faults, "store.connect_timeout_ms", store.connect_timeout_ms);
    time(faults, "store.call_timeout_ms", store.call_timeout_ms);
    time(faults, "store.probe_timeout_ms", store.probe_timeout_ms);
    time(faults, "store.probe_interval_ms", store.probe_interval_ms);
    positive(faults, "store.calls_per_s", store.calls_per_s);
    positive(faults, "store.calls_burst", store.calls_burst);
    at_least_one(
        faults,
        "store.failures_to_open",
        store.failures_to_open.into(),
    );
}

fn claims(faults: &mut Vec<Found>, settings: &Settings) {
    let claims = &settings.claims;
    at_least_one(faults, "claims.partitions", claims.partitions.into());
    at_least_one(
        faults,
        "claims.fleet_writes_per_s",
        claims.fleet_writes_per_s,
    );
    time(faults, "claims.timeout_ms", claims.timeout_ms);
    at_least_one(faults, "claims.seal_bytes", claims.seal_bytes as u64);
    at_least_one(
        faults,
        "claims.segments_per_index",
        claims.segments_per_index as u64,
    );
    at_least_one(faults, "claims.object_bytes", claims.object_bytes as u64);
}

fn between(faults: &mut Vec<Found>, field: &'static str, value: usize, most: usize) {
    if !(1..=most).contains(&value) {
        faults.push((field, format!("{value} found, expected 1 to {most}")));
    }
}

fn time(faults: &mut Vec<Found>, field: &'static str, ms: u64) {
    if !(1..=MAX_MS).contains(&ms) {
        faults.push((field, format!("{ms} found, expected 1 to {MAX_MS}")));
    }
}

fn at_least_one(faults: &mut Vec<Found>, field: &'static str, value: u64) {
    if value == 0 {
        faults.push((field, "0 found, expected at least 1".into()));
    }
}

fn positive(faults: &mut Vec<Found>, field: &'static str, value: f64) {
    if !(value.is_finite() && value > 0.0) {
        faults.push((field, format!("{value} found, expected more than 0")));
    }
}
