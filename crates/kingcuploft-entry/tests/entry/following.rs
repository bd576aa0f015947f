//! One VM of a zone reads the store, and the others follow it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::repeat_account::UsageReport;
use kingcuploft::entry::vm_count::VmCount;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft_entry::network::{Network, Tcp};
use kingcuploft_entry::peers::followers::Followers;
use kingcuploft_entry::peers::frame::Frame;
use kingcuploft_entry::peers::peer_socket::PeerMessage;
use kingcuploft_entry::run::{self, Running};
use kingcuploft_entry::settings::EntrySettings;
use kingcuploft_entry::store::Collection;
use tokio::net::UdpSocket;

use crate::server::{Behavior, TestServer};
use crate::store::TestStore;
use crate::testbed::{
    HEADER_NAMES, assume_large_fleet, configuration, entry, run_test, settings, wait_until,
};

/// Starts a VM of a zone, for which it is known that it has repeated nothing before.
pub(crate) async fn start_in_zone(name: &str, store: &TestStore) -> Running {
    start_with_network(Rc::new(Tcp), "thun", name, store).await
}

/// Starts a VM of this zone that reaches backend servers through `network`.
pub(crate) async fn start_with_network(
    network: Rc<dyn Network>,
    zone: &str,
    name: &str,
    store: &TestStore,
) -> Running {
    start_with_settings(network, zone, settings(name), store).await
}

/// As [`start_with_network`], with other settings than the usual ones.
pub(crate) async fn start_with_settings(
    network: Rc<dyn Network>,
    zone: &str,
    settings: EntrySettings,
    store: &TestStore,
) -> Running {
    let settings = EntrySettings {
        zone: zone.into(),
        peer_address: Some(([127, 0, 0, 1], 0).into()),
        ..settings
    };
    let vm = run::start_with_network(network, settings, HEADER_NAMES, store.clone());
    vm.context.recover_repeats(&UsageReport {
        heard_ms: 1000,
        ..UsageReport::default()
    });
    assume_large_fleet(&vm);
    wait_until(|| vm.context.is_ready()).await;
    vm
}

pub(crate) fn follower_count(vms: &[Running]) -> usize {
    vms.iter().map(|vm| vm.context.followers.len()).sum()
}

pub(crate) async fn zone_of(count: usize, store: &TestStore) -> Vec<Running> {
    let mut vms = Vec::new();
    for at in 0..count {
        vms.push(start_in_zone(&format!("vm-{at}"), store).await);
    }
    vms
}

/// Guards against a watch of every VM, each of which costs a call for each change.
#[test]
fn the_vms_of_a_zone_get_changes_from_one_that_watches() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let vms = zone_of(3, &store).await;
        wait_until(|| follower_count(&vms) == 2).await;
        let watches = store.0.watch_calls.get();
        let server = TestServer::start(Behavior::Answer).await;
        store.0.write_configuration(configuration(2));
        store.0.write_backend_server(entry(0, &server));
        let version = |vm: &Running| vm.context.configuration().map(|c| c.version);
        wait_until(|| vms.iter().all(|vm| version(vm) == Some(2))).await;
        wait_until(|| vms.iter().all(|vm| vm.context.upstream("s0").is_some())).await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        let watches_woken = store.0.watch_calls.get() - watches;
        assert!(
            watches_woken <= 4,
            "{watches_woken} watches for two changes"
        );
    });
}

/// Guards against a leaving server that stays in use where the reader of the zone has failed.
#[test]
fn vms_whose_reader_has_failed_read_the_store_themselves() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let server = TestServer::start(Behavior::Answer).await;
        store.0.write_backend_server(entry(0, &server));
        let vms = zone_of(3, &store).await;
        wait_until(|| follower_count(&vms) == 2).await;
        let at = vms.iter().position(|vm| !vm.context.followers.is_empty());
        let reader = &vms[at.unwrap()];
        reader.context.followers.forget_without_closing();
        store.0.remove_backend_server("s0");
        tokio::time::sleep(Duration::from_millis(1900)).await;
        for vm in vms
            .iter()
            .filter(|vm| vm.context.settings.vm != reader.context.settings.vm)
        {
            assert!(
                vm.context.upstream("s0").is_none(),
                "{}",
                vm.context.settings.vm
            );
        }
    });
}

