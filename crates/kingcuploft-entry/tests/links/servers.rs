//! How news of backend servers reaches all VMs, by the number of servers.

use std::time::Duration;

use kingcuploft_entry::store::Collection;
use tokio::time::Instant;

use crate::fleet::{Fleet, Links, server, simulate};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 20,
};

/// The pause after a change, for more than one batch of the store's news to spread.
const REST_TIME: Duration = Duration::from_secs(3);

/// The most that a name costs in a message, and that the frames of heartbeats cost a VM while a test rests.
const BYTES_PER_NAME: usize = 16;
const REST_BYTES: usize = 40_000;

/// The followers of the busiest VM in these fleets: seven, and one that has no state.
const FOLLOWERS: usize = 8;

fn name(at: usize) -> String {
    format!("s{at:05}")
}

fn write_servers(fleet: &Fleet, servers: std::ops::Range<usize>) {
    servers.for_each(|at| fleet.store.0.write_backend_server(server(&name(at))));
}

fn count_at(fleet: &Fleet, vm: usize) -> usize {
    let host = fleet.network.host(vm).expect("a VM with power");
    host.context.all_upstreams().len()
}

async fn fleet_with_servers(servers: usize) -> Fleet {
    let fleet = Fleet::start(&[5, 3], LINKS, 10, 1).await;
    write_servers(&fleet, 0..servers);
    tokio::time::sleep(REST_TIME).await;
    (0..fleet.len()).for_each(|vm| assert_eq!(count_at(&fleet, vm), servers));
    fleet
}

/// Returns the bytes that the busiest VM sends while `change` takes effect.
async fn busiest_bytes(fleet: &Fleet, change: impl AsyncFnOnce()) -> usize {
    let before = fleet.sent_bytes();
    change().await;
    tokio::time::sleep(REST_TIME).await;
    let sent = fleet.sent_bytes().into_iter().zip(before);
    sent.map(|(after, before)| after - before)
        .max()
        .unwrap_or(0)
}

/// Guards against followers that are dropped, and sent everything again, as the news of many servers fills their queues.
#[test]
fn a_thousand_servers_that_leave_at_once_end_no_link() {
    simulate(async {
        let fleet = fleet_with_servers(1_000).await;
        let lost = fleet.lost_feeder_count();
        let sent = busiest_bytes(&fleet, async || {
            (0..900).for_each(|at| fleet.store.0.remove_backend_server(&name(at)));
        });
        let sent = sent.await;
        (0..fleet.len()).for_each(|vm| assert_eq!(count_at(&fleet, vm), 100));
        assert_eq!(fleet.lost_feeder_count(), lost, "links ended");
        let most = REST_BYTES + FOLLOWERS * 900 * BYTES_PER_NAME;
        assert!(sent <= most, "{sent} bytes sent by one VM, {most} at most");
    });
}

/// Guards against followers that are all dropped as a table of many servers is longer than the bound of their queues.
#[test]
fn a_table_of_twenty_thousand_servers_ends_no_link() {
    simulate(async {
        let fleet = Fleet::start(&[5, 3], LINKS, 10, 1).await;
        let lost = fleet.lost_feeder_count();
        write_servers(&fleet, 0..20_000);
        tokio::time::sleep(REST_TIME / 6).await;
        write_servers(&fleet, 20_000..20_200);
        tokio::time::sleep(REST_TIME).await;
        (0..fleet.len()).for_each(|vm| assert_eq!(count_at(&fleet, vm), 20_200));
        assert_eq!(fleet.lost_feeder_count(), lost, "links ended");
    });
}

/// Guards against a whole table that holds up all other news when the store has lost its history.
#[test]
fn after_lost_history_followers_are_sent_what_changed() {
    simulate(async {
        let fleet = fleet_with_servers(2_000).await;
        let sent = busiest_bytes(&fleet, async || {
            write_servers(&fleet, 2_000..2_001);
            tokio::time::sleep(Duration::from_millis(100)).await;
            write_servers(&fleet, 2_001..2_006);
            (0..6).for_each(|at| fleet.store.0.remove_backend_server(&name(at)));
            let known = fleet
                .network
                .host(0)
                .expect("a VM")
                .context
                .position(Collection::BackendServers);
            let now = kingcuploft::entry::era::revision_of(known.unwrap_or(0)) + 11;
            fleet.store.0.compacted_until.set(now);
        });
        let sent = sent.await;
        (0..fleet.len()).for_each(|vm| assert_eq!(count_at(&fleet, vm), 2_000));
        assert!(sent <= REST_BYTES, "{sent} bytes sent by one VM");
        fleet.assert_same_servers();
    });
}

