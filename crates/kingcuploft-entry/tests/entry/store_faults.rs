//! Faults of the store: it hangs, compacts its history, refuses writes or is unavailable. The VM keeps what the store
//! has said.

use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft_entry::run;
use kingcuploft_entry::settings::EntrySettings;

use crate::server::{Behavior, TestServer};
use crate::store::TestStore;
use crate::testbed::{
    HEADER_NAMES, Testbed, configuration, entry, lookup, run_in_virtual_time, run_test, settings,
    start, wait_until, with_route,
};

fn version(vm: &run::Running) -> u64 {
    vm.context.configuration().map_or(0, |c| c.version)
}

/// Guards against a watch that gets no answer any more after the store was silent.
#[test]
fn a_configuration_after_a_silent_spell_is_in_force_within_two_seconds() {
    run_in_virtual_time(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(1));
        let vm = start("vm", &store).await;
        store.0.silent.set(true);
        // Wakes the waiting watches, which then hang for good, as on a connection gone silent.
        store.0.write_configuration(configuration(2));
        tokio::time::sleep(Duration::from_secs(8)).await;
        assert_eq!(version(&vm), 1);
        store.0.silent.set(false);
        store.0.write_configuration(configuration(3));
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(version(&vm), 3);
    });
}

/// Guards against a leaving server that is missed because the store has compacted its history.
#[test]
fn what_changed_while_the_store_compacted_its_history_is_known_from_a_new_list() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer, Behavior::Answer]).await;
        testbed.store.compacted_until.set(1000);
        testbed.store.remove_backend_server("s0");
        wait_until(|| testbed.store.list_calls.get() >= 3).await;
        wait_until(|| testbed.vm.context.upstream("s0").is_none()).await;
        assert!(testbed.vm.context.upstream("s1").is_some());
    });
}

/// Guards against an older configuration that reaches the store's readers after a newer one.
#[test]
fn a_configuration_never_goes_back() {
    run_in_virtual_time(async {
        let store = TestStore::default();
        store.0.write_configuration(configuration(5));
        let vm = start("vm", &store).await;
        store.0.write_configuration(configuration(4));
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(version(&vm), 5);
    });
}

#[test]
fn a_leaving_server_gets_no_new_work_within_two_seconds() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer, Behavior::Answer]).await;
        let leaving = BackendServer {
            draining: true,
            ..entry(0, &testbed.servers[0])
        };
        testbed.store.write_backend_server(leaving);
        tokio::time::sleep(Duration::from_millis(1800)).await;
        let before = testbed.servers[0].received.borrow().len();
        for id in 0..10 {
            assert_eq!(testbed.ask(&lookup(&format!("r{id}"))).await.status, 200);
        }
        assert_eq!(testbed.servers[0].received.borrow().len(), before);
    });
}

#[test]
fn requests_are_served_while_the_store_is_away() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        testbed.store.silent.set(true);
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert_eq!(testbed.ask(&lookup("r1")).await.status, 200);
        assert!(testbed.vm.context.is_ready());
    });
}

#[test]
fn a_vm_that_knows_no_configuration_refuses_and_is_not_ready() {
    run_test(async {
        let store = TestStore::default();
        let vm = run::start(settings("vm"), HEADER_NAMES, store);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!vm.context.is_ready());
        let mut asking = crate::testbed::Caller::connect(vm.readiness_address).await;
        asking.send("GET /ready HTTP/1.1\r\nHost: vm\r\n\r\n").await;
        let told = asking.answer().await.unwrap();
        assert_eq!(
            (told.status, told.body.as_str()),
            (503, "missing: configuration\n")
        );
        let mut caller = crate::testbed::Caller::connect(vm.caller_address).await;
        caller.send(&lookup("r1")).await;
        let answer = caller.answer().await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after"));
    });
}

/// Guards against a new VM that refuses callers because it can't write its zone's record.
#[test]
fn a_new_vm_serves_while_the_store_refuses_writes() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let store = TestStore(testbed.store.clone(), std::rc::Rc::default());
        store.0.refuses_writes.set(true);
        let settings = EntrySettings {
            peer_address: Some(([127, 0, 0, 1], 0).into()),
            ..settings("added")
        };
        let added = run::start(settings, HEADER_NAMES, store);
        wait_until(|| added.context.is_ready()).await;
        testbed.store.refuses_writes.set(false);
        wait_until(|| !testbed.store.zones.borrow().is_empty()).await;
    });
}

fn unknown(id: &str) -> String {
    lookup(id).replace("/look/a", "/new/a")
}

/// Guards against status 404 for a route that was added, from a VM that knows that a newer configuration exists.
#[test]
fn a_route_that_may_be_new_is_refused_as_not_run_and_one_that_is_known_is_served() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        assert_eq!(testbed.ask(&unknown("r1")).await.status, 404);
        testbed.vm.context.active_configuration.note_version(2);
        let answer = testbed.ask(&unknown("r2")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after"));
        assert_eq!(testbed.ask(&lookup("r3")).await.status, 200);
        testbed.store.write_configuration(configuration(2));
        wait_until(|| version(&testbed.vm) == 2).await;
        assert_eq!(testbed.ask(&unknown("r4")).await.status, 404);
    });
}

/// Guards against an immediate refusal of a request that would be served after a moment's wait.
#[test]
fn a_request_on_a_route_that_may_be_new_waits_a_moment_for_it() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        testbed.vm.context.active_configuration.note_version(2);
        let mut caller = testbed.caller().await;
        caller.send(&unknown("r1")).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        testbed.store.write_configuration(with_route(2, "/new/"));
        assert_eq!(caller.answer().await.unwrap().status, 200);
    });
}

/// Guards against requests to a server that joined and left between two updates from the store.
#[test]
fn a_server_that_joined_and_left_in_one_update_gets_no_work() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let server = TestServer::start(Behavior::Answer).await;
        let ready = BackendServer {
            name: "short-lived".into(),
            ..entry(9, &server)
        };
        testbed.store.write_backend_server(ready.clone());
        testbed.store.write_backend_server(BackendServer {
            draining: true,
            ..ready
        });
        let knows = || {
            testbed
                .vm
                .context
                .with_servers(|known| known.get("short-lived").is_some())
        };
        wait_until(knows).await;
        assert!(testbed.vm.context.upstream("short-lived").is_none());
    });
}

/// Guards against a VM that serves on by an old configuration, as the task that follows the store has panicked.
#[test]
fn a_task_that_panics_while_it_follows_the_store_is_begun_anew() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let version = || testbed.vm.context.configuration().map(|c| c.version);
        for (panics, next) in [(1, 2), (5, 3)] {
            testbed.store.watch_panics.set(panics);
            // Wakes the watches, each of which panics at its next call.
            testbed.store.write_configuration(configuration(next));
            wait_until(|| testbed.store.watch_panics.get() == 0).await;
            testbed.store.write_configuration(configuration(next + 10));
            wait_until(|| version() == Some(next + 10)).await;
        }
        assert_eq!(testbed.ask(&lookup("r")).await.status, 200);
        let text = testbed.vm.context.metrics.to_text();
        assert!(text.contains("duties_failed_total{reason="), "{text}");
    });
}
