//! Cold starts of backend servers: how many requests cold servers get.

use std::time::Duration;

use kingcuploft_entry::run::Running;
use kingcuploft_entry::settings::EntrySettings;

use crate::following::{follower_count, zone_of};
use crate::server::{Behavior, TestServer};
use crate::store::TestStore;
use crate::testbed::{
    Caller, Testbed, entry, lookup, run_test, settings, start_with, wait_until, with_cold_starts,
};

/// The most requests that the users allow within any second for a cold server that bears two a second.
const MAX_REQUESTS: usize = 11;

/// How many callers send a request at the same moment.
const CALLER_COUNT: usize = 100;

/// More VMs than a cold server bears requests a second.
const VM_COUNT: usize = 20;

/// The memory of a VM that holds the requests of all callers at once.
const ROOMY_MEMORY_BYTES: usize = 160_000_000;

const WORK_TIME: Duration = Duration::from_millis(60);

/// Returns the settings of a VM that holds the requests of all callers at once.
fn roomy() -> EntrySettings {
    EntrySettings {
        memory_bytes: ROOMY_MEMORY_BYTES,
        ..settings("vm")
    }
}

/// Starts a server in the VM's zone that is cold for this long, and servers in another zone that are not.
async fn two_zones(cold_for: Duration) -> (TestStore, Vec<TestServer>) {
    let store = TestStore::default();
    store.0.write_configuration(with_cold_starts(1));
    let mut servers = Vec::new();
    for (at, zone) in ["thun", "bern", "bern", "bern"].into_iter().enumerate() {
        let server = TestServer::start(Behavior::AnswerAfter(WORK_TIME)).await;
        let mut entry = entry(at, &server);
        entry.zone = zone.into();
        if at == 0 {
            entry.cold_for = cold_for;
        }
        store.0.write_backend_server(entry);
        servers.push(server);
    }
    (store, servers)
}

/// Sends a request of each caller to these VMs at the same moment; returns how many were served.
async fn ask_from_all_callers(vms: &[Running]) -> usize {
    let mut callers = Vec::new();
    for at in 0..CALLER_COUNT {
        callers.push(Caller::connect(vms[at % vms.len()].caller_address).await);
    }
    for (at, caller) in callers.iter_mut().enumerate() {
        caller.send(&lookup(&format!("r{at}"))).await;
    }
    let mut served = 0;
    for mut caller in callers {
        let answer = caller.answer().await;
        served += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }
    served
}

/// Guards against a server that has just started, looks near and idle to all VMs, and crashes under what they send it.
#[test]
fn a_server_that_joins_cold_gets_little_from_all_vms_and_callers_are_served_elsewhere() {
    run_test(async {
        let (store, servers) = two_zones(Duration::from_secs(3)).await;
        let vms = zone_of(3, &store).await;
        wait_until(|| follower_count(&vms) == 2).await;
        // After so long a VM has accumulated the allowance for one request.
        tokio::time::sleep(Duration::from_millis(1100)).await;
        assert_eq!(ask_from_all_callers(&vms).await, CALLER_COUNT);
        let seen = servers[0].received.borrow().len();
        assert!((1..=MAX_REQUESTS).contains(&seen), "{seen}");
    });
}

/// Guards against servers that turned cold while their zone was evacuated, and get the zone's whole load when the
/// evacuation ends.
#[test]
fn servers_of_a_zone_that_is_taken_back_say_first_whether_they_are_cold() {
    run_test(async {
        let (store, servers) = two_zones(Duration::ZERO).await;
        let vms = [start_with(roomy(), &store).await];
        assert_eq!(ask_from_all_callers(&vms).await, CALLER_COUNT);
        let before = servers[0].received.borrow().len();
        assert!(before > MAX_REQUESTS, "{before}");
        store.0.set_evacuated("thun", true);
        wait_until(|| vms[0].context.evacuations.borrow().is_evacuated("thun")).await;
        servers[0].cold_ms.set(3_000);
        store.0.set_evacuated("thun", false);
        wait_until(|| !vms[0].context.evacuations.borrow().is_evacuated("thun")).await;
        assert_eq!(ask_from_all_callers(&vms).await, CALLER_COUNT);
        let seen = servers[0].received.borrow().len() - before;
        assert!(seen <= MAX_REQUESTS, "{seen}");
    });
}

/// Guards against one request of each VM to a server that may be cold but has not said so yet, as it is slow to answer.
#[test]
fn a_server_that_may_be_cold_gets_nothing_before_it_has_said_so() {
    run_test(async {
        let store = TestStore::default();
        store.0.write_configuration(with_cold_starts(1));
        let server = TestServer::start(Behavior::AnswerAfter(WORK_TIME)).await;
        server.accept_delay.set(Duration::from_millis(200));
        store.0.write_backend_server(entry(0, &server));
        store.0.set_evacuated("thun", true);
        let vms = zone_of(VM_COUNT, &store).await;
        wait_until(|| follower_count(&vms) == VM_COUNT - 1).await;
        server.cold_ms.set(3_000);
        store.0.set_evacuated("thun", false);
        let holds = |vm: &Running| vm.context.evacuations.borrow().is_evacuated("thun");
        wait_until(|| !vms.iter().any(holds)).await;
        ask_from_all_callers(&vms).await;
        let seen = server.received.borrow().len();
        assert!((1..=MAX_REQUESTS).contains(&seen), "{seen}");
    });
}

/// Guards against a zone with warm servers that stays unused after its evacuation.
#[test]
fn servers_of_a_zone_that_is_taken_back_warm_get_work_once_they_have_said_so() {
    run_test(async {
        let (store, servers) = two_zones(Duration::ZERO).await;
        let vms = [start_with(roomy(), &store).await];
        for is_evacuated in [true, false] {
            store.0.set_evacuated("thun", is_evacuated);
            let holds = || vms[0].context.evacuations.borrow().is_evacuated("thun");
            wait_until(|| holds() == is_evacuated).await;
        }
        assert_eq!(ask_from_all_callers(&vms).await, CALLER_COUNT);
        let seen = servers[0].received.borrow().len();
        assert!(seen > MAX_REQUESTS, "{seen}");
        assert_eq!(vms[0].context.limits.borrow().cold_count(), 0);
    });
}

/// Guards against a server that turns cold while it runs, and gets as many requests as before.
#[test]
fn a_server_that_says_that_it_has_turned_cold_is_kept_to_what_it_bears() {
    run_test(async {
        let (store, servers) = two_zones(Duration::ZERO).await;
        let testbed = Testbed {
            vm: start_with(roomy(), &store).await,
            store: store.0.clone(),
            servers,
        };
        testbed.servers[0].cold_ms.set(3_000);
        testbed.ask(&lookup("first")).await;
        wait_until(|| testbed.vm.context.limits.borrow().cold_count() == 1).await;
        let before = testbed.servers[0].received.borrow().len();
        assert_eq!(
            ask_from_all_callers(std::slice::from_ref(&testbed.vm)).await,
            CALLER_COUNT
        );
        let seen = testbed.servers[0].received.borrow().len() - before;
        assert!(seen <= MAX_REQUESTS, "{seen}");
    });
}