/// Guards against a copy of all servers' entries for each of the VMs that join together.
#[test]
fn followers_that_join_together_share_one_server_snapshot() {
    let (followers, written) = (Followers::default(), Cell::new(0));
    let snapshot = || {
        let write = || {
            written.set(written.get() + 1);
            b"all that there is\n".to_vec()
        };
        followers.server_snapshot(write)
    };
    let (first, second) = (snapshot(), snapshot());
    assert!(Rc::ptr_eq(&first, &second));
    followers.send(&Frame::ServerGone("s0".into()));
    let after_a_change = snapshot();
    assert_eq!(written.get(), 2);
    drop((first, second, after_a_change));
    snapshot();
    assert_eq!(
        written.get(),
        3,
        "it is kept while somebody needs it, and no longer"
    );
}

/// Guards against new VMs that count too few others and repeat as much as all may together.
#[test]
fn new_vms_that_start_together_never_count_too_few() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let start = |at: usize| {
            let settings = EntrySettings {
                peer_address: Some(([127, 0, 0, 1], 0).into()),
                // Each VM is in a zone of its own, so that none learns of the others from a reader.
                zone: format!("zone-{at}").into(),
                ..settings(&format!("vm-{at}"))
            };
            run::start(settings, HEADER_NAMES, store.clone())
        };
        let mut vms = Vec::new();
        for at in 0..12 {
            vms.push(start(at));
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
        for _ in 0..40 {
            for vm in &vms {
                let vms = vm.context.vm_count.get();
                assert!(vms.divisor() >= 12, "{vms:?}");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        wait_until(|| {
            vms.iter()
                .all(|vm| vm.context.vm_count.get() == VmCount::Counted(12))
        })
        .await;
    });
}

/// Guards against callers that are refused while a VM waits for a reader without power.
#[test]
fn a_vm_that_is_not_ready_does_not_wait_for_a_silent_reader() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let silent_listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let large = VmEntry {
            name: "vm-large".into(),
            zone: "thun".into(),
            address: silent_listener.local_addr().unwrap(),
            cpu_milli: 4000,
        };
        let record = ZoneRecord {
            settled: true,
            ..ZoneRecord::first(&large)
        };
        store.0.zones.borrow_mut().push(record);
        let vm = start_in_zone("vm", &store).await;
        let counters = vm.context.metrics_text();
        let given_up = |line: &&str| line.contains("readers_lost") && line.contains("silent");
        let line = counters.lines().find(given_up);
        assert_eq!(line, None, "ready before the reader was given up");
    });
}

/// Guards against callers that are refused while a VM waits for the store's list of zones.
#[test]
fn a_vm_that_is_not_ready_does_not_wait_for_the_list_of_zones() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        store.0.zone_list_hangs.set(true);
        let vm = start_in_zone("vm", &store).await;
        assert_eq!(vm.context.readers.borrow().records(), vec![]);
    });
}

/// Starts a VM of a zone; all zones are in one region.
async fn start_of(zone: &str, name: &str, store: &TestStore) -> Running {
    let settings = EntrySettings {
        peer_address: Some(([127, 0, 0, 1], 0).into()),
        zone: zone.into(),
        ..settings(name)
    };
    let vm = run::start(settings, HEADER_NAMES, store.clone());
    wait_until(|| vm.context.is_ready()).await;
    vm
}

/// Guards against one VM that feeds all others, and against changes that don't reach those fed at third hand.
#[test]
fn one_vm_watches_for_all_zones_and_feeds_few() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let mut vms = Vec::new();
        for at in 0..15 {
            vms.push(start_of("thun", &format!("thun-{at}"), &store).await);
        }
        for at in 0..5 {
            vms.push(start_of("bern", &format!("bern-{at}"), &store).await);
        }
        wait_until(|| follower_count(&vms) == 19).await;
        let most = vms.iter().map(|vm| vm.context.followers.len()).max();
        assert!(most <= Some(13), "{most:?}");
        let watches = store.0.watch_calls.get();
        store.0.write_configuration(configuration(2));
        let version = |vm: &Running| vm.context.configuration().map(|c| c.version);
        wait_until(|| vms.iter().all(|vm| version(vm) == Some(2))).await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        let watches_woken = store.0.watch_calls.get() - watches;
        assert!(watches_woken <= 2, "{watches_woken} watches for a change");
    });
}

