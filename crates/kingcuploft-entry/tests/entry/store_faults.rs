//! The store is silent, forgets, or is away; what it says is kept.

use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft_entry::run;
use kingcuploft_entry::settings::EntrySettings;

use crate::server::{Act, TestServer};
use crate::store::TestStore;
use crate::world::{
    WORDS, World, configuration, entry, look, play, play_in_virtual_time, settings, start, until,
    with_route,
};

fn version(vm: &run::Running) -> u64 {
    vm.context.configuration().map_or(0, |c| c.version)
}

/// Guards against a watch that hears nothing any more after the store was silent.
#[test]
fn a_configuration_after_a_silent_spell_is_in_force_within_two_seconds() {
    play_in_virtual_time(async {
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

/// Guards against a leaving server that is missed as the store forgot its history.
#[test]
fn what_changed_while_the_store_forgot_is_known_from_a_new_list() {
    play(async {
        let world = World::with(&[Act::Answer, Act::Answer]).await;
        world.store.compacted_until.set(1000);
        world.store.remove_backend_server("s0");
        until(|| world.store.list_calls.get() >= 3).await;
        until(|| world.vm.context.upstream("s0").is_none()).await;
        assert!(world.vm.context.upstream("s1").is_some());
    });
}

/// An old configuration reaches the store's readers after a newer one.
#[test]
fn a_configuration_never_goes_back() {
    play_in_virtual_time(async {
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
    play(async {
        let world = World::with(&[Act::Answer, Act::Answer]).await;
        let leaving = BackendServer {
            draining: true,
            ..entry(0, &world.servers[0])
        };
        world.store.write_backend_server(leaving);
        tokio::time::sleep(Duration::from_millis(1800)).await;
        let before = world.servers[0].seen.borrow().len();
        for id in 0..10 {
            assert_eq!(world.ask(&look(&format!("r{id}"))).await.status, 200);
        }
        assert_eq!(world.servers[0].seen.borrow().len(), before);
    });
}

#[test]
fn requests_are_served_while_the_store_is_away() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        world.store.silent.set(true);
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert_eq!(world.ask(&look("r1")).await.status, 200);
        assert!(world.vm.context.is_ready());
    });
}

#[test]
fn a_vm_that_knows_no_configuration_refuses_and_is_not_ready() {
    play(async {
        let store = TestStore::default();
        let started = run::start(settings("vm"), WORDS, store);
        let vm = started.await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(!vm.context.is_ready());
        let mut caller = crate::world::Caller::connect(vm.callers).await;
        caller.send(&look("r1")).await;
        let answer = caller.answer().await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after"));
    });
}

/// Guards against a new VM that refuses callers as it can't make itself known.
#[test]
fn a_new_vm_serves_while_the_store_refuses_writes() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let store = TestStore(world.store.clone(), std::rc::Rc::default());
        store.0.refuses_writes.set(true);
        let settings = EntrySettings {
            peers: Some(([127, 0, 0, 1], 0).into()),
            ..settings("added")
        };
        let added = run::start(settings, WORDS, store).await.unwrap();
        until(|| added.context.is_ready()).await;
        world.store.refuses_writes.set(false);
        until(|| !world.store.zones.borrow().is_empty()).await;
    });
}

fn unknown(id: &str) -> String {
    look(id).replace("/look/a", "/new/a")
}

/// Guards against 404 for a route that was added, by a VM that knows that a newer configuration exists.
#[test]
fn a_route_that_may_be_new_is_refused_as_not_run_and_one_that_is_known_is_served() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        assert_eq!(world.ask(&unknown("r1")).await.status, 404);
        world.vm.context.active_configuration.note_version(2);
        let answer = world.ask(&unknown("r2")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after"));
        assert_eq!(world.ask(&look("r3")).await.status, 200);
        world.store.write_configuration(configuration(2));
        until(|| version(&world.vm) == 2).await;
        assert_eq!(world.ask(&unknown("r4")).await.status, 404);
    });
}

/// Guards against refusing at once what a moment's wait would serve.
#[test]
fn a_request_on_a_route_that_may_be_new_waits_a_moment_for_it() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        world.vm.context.active_configuration.note_version(2);
        let mut caller = world.caller().await;
        caller.send(&unknown("r1")).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        world.store.write_configuration(with_route(2, "/new/"));
        assert_eq!(caller.answer().await.unwrap().status, 200);
    });
}

/// Guards against work for a server that came and left between two looks at the store.
#[test]
fn a_server_that_joined_and_left_in_one_account_gets_no_work() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let server = TestServer::start(Act::Answer).await;
        let ready = BackendServer {
            name: "short-lived".into(),
            ..entry(9, &server)
        };
        world.store.write_backend_server(ready.clone());
        world.store.write_backend_server(BackendServer {
            draining: true,
            ..ready
        });
        let knows = || {
            world
                .vm
                .context
                .with_servers(|known| known.get("short-lived").is_some())
        };
        until(knows).await;
        assert!(world.vm.context.upstream("short-lived").is_none());
    });
}
