//! Finds figures, names and addresses in settings that can not be meant.

use std::net::SocketAddr;

use super::{Limits, Settings};

/// A field and what was expected of it.
pub(super) type Found = (&'static str, String);

/// The longest name of a VM or availability zone; it is part of request ids.
const NAME_BYTES: usize = 64;

/// The most threads or file descriptors that a limit may ask for.
const MOST_THREADS: usize = 4096;
const MOST_CONNECTIONS: usize = 1_000_000;

/// The longest time, in ms: a day.
const LONGEST_MS: u64 = 86_400_000;

/// Returns every fault of settings that were read.
pub(super) fn faults(settings: &Settings) -> Vec<Found> {
    let mut found = Vec::new();
    name(&mut found, "vm", &settings.vm);
    name(&mut found, "availability_zone", &settings.availability_zone);
    addresses(&mut found, settings);
    platform(&mut found, &settings.platform);
    limits(&mut found, &settings.limits);
    store(&mut found, settings);
    claims(&mut found, settings);
    if let Some(fault) = settings.peer.fault() {
        found.push(("peer", fault.into()));
    }
    at_least_one(
        &mut found,
        "peer.budget.bytes_per_s",
        settings.peer.budget.bytes_per_s,
    );
    found
}

/// A name is part of header values, log lines and object keys.
fn name(found: &mut Vec<Found>, field: &'static str, name: &str) {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > NAME_BYTES || !name.chars().all(fits) {
        let expected =
            format!("{name:?} found, expected 1 to {NAME_BYTES} letters, digits, `-`, `_` or `.`");
        found.push((field, expected));
    }
}

fn addresses(found: &mut Vec<Found>, settings: &Settings) {
    let same = |a: SocketAddr, b: SocketAddr| {
        let meet = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
        meet && a.port() == b.port() && a.port() != 0
    };
    if same(settings.listen, settings.admin_listen) {
        let expected = format!(
            "{} is `listen` too, expected another port",
            settings.admin_listen
        );
        found.push(("admin_listen", expected));
    }
    if let Some(peer) = settings.peer.listen
        && (same(peer, settings.listen) || same(peer, settings.admin_listen))
    {
        let expected = format!("{peer} is `listen` or `admin_listen` too, expected another port");
        found.push(("peer.listen", expected));
    }
    if !settings.admin_listen.ip().is_loopback() && settings.admin_token_file.is_none() {
        let expected =
            "missing, expected a file with a token, as `admin_listen` is no loopback address";
        found.push(("admin_token_file", expected.into()));
    }
}

fn platform(found: &mut Vec<Found>, platform: &str) {
    let parts = platform.rsplit_once(':');
    let fits = parts.is_some_and(|(host, port)| {
        let plain = !host.is_empty() && !host.contains(['/', '@', ' ', '?', '#']);
        plain && port.parse::<u16>().is_ok_and(|port| port > 0)
    });
    if !fits {
        let expected = format!("{platform:?} found, expected `host:port`");
        found.push(("platform", expected));
    }
}

fn limits(found: &mut Vec<Found>, limits: &Limits) {
    between(found, "limits.workers", limits.workers, MOST_THREADS);
    between(
        found,
        "limits.connections",
        limits.connections,
        MOST_CONNECTIONS,
    );
    between(found, "limits.vms", limits.vms, MOST_CONNECTIONS);
    between(found, "limits.ring", limits.ring, MOST_CONNECTIONS);
    time(found, "limits.stop_timeout_ms", limits.stop_timeout_ms);
    time(found, "limits.idle_timeout_ms", limits.idle_timeout_ms);
    time(found, "limits.header_timeout_ms", limits.header_timeout_ms);
    time(found, "limits.body_timeout_ms", limits.body_timeout_ms);
    if limits.not_ready_ms > LONGEST_MS {
        time(found, "limits.not_ready_ms", limits.not_ready_ms);
    }
}

fn store(found: &mut Vec<Found>, settings: &Settings) {
    let store = &settings.store;
    time(found, "store.connect_timeout_ms", store.connect_timeout_ms);
    time(found, "store.call_timeout_ms", store.call_timeout_ms);
    time(found, "store.probe_timeout_ms", store.probe_timeout_ms);
    time(found, "store.probe_interval_ms", store.probe_interval_ms);
    positive(found, "store.calls_per_s", store.calls_per_s);
    positive(found, "store.calls_burst", store.calls_burst);
    at_least_one(
        found,
        "store.failures_to_open",
        store.failures_to_open.into(),
    );
}

fn claims(found: &mut Vec<Found>, settings: &Settings) {
    let claims = &settings.claims;
    at_least_one(found, "claims.partitions", claims.partitions.into());
    at_least_one(
        found,
        "claims.fleet_writes_per_s",
        claims.fleet_writes_per_s,
    );
    time(found, "claims.timeout_ms", claims.timeout_ms);
    at_least_one(found, "claims.seal_bytes", claims.seal_bytes as u64);
    at_least_one(
        found,
        "claims.segments_per_index",
        claims.segments_per_index as u64,
    );
    at_least_one(found, "claims.object_bytes", claims.object_bytes as u64);
}

fn between(found: &mut Vec<Found>, field: &'static str, value: usize, most: usize) {
    if !(1..=most).contains(&value) {
        found.push((field, format!("{value} found, expected 1 to {most}")));
    }
}

fn time(found: &mut Vec<Found>, field: &'static str, ms: u64) {
    if !(1..=LONGEST_MS).contains(&ms) {
        found.push((field, format!("{ms} found, expected 1 to {LONGEST_MS}")));
    }
}

fn at_least_one(found: &mut Vec<Found>, field: &'static str, value: u64) {
    if value == 0 {
        found.push((field, "0 found, expected at least 1".into()));
    }
}

fn positive(found: &mut Vec<Found>, field: &'static str, value: f64) {
    if !(value.is_finite() && value > 0.0) {
        found.push((field, format!("{value} found, expected more than 0")));
    }
}
