//! Prints how long a change takes to reach the last VM, and what the busiest VM sends, by the number of routes and VMs
//! and the bandwidth of links.

use std::time::Duration;

use crate::fleet::{Fleet, Links, simulate};

/// The most that a change may take to be in force everywhere.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// The pause between two changes.
const REST_TIME: Duration = Duration::from_secs(2);

/// Takes half a minute and is run by hand: `cargo test --release -p kingcuploft-entry --test links -- --ignored
/// --nocapture`.
#[test]
#[ignore = "by hand: prints a table"]
fn slopes() {
    println!("routes,vms,mbit_per_s,added_ms,added_busiest_bytes,one_ms,one_busiest_bytes");
    for routes in [30, 1_400, 2_800, 5_600, 10_000] {
        for zones in [
            &[10, 10, 10][..],
            &[30, 29, 30, 26],
            &[54, 56, 58, 45, 45, 54],
        ] {
            for mbit in [10, 20, 200] {
                simulate(print_row(routes, zones, mbit));
            }
        }
    }
}

async fn print_row(routes: usize, zones: &[usize], mbit: u32) {
    let links = Links {
        large_mbit: mbit,
        small_mbit: mbit,
    };
    let mut fleet = Fleet::start(zones, links, 10, 1).await;
    let added = change(&mut fleet, |fleet| fleet.add_routes(routes)).await;
    let one_change = change(&mut fleet, Fleet::change_one_route).await;
    let vms = fleet.len();
    println!(
        "{routes},{vms},{mbit},{},{},{},{}",
        added.0, added.1, one_change.0, one_change.1
    );
}

/// Returns how many milliseconds pass from the first VM that has the change in force to the last, and how many bytes
/// the busiest VM sends.
async fn change(fleet: &mut Fleet, change: impl FnOnce(&mut Fleet)) -> (u128, usize) {
    tokio::time::sleep(REST_TIME).await;
    let before = fleet.sent_bytes();
    change(fleet);
    let (first, last) = fleet.wait_until_in_force(APPLY_TIMEOUT).await;
    let sent = fleet.sent_bytes().into_iter().zip(before);
    let busiest = sent.map(|(after, before)| after - before).max();
    ((last - first).as_millis(), busiest.unwrap_or(0))
}
