//! One VM of a zone reads the store for the others.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::entry::repeat_account::UsageReport;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft_entry::peers::followers::Followers;
use kingcuploft_entry::peers::frame::Frame;
use kingcuploft_entry::run::{self, Running};
use kingcuploft_entry::settings::EntrySettings;
use kingcuploft_entry::store::Collection;

use crate::server::{Act, TestServer};
use crate::store::TestStore;
use crate::world::{WORDS, configuration, entry, play, settings, until};

/// Starts a VM of a zone that is known to have repeated nothing before.
pub(crate) async fn start_in_zone(name: &str, store: &TestStore) -> Running {
    let settings = EntrySettings {
        peers: Some(([127, 0, 0, 1], 0).into()),
        ..settings(name)
    };
    let vm = run::start(settings, WORDS, store.clone()).await.unwrap();
    vm.context.recover_repeats(&UsageReport {
        heard_ms: 1000,
        ..UsageReport::default()
    });
    until(|| vm.context.is_ready()).await;
    vm
}

pub(crate) fn followers(vms: &[Running]) -> usize {
    vms.iter().map(|vm| vm.context.followers.len()).sum()
}

pub(crate) async fn zone_of(count: usize, store: &TestStore) -> Vec<Running> {
    let mut vms = Vec::new();
    for at in 0..count {
        vms.push(start_in_zone(&format!("vm-{at}"), store).await);
    }
    vms
}

/// Guards against a watch, and a call for each change, at every VM.
#[test]
fn the_vms_of_a_zone_hear_of_changes_from_one_that_watches() {
    play(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let vms = zone_of(3, &store).await;
        until(|| followers(&vms) == 2).await;
        let watches = store.0.watch_calls.get();
        let server = TestServer::start(Act::Answer).await;
        store.0.write_configuration(configuration(2));
        store.0.write_backend_server(entry(0, &server));
        let version = |vm: &Running| vm.context.configuration().map(|c| c.version);
        until(|| vms.iter().all(|vm| version(vm) == Some(2))).await;
        until(|| vms.iter().all(|vm| vm.context.upstream("s0").is_some())).await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        let woken = store.0.watch_calls.get() - watches;
        assert!(woken <= 4, "{woken} watches for two changes");
    });
}

