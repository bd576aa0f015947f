//! Servers that leave by the removal of their entries, and servers whose entries expire, around faults of the store.

use std::time::Duration;

use kingcuploft::entry::zone_record::ZoneRecord;
use tokio::time::Instant;

use crate::fleet::{Fleet, Links, server, simulate};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 20,
};

/// The most that may pass from the removal of a server's entry until no VM uses it.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// From how long after the end of a fault of the store on removals bind the VMs in time.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How long the store is away: long enough for entries to expire.
const OUTAGE: Duration = Duration::from_secs(5);

/// Within which time of the store's return live servers have written their entries again.
const REWRITE_TIME: Duration = Duration::from_millis(1500);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn fleet_with_servers(count: usize) -> Fleet {
    let fleet = Fleet::start(&[4, 3], LINKS, 10, 1).await;
    (0..count).for_each(|at| fleet.store.0.write_backend_server(server(&name(at))));
    tokio::time::sleep(CONTACT_TIME).await;
    fleet
}

fn name(at: usize) -> String {
    format!("s{at}")
}

/// Returns whether a VM may send requests to a server.
fn uses(fleet: &Fleet, vm: usize, server: &str) -> bool {
    let host = fleet.network.host(vm).expect("a VM with power");
    host.context
        .with_servers(|servers| servers.takes_work(server))
}

/// Returns the VMs that read the store for others: the first that the zones' records name.
fn readers(fleet: &Fleet) -> Vec<String> {
    let zones = fleet.store.0.zones.borrow();
    let first = |record: &ZoneRecord| record.vms.first().map(|vm| vm.name.to_string());
    zones.iter().filter_map(first).collect()
}

/// Has all VMs lose the store for a time, with waiting watches cut.
async fn lose_store(fleet: &Fleet, outage: Duration) {
    fleet.reject_at_store(|_| true);
    fleet.store.0.cut_watches();
    tokio::time::sleep(outage).await;
    fleet.reject_at_store(|_| false);
}

