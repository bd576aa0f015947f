//! The cost of the shortlist that a request of the entry VM chooses from, with 100 to 10,000 servers.

use divan::{Bencher, black_box};
use kingcuploft::entry::server_order::{Distance, ServerOrder, Suitability};
use kingcuploft::utils::rendezvous::rendezvous;

const SERVERS: [u64; 3] = [100, 1_000, 10_000];

/// The number of zones among which the servers are divided.
const ZONES: u64 = 6;

fn main() {
    divan::main();
}

#[divan::bench(args = SERVERS)]
fn shortlist(bencher: Bencher<'_, '_>, servers: u64) {
    let mut order = ServerOrder::default();
    for server in 0..servers {
        let distance = match server % ZONES {
            0 => Distance::Near,
            _ => Distance::Far,
        };
        let server = std::rc::Rc::new(server);
        order.insert(distance, rendezvous("vm", &server.to_string()), server);
    }
    bencher.bench_local(|| {
        order.shortlist(|server| match black_box(**server) % 50 {
            0 => Suitability::Doubtful,
            _ => Suitability::Suitable,
        })
    });
}
