//! Availability zones that are evacuated, as callers and backend servers see it.

use std::time::{Duration, Instant};

use kingcuploft_entry::run;

use crate::server::{Act, TestServer};
use crate::store::TestStore;
use crate::world::{WORDS, World, book, configuration, entry, look, play, settings, start, until};

/// Half of the time for which a request is held that waits for a good server.
const AT_ONCE: Duration = Duration::from_millis(2_000);

/// A server in the VM's zone, and one in another.
async fn two_zones() -> World {
    let store = TestStore::default();
    store.0.write_configuration(configuration(1));
    let mut servers = Vec::new();
    for (at, zone) in ["thun", "bern"].into_iter().enumerate() {
        let server = TestServer::start(Act::Answer).await;
        let mut entry = entry(at, &server);
        entry.zone = zone.into();
        store.0.write_backend_server(entry);
        servers.push(server);
    }
    let vm = start("vm", &store).await;
    let store = store.0;
    World { vm, store, servers }
}

async fn ask(world: &World, count: usize) {
    for at in 0..count {
        let request = match at % 2 {
            0 => look(&format!("l{at}")),
            _ => book(&format!("b{at}")),
        };
        assert_eq!(world.ask(&request).await.status, 200);
    }
}

#[test]
fn a_zone_that_is_evacuated_gets_nothing_until_it_is_taken_back() {
    play(async {
        let world = two_zones().await;
        let seen = |at: usize| world.servers[at].seen.borrow().len();
        ask(&world, 6).await;
        assert_eq!([seen(0), seen(1)], [6, 0]);
        world.store.set_evacuated("thun", true);
        until(|| world.vm.context.evacuations.borrow().is_evacuated("thun")).await;
        ask(&world, 6).await;
        assert_eq!([seen(0), seen(1)], [6, 6]);
        world.store.set_evacuated("thun", false);
        until(|| !world.vm.context.evacuations.borrow().is_evacuated("thun")).await;
        ask(&world, 6).await;
        assert_eq!([seen(0), seen(1)], [12, 6]);
    });
}

/// Guards against a request that is held until its deadline though no server may have it.
#[test]
fn a_caller_is_refused_at_once_and_told_when_to_come_back_while_all_zones_are_evacuated() {
    play(async {
        let world = two_zones().await;
        for zone in ["thun", "bern"] {
            world.store.set_evacuated(zone, true);
            until(|| world.vm.context.evacuations.borrow().is_evacuated(zone)).await;
        }
        let begun = Instant::now();
        let answer = world.ask(&book("b")).await;
        assert!(begun.elapsed() < AT_ONCE, "held for {:?}", begun.elapsed());
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after: 2"), "{}", answer.head);
        assert_eq!(world.seen(), 0);
        world.store.set_evacuated("bern", false);
        until(|| !world.vm.context.evacuations.borrow().is_evacuated("bern")).await;
        assert_eq!(world.ask(&book("c")).await.status, 200);
    });
}

/// Guards against work for an evacuated zone from a VM that has just started.
#[test]
fn a_vm_serves_nobody_before_it_knows_which_zones_are_evacuated() {
    play(async {
        let world = two_zones().await;
        world.store.set_evacuated("thun", true);
        let store = TestStore::client_of(&world.store);
        let second = run::start(settings("second"), WORDS, store).await.unwrap();
        while !second.context.is_ready() {
            assert!(!second.context.evacuations.borrow().is_evacuated("thun"));
            tokio::task::yield_now().await;
        }
        assert!(second.context.evacuations.borrow().is_evacuated("thun"));
    });
}