/// Removes the entries of servers, `interval` after each other; fails if one of `vms` uses one of them for longer than
/// allowed.
async fn remove_in_turn(fleet: &Fleet, interval: Duration, servers: &[String], vms: &[usize]) {
    let mut removed: Vec<(Instant, &str)> = Vec::new();
    let until = Instant::now() + interval * servers.len() as u32 + 2 * DRAIN_TIME;
    let mut next_at = Instant::now();
    while Instant::now() < until {
        if removed.len() < servers.len() && Instant::now() >= next_at {
            let server = &servers[removed.len()];
            fleet.store.0.remove_backend_server(server);
            removed.push((Instant::now(), server));
            next_at += interval;
        }
        for (at, server) in &removed {
            let users: Vec<_> = vms.iter().filter(|vm| uses(fleet, **vm, server)).collect();
            assert!(
                users.is_empty() || at.elapsed() <= DRAIN_TIME,
                "{server} is used by {users:?} {:?} after its removal",
                at.elapsed()
            );
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a watch that was cut, without any outage, and whose late answer is taken for the store's return.
#[test]
fn servers_that_leave_seconds_after_a_watch_was_cut_are_out_of_use_in_time() {
    simulate(async {
        let fleet = fleet_with_servers(6).await;
        let vms: Vec<usize> = (0..fleet.len()).collect();
        for round in 0..3 {
            fleet.store.0.cut_watches();
            tokio::time::sleep(2 * CONTACT_TIME).await;
            let servers = [name(2 * round), name(2 * round + 1)];
            remove_in_turn(&fleet, Duration::from_millis(100), &servers, &vms).await;
        }
    });
}

/// Guards against an outage that is taken to have just ended when a watch from its time answers.
#[test]
fn servers_that_leave_after_an_outage_are_out_of_use_in_time() {
    // The longer ones are those at which a watch ends that began when the store was back.
    for after_s in [3, 4, 7, 12, 19, 20, 21] {
        simulate(async {
            let fleet = fleet_with_servers(8).await;
            let vms: Vec<usize> = (0..fleet.len()).collect();
            lose_store(&fleet, Duration::from_secs(1)).await;
            tokio::time::sleep(Duration::from_secs(after_s)).await;
            let servers: Vec<String> = (0..8).map(name).collect();
            remove_in_turn(&fleet, Duration::from_millis(250), &servers, &vms).await;
        });
    }
}

/// Guards against a reader that has lost the store alone, and whose successor takes its first answer for the store's return.
#[test]
fn servers_that_leave_while_only_readers_have_lost_the_store_are_out_of_use_in_time() {
    for after_ms in [0, 300, 600, 900, 1_200, 1_500] {
        simulate(async {
            let fleet = fleet_with_servers(4).await;
            let readers = readers(&fleet);
            let vms: Vec<usize> = (0..fleet.len()).collect();
            fleet.reject_at_store(|vm| readers.iter().any(|reader| **reader == *vm.name));
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            let servers: Vec<String> = (0..4).map(name).collect();
            remove_in_turn(&fleet, Duration::from_millis(200), &servers, &vms).await;
        });
    }
}

/// Guards against an outage that a VM remembers though it has followed a reader with the store since.
#[test]
fn servers_that_leave_while_readers_have_lost_the_store_long_after_an_outage_are_out_of_use_in_time()
 {
    for silent_ms in (600..3_000).step_by(100) {
        simulate(async {
            let fleet = fleet_with_servers(3).await;
            let vms: Vec<usize> = (0..fleet.len()).collect();
            fleet.store.0.silent.set(true);
            tokio::time::sleep(Duration::from_millis(silent_ms)).await;
            fleet.store.0.silent.set(false);
            tokio::time::sleep(4 * CONTACT_TIME).await;
            let readers = readers(&fleet);
            fleet.reject_at_store(|vm| readers.iter().any(|reader| **reader == *vm.name));
            let servers: Vec<String> = (0..3).map(name).collect();
            remove_in_turn(&fleet, Duration::from_millis(300), &servers, &vms).await;
        });
    }
}

/// Has the entries of servers expire while the store is away, and written again after its return; fails if a VM stops using
/// one of them.
async fn expire_entries(fleet: &Fleet, servers: &[String], returns_to: impl Fn(&str) -> bool) {
    fleet.reject_at_store(|_| true);
    fleet.store.0.cut_watches();
    tokio::time::sleep(OUTAGE).await;
    servers
        .iter()
        .for_each(|name| fleet.store.0.remove_backend_server(name));
    fleet.reject_at_store(|vm| !returns_to(&vm.name));
    let returned_at = Instant::now();
    let mut is_written_again = false;
    while returned_at.elapsed() < 2 * CONTACT_TIME {
        if !is_written_again && returned_at.elapsed() >= REWRITE_TIME {
            let entries = servers.iter().map(|name| server(name));
            entries.for_each(|entry| fleet.store.0.write_backend_server(entry));
            is_written_again = true;
        }
        for vm in 0..fleet.len() {
            let dropped = servers.iter().find(|name| !uses(fleet, vm, name));
            assert_eq!(dropped, None, "at VM {vm}, {:?}", returned_at.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against live servers that get no requests as their entries expired while the store was away.
#[test]
fn servers_whose_entries_expire_in_an_outage_stay_in_use() {
    simulate(async {
        let fleet = fleet_with_servers(4).await;
        let servers: Vec<String> = (0..4).map(name).collect();
        expire_entries(&fleet, &servers, |_| true).await;
    });
}

/// Guards against the same where the store comes back for all VMs but those that read it before.
#[test]
fn servers_whose_entries_expire_in_an_outage_stay_in_use_where_other_vms_see_its_end() {
    simulate(async {
        let fleet = fleet_with_servers(4).await;
        let (readers, servers) = (readers(&fleet), (0..4).map(name).collect::<Vec<_>>());
        let returns_to = |vm: &str| readers.iter().all(|reader| reader != vm);
        expire_entries(&fleet, &servers, returns_to).await;
    });
}