/// Guards against a leaving server that stays in use where the reader of the zone is gone.
#[test]
fn vms_whose_reader_is_gone_read_by_themselves() {
    play(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let server = TestServer::start(Act::Answer).await;
        store.0.write_backend_server(entry(0, &server));
        let vms = zone_of(3, &store).await;
        until(|| followers(&vms) == 2).await;
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

/// Guards against an account of all servers for each of the VMs that join together.
#[test]
fn followers_that_join_together_share_one_account() {
    let (followers, written) = (Followers::default(), Cell::new(0));
    let account = || {
        let write = || {
            written.set(written.get() + 1);
            b"all that there is\n".to_vec()
        };
        followers.server_snapshot(write)
    };
    let (first, second) = (account(), account());
    assert!(Rc::ptr_eq(&first, &second));
    followers.send(&Frame::ServerGone("s0".into()));
    let after_a_change = account();
    assert_eq!(written.get(), 2);
    drop((first, second, after_a_change));
    account();
    assert_eq!(
        written.get(),
        3,
        "it is kept while somebody needs it, and no longer"
    );
}

/// Guards against new VMs that see few others and repeat as much as all may together.
#[test]
fn new_vms_that_start_together_never_take_themselves_for_few() {
    play(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let start = |at: usize| {
            let settings = EntrySettings {
                peers: Some(([127, 0, 0, 1], 0).into()),
                // Each in a zone of its own: none hears of the others from a reader.
                zone: format!("zone-{at}").into(),
                ..settings(&format!("vm-{at}"))
            };
            run::start(settings, WORDS, store.clone())
        };
        let mut vms = Vec::new();
        for at in 0..12 {
            vms.push(start(at).await.unwrap());
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
        for _ in 0..40 {
            for vm in &vms {
                assert!(
                    vm.context.vm_count.get() >= 12,
                    "{}",
                    vm.context.vm_count.get()
                );
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        until(|| vms.iter().all(|vm| vm.context.vm_count.get() == 12)).await;
    });
}

/// Guards against refusing callers while a VM waits for a reader without power.
#[test]
fn a_vm_that_knows_nothing_does_not_wait_for_a_reader_that_says_nothing() {
    play(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let mute = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let large = VmEntry {
            name: "vm-large".into(),
            zone: "thun".into(),
            address: mute.local_addr().unwrap(),
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

/// Guards against refusing callers while a VM waits for the store to say which VMs there are.
#[test]
fn a_vm_that_knows_nothing_does_not_wait_for_the_list_of_zones() {
    play(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        store.0.zone_list_hangs.set(true);
        let vm = start_in_zone("vm", &store).await;
        assert_eq!(vm.context.readers.borrow().records(), vec![]);
    });
}

/// Starts a VM of a zone; all zones belong together.
async fn start_of(zone: &str, name: &str, store: &TestStore) -> Running {
    let settings = EntrySettings {
        peers: Some(([127, 0, 0, 1], 0).into()),
        zone: zone.into(),
        ..settings(name)
    };
    let vm = run::start(settings, WORDS, store.clone()).await.unwrap();
    until(|| vm.context.is_ready()).await;
    vm
}

/// Guards against one VM that tells all others, and against changes that don't reach those at third hand.
#[test]
fn one_vm_watches_for_all_zones_and_tells_few() {
    play(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let mut vms = Vec::new();
        for at in 0..15 {
            vms.push(start_of("thun", &format!("thun-{at}"), &store).await);
        }
        for at in 0..5 {
            vms.push(start_of("bern", &format!("bern-{at}"), &store).await);
        }
        until(|| followers(&vms) == 19).await;
        let most = vms.iter().map(|vm| vm.context.followers.len()).max();
        assert!(most <= Some(13), "{most:?}");
        let watches = store.0.watch_calls.get();
        store.0.write_configuration(configuration(2));
        let version = |vm: &Running| vm.context.configuration().map(|c| c.version);
        until(|| vms.iter().all(|vm| version(vm) == Some(2))).await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        let woken = store.0.watch_calls.get() - watches;
        assert!(woken <= 2, "{woken} watches for a change");
    });
}

/// Guards against a zone that misses all changes where the store turns its reader away alone.
#[test]
fn a_vm_that_the_store_answers_reads_in_place_of_one_that_it_turns_away() {
    play(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let turned_away = TestStore::separate_client(&store);
        let reader = start_of("thun", "reader", &turned_away).await;
        let second = start_of("thun", "second", &store).await;
        until(|| reader.context.followers.len() == 1).await;
        let named = || {
            store
                .0
                .zones
                .borrow()
                .first()
                .map_or(0, |record| record.vms.len())
        };
        until(|| named() == 2).await;
        turned_away.1.set(true);
        until(|| second.context.followers.len() == 1).await;
        store.0.write_configuration(configuration(2));
        let version = |vm: &Running| vm.context.configuration().map(|c| c.version);
        until(|| version(&reader) == Some(2) && version(&second) == Some(2)).await;
    });
}

/// Every VM has an address of others in its settings. A VM that starts while the store is silent learns all from them.
#[test]
fn a_vm_that_starts_while_the_store_is_silent_learns_all_from_those_its_settings_name() {
    play(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let seed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let control = seed.local_addr().unwrap();
        drop(seed);
        let running = EntrySettings {
            peers: Some(([127, 0, 0, 1], 0).into()),
            control: Some(control),
            ..settings("running")
        };
        let running = run::start(running, WORDS, store.clone()).await.unwrap();
        until(|| running.context.is_ready() && !store.0.zones.borrow().is_empty()).await;
        store.0.silent.set(true);
        let added = EntrySettings {
            peers: Some(([127, 0, 0, 1], 0).into()),
            seeds: vec![control],
            ..settings("added")
        };
        let added = run::start(added, WORDS, store.clone()).await.unwrap();
        until(|| added.context.is_ready()).await;
        assert_eq!(running.context.followers.len(), 1);
    });
}

/// Guards against a VM that takes the reader for one that is behind for as long as nothing changes.
#[test]
fn a_vm_that_read_a_moment_later_than_the_reader_follows_it() {
    play(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let reader = start_in_zone("reader", &store).await;
        until(|| !store.0.zones.borrow().is_empty()).await;
        let second = start_in_zone("second", &store).await;
        let counts_both = |record: &ZoneRecord| record.settled && record.count == 2;
        until(|| store.0.zones.borrow().first().is_some_and(counts_both)).await;
        store.0.advance_revision(1000);
        second.context.set_position(Collection::Configuration, 900);
        second.context.set_position(Collection::BackendServers, 900);
        reader.context.followers.disconnect_all();
        until(|| reader.context.followers.is_empty()).await;
        until(|| reader.context.followers.len() == 1).await;
        until(|| second.context.feeder.borrow().is_some()).await;
    });
}
