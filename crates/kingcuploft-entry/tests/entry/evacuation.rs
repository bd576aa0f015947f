//! Evacuated availability zones, as callers and backend servers see them.

use std::time::{Duration, Instant};

use kingcuploft_entry::run;

use crate::server::{Behavior, TestServer};
use crate::store::TestStore;
use crate::testbed::{
    HEADER_NAMES, Testbed, booking, configuration, entry, lookup, run_test, settings, start,
    wait_until,
};

/// The most that an immediate refusal may take: half of the time for which a request is held that waits for a good
/// server.
const MAX_IMMEDIATE_WAIT: Duration = Duration::from_millis(2_000);

/// Starts a server in the VM's zone, and one in another.
async fn two_zones() -> Testbed {
    let store = TestStore::default();
    store.0.write_configuration(configuration(1));
    let mut servers = Vec::new();
    for (at, zone) in ["thun", "bern"].into_iter().enumerate() {
        let server = TestServer::start(Behavior::Answer).await;
        let mut entry = entry(at, &server);
        entry.zone = zone.into();
        store.0.write_backend_server(entry);
        servers.push(server);
    }
    let vm = start("vm", &store).await;
    let store = store.0;
    Testbed { vm, store, servers }
}

async fn ask(testbed: &Testbed, count: usize) {
    for at in 0..count {
        let request = match at % 2 {
            0 => lookup(&format!("l{at}")),
            _ => booking(&format!("b{at}")),
        };
        assert_eq!(testbed.ask(&request).await.status, 200);
    }
}

#[test]
fn a_zone_that_is_evacuated_gets_nothing_until_it_is_taken_back() {
    run_test(async {
        let testbed = two_zones().await;
        let seen = |at: usize| testbed.servers[at].received.borrow().len();
        ask(&testbed, 6).await;
        assert_eq!([seen(0), seen(1)], [6, 0]);
        testbed.store.set_evacuated("thun", true);
        wait_until(|| testbed.vm.context.evacuations.borrow().is_evacuated("thun")).await;
        ask(&testbed, 6).await;
        assert_eq!([seen(0), seen(1)], [6, 6]);
        testbed.store.set_evacuated("thun", false);
        wait_until(|| !testbed.vm.context.evacuations.borrow().is_evacuated("thun")).await;
        ask(&testbed, 6).await;
        assert_eq!([seen(0), seen(1)], [12, 6]);
    });
}

/// Guards against a request that is held until its deadline although no server may get it.
#[test]
fn a_caller_is_refused_at_once_and_told_when_to_come_back_while_all_zones_are_evacuated() {
    run_test(async {
        let testbed = two_zones().await;
        for zone in ["thun", "bern"] {
            testbed.store.set_evacuated(zone, true);
            wait_until(|| testbed.vm.context.evacuations.borrow().is_evacuated(zone)).await;
        }
        let started_at = Instant::now();
        let answer = testbed.ask(&booking("b")).await;
        assert!(
            started_at.elapsed() < MAX_IMMEDIATE_WAIT,
            "held for {:?}",
            started_at.elapsed()
        );
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after: 2"), "{}", answer.head);
        let head = answer.head.to_ascii_lowercase();
        assert_eq!(head.matches("retry-after: ").count(), 1, "{head}");
        assert_eq!(testbed.received_count(), 0);
        testbed.store.set_evacuated("bern", false);
        wait_until(|| !testbed.vm.context.evacuations.borrow().is_evacuated("bern")).await;
        assert_eq!(testbed.ask(&booking("c")).await.status, 200);
    });
}

/// Guards against requests to an evacuated zone from a VM that has just started.
#[test]
fn a_vm_serves_nobody_before_it_knows_which_zones_are_evacuated() {
    run_test(async {
        let testbed = two_zones().await;
        testbed.store.set_evacuated("thun", true);
        let store = TestStore::client_of(&testbed.store);
        let second = run::start(settings("second"), HEADER_NAMES, store);
        while !second.context.is_ready() {
            assert!(!second.context.evacuations.borrow().is_evacuated("thun"));
            tokio::task::yield_now().await;
        }
        assert!(second.context.evacuations.borrow().is_evacuated("thun"));
    });
}