/// Guards against news that comes in many answers of the store, with a pause after each.
#[test]
fn a_release_of_thousands_of_servers_is_known_within_a_second() {
    simulate(async {
        let fleet = Fleet::start(&[5, 3], LINKS, 10, 1).await;
        fleet.store.0.max_changes.set(100);
        write_servers(&fleet, 0..2_000);
        let started_at = Instant::now();
        while (0..fleet.len()).any(|vm| count_at(&fleet, vm) < 2_000) {
            tokio::time::sleep(Duration::from_millis(10)).await;
            assert!(started_at.elapsed() < Duration::from_secs(1), "not known");
        }
    });
}

/// Guards against calls to the store for collections that have not changed, as long as servers change all the time.
#[test]
fn servers_that_change_all_the_time_cost_one_call_a_batch() {
    simulate(async {
        let fleet = fleet_with_servers(100).await;
        let before = fleet.store.0.watch_calls.get();
        for at in 0..100 {
            write_servers(&fleet, 100 + at..101 + at);
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        let calls = fleet.store.0.watch_calls.get() - before;
        // Six seconds with a pause of 0.6 after each answer.
        assert!(calls <= 12, "{calls} watches");
    });
}

/// Guards against all large VMs of a zone that read the store when all start together.
#[test]
fn one_vm_of_each_zone_reads_the_store_when_all_start() {
    let links = Links {
        large_mbit: 200,
        small_mbit: 200,
    };
    for seed in 1..=10 {
        simulate(async move {
            let zones = [6, 6, 6];
            let fleet = Fleet::start(&zones, links, 10, seed).await;
            let calls = fleet.store.0.server_list_calls.get() as usize;
            assert!(calls <= zones.len(), "{calls} lists of the servers");
        });
    }
}

/// Guards against VMs that list all servers in the store though another VM is sending them.
#[test]
fn vms_that_are_being_fed_when_they_start_do_not_read_the_store() {
    simulate(async {
        let links = Links {
            large_mbit: 20,
            small_mbit: 20,
        };
        let fleet = Fleet::start(&[40], links, 10, 1).await;
        write_servers(&fleet, 0..8_000);
        tokio::time::sleep(REST_TIME).await;
        let before = fleet.store.0.server_list_calls.get();
        let feeders = fleet.feeders();
        let (down, _): (Vec<_>, Vec<_>) = (0..fleet.len()).partition(|vm| !feeders.contains(vm));
        down.iter().for_each(|vm| fleet.power_off(*vm));
        tokio::time::sleep(REST_TIME).await;
        down.iter().for_each(|vm| fleet.power_on(*vm, false));
        tokio::time::sleep(2 * REST_TIME).await;
        (0..fleet.len()).for_each(|vm| assert_eq!(count_at(&fleet, vm), 8_000));
        let calls = fleet.store.0.server_list_calls.get() - before;
        assert_eq!(calls, 0, "lists by {} VMs", down.len());
    });
}

/// Guards against all VMs that are left reading the store when most have lost power.
#[test]
fn vms_whose_feeders_lost_power_find_others_before_they_read_the_store() {
    simulate(async {
        let fleet = Fleet::start(&[120], LINKS, 10, 1).await;
        // Of those that the zone's record names, the last is left.
        let named = fleet.store.0.zones.borrow()[0].vms.clone();
        let place = |vm: &usize| {
            let host = fleet.network.host(*vm).expect("a VM with power");
            let name = &host.context.settings.vm;
            named.iter().position(|other| other.name == *name)
        };
        let is_down = |vm: &usize| match place(vm) {
            Some(place) => place + 1 < named.len(),
            None => vm % 5 > 1,
        };
        let (down, left): (Vec<_>, Vec<_>) = (0..fleet.len()).partition(is_down);
        down.iter().for_each(|vm| fleet.set_link_cut(*vm, true));
        let mut readers = std::collections::HashSet::new();
        let until = Instant::now() + REST_TIME;
        while Instant::now() < until {
            let hosts = left
                .iter()
                .filter_map(|vm| Some((*vm, fleet.network.host(*vm)?)));
            let reading = hosts.filter(|(_, host)| host.store_access.is_reading());
            readers.extend(reading.map(|(vm, _)| vm));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let count = readers.len();
        assert!(count <= 4, "{count} of {} VMs read the store", left.len());
    });
}
