use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft_entry::upstream::Upstream;

/// Guards against memory for connections, reports and failures of thousands of servers that a VM never uses.
#[test]
fn a_server_that_is_not_used_costs_little_memory() {
    assert!(size_of::<Upstream>() <= 64, "{}", size_of::<Upstream>());
}

/// Guards against state that is made for each server that is looked at.
#[test]
fn a_server_that_is_looked_at_is_not_yet_in_use() {
    let server = BackendServer {
        name: "s0".into(),
        service: "trip".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "thun".into(),
        slots: 2,
        draining: false,
        cold_for: Duration::ZERO,
        started_at: None,
    };
    let now = Instant::now();
    let upstream = Upstream::new(server.into(), &"vm".into(), true, now).unwrap();
    assert!(upstream.has_connection_available(1));
    assert!(!upstream.has_connection_available(0));
    assert!(!upstream.is_unresponsive(now) && !upstream.is_running_suspect());
    assert!(!upstream.awaits_cold_report(now) && !upstream.has_idle_connection());
    upstream.forget_load_report();
    upstream.set_cold_until(now);
    assert!(!upstream.is_in_use());
    upstream.record_outcome(now, true);
    assert!(upstream.is_in_use());
}