/// Guards against a zone that misses all changes because the store turns away its reader alone.
#[test]
fn a_vm_that_the_store_answers_reads_in_place_of_one_that_it_turns_away() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let turned_away = TestStore::separate_client(&store);
        let reader = start_of("thun", "reader", &turned_away).await;
        let second = start_of("thun", "second", &store).await;
        wait_until(|| reader.context.followers.len() == 1).await;
        let named = || {
            store
                .0
                .zones
                .borrow()
                .first()
                .map_or(0, |record| record.vms.len())
        };
        wait_until(|| named() == 2).await;
        turned_away.1.set(true);
        wait_until(|| second.context.followers.len() == 1).await;
        store.0.write_configuration(configuration(2));
        let version = |vm: &Running| vm.context.configuration().map(|c| c.version);
        wait_until(|| version(&reader) == Some(2) && version(&second) == Some(2)).await;
    });
}

/// Guards against a VM that starts while the store is silent and does not sync from the VMs that its settings name.
#[test]
fn a_vm_that_starts_while_the_store_is_silent_syncs_from_its_seeds() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let seed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let control = seed.local_addr().unwrap();
        drop(seed);
        let running = EntrySettings {
            peer_address: Some(([127, 0, 0, 1], 0).into()),
            control_address: Some(control),
            ..settings("running")
        };
        let running = run::start(running, HEADER_NAMES, store.clone());
        wait_until(|| running.context.is_ready() && !store.0.zones.borrow().is_empty()).await;
        store.0.silent.set(true);
        let added = EntrySettings {
            peer_address: Some(([127, 0, 0, 1], 0).into()),
            seeds: vec![control],
            ..settings("added")
        };
        let added = run::start(added, HEADER_NAMES, store.clone());
        wait_until(|| added.context.is_ready()).await;
        assert_eq!(running.context.followers.len(), 1);
    });
}

/// Guards against a VM that takes the reader for one that is behind, for as long as nothing changes in the store.
#[test]
fn a_vm_that_read_a_moment_later_than_the_reader_follows_it() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let reader = start_in_zone("reader", &store).await;
        wait_until(|| !store.0.zones.borrow().is_empty()).await;
        let second = start_in_zone("second", &store).await;
        let counts_both = |record: &ZoneRecord| record.settled && record.count == 2;
        wait_until(|| store.0.zones.borrow().first().is_some_and(counts_both)).await;
        store.0.advance_revision(1000);
        second.context.set_position(Collection::Configuration, 900);
        second.context.set_position(Collection::BackendServers, 900);
        reader.context.followers.disconnect_all();
        wait_until(|| reader.context.followers.is_empty()).await;
        wait_until(|| reader.context.followers.len() == 1).await;
        wait_until(|| second.context.feeder.borrow().is_some()).await;
    });
}

/// Guards against a message that is cut on receipt and dropped, as the names in it are long.
#[test]
fn a_datagram_of_any_length_that_can_be_sent_is_received() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let _vm = start_in_zone("vm", &store).await;
        wait_until(|| !store.0.zones.borrow().is_empty()).await;
        let address = store.0.zones.borrow()[0].vms[0].address;
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        for length in [1, 5_000, 20_000, 60_000] {
            let service = "s".repeat(length);
            let asked = PeerMessage::ReachRequest {
                service: service.as_str().into(),
                configuration: u64::MAX,
            };
            let asked = serde_json::to_vec(&asked).unwrap();
            socket.send_to(&asked, address).await.unwrap();
            let mut buffer = vec![0; 65_536];
            let receiving = socket.recv(&mut buffer);
            let received = tokio::time::timeout(Duration::from_secs(2), receiving).await;
            let received = received.expect("a reply").unwrap();
            let reply = serde_json::from_slice(&buffer[..received]).unwrap();
            assert!(
                matches!(reply, PeerMessage::ReachReply { service: named, reaches: false } if *named == *service)
            );
        }
    });
}
