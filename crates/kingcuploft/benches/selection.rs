//! The cost of one selection, and of one change of the fleet, with 11 to 10,000 backend servers.

use std::time::{Duration, Instant};

use divan::{Bencher, black_box};
use kingcuploft::decisions::measuring::ProbeScheduler;
use kingcuploft::decisions::selection::{Choice, Selection};
use kingcuploft::manifest::Service;
use kingcuploft::world::backend_server::{CallEnd, CallReport, LoadReport};
use kingcuploft::world::ids::VmName;

const SERVERS: [u32; 4] = [11, 100, 1_000, 10_000];

fn main() {
    divan::main();
}

fn service(servers: u32) -> Service {
    let servers = (0..servers).map(|i| {
        let address = format!("127.1.{}.{}:80", i / 250, i % 250 + 1);
        serde_json::json!({
            "name": format!("s{i}"), "address": address, "availability_zone": "a",
            "slots": 2, "connections": 220,
        })
    });
    let service = serde_json::json!({
        "name": "trip", "hosts": [], "rules": [], "backend_servers": servers.collect::<Vec<_>>(),
    });
    serde_json::from_value(service).expect("a service")
}

#[divan::bench(args = SERVERS)]
fn choose_and_end(bencher: Bencher<'_, '_>, servers: u32) {
    let mut selection = Selection::new(&service(servers), &"a".into());
    let mut rng = fastrand::Rng::with_seed(1);
    let mut now = Instant::now();
    let report = CallReport {
        end: CallEnd::Answered { status: 200 },
        latency: Duration::from_millis(10),
        load: Some(LoadReport { in_flight: 1 }),
        draining: false,
    };
    bencher.bench_local(|| {
        now += Duration::from_micros(500);
        if let Choice::Send(server) = selection.choose(now, &mut rng, |_| true) {
            selection.record_sent(now, server);
            selection.record_end(now, server, black_box(&report));
        }
    });
}

#[divan::bench(args = SERVERS)]
fn reassign_probers_of_fourteen_vms(bencher: Bencher<'_, '_>, servers: u32) {
    let mut measuring = ProbeScheduler::new(&service(servers));
    let live: Vec<VmName> = (0..14).map(|i| format!("entry-{i}").into()).collect();
    let now = Instant::now();
    bencher.bench_local(|| measuring.update_members(now, &live[0], black_box(&live)));
}
