//! Backend servers that are cold, by what they get.

use std::time::Duration;

use kingcuploft_entry::run::Running;

use crate::following::{followers, zone_of};
use crate::server::{Act, TestServer};
use crate::store::TestStore;
use crate::world::{Caller, World, entry, look, play, start, until, with_cold_starts};

/// What the users allow a cold server of two requests a second in any second.
const MOST: usize = 11;

/// How many callers ask at the same moment.
const CROWD: usize = 100;

/// More VMs than a cold server bears requests.
const FLEET: usize = 20;

const WORK: Duration = Duration::from_millis(60);

/// A cold server in the VM's zone, and others in another zone that are not.
async fn zones(cold_for: Duration) -> (TestStore, Vec<TestServer>) {
    let store = TestStore::default();
    store.0.write_configuration(with_cold_starts(1));
    let mut servers = Vec::new();
    for (at, zone) in ["thun", "bern", "bern", "bern"].into_iter().enumerate() {
        let server = TestServer::start(Act::After(WORK)).await;
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

/// Has a crowd ask at these VMs at the same moment; returns how many were served.
async fn crowd(vms: &[Running]) -> usize {
    let mut callers = Vec::new();
    for at in 0..CROWD {
        callers.push(Caller::connect(vms[at % vms.len()].callers).await);
    }
    for (at, caller) in callers.iter_mut().enumerate() {
        caller.send(&look(&format!("r{at}"))).await;
    }
    let mut served = 0;
    for mut caller in callers {
        let answer = caller.answer().await;
        served += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }
    served
}

/// Guards against a server that has just started and ends under what all VMs send it, as it is near and idle.
#[test]
fn a_server_that_joins_cold_gets_little_from_all_vms_and_callers_are_served_elsewhere() {
    play(async {
        let (store, servers) = zones(Duration::from_secs(3)).await;
        let vms = zone_of(3, &store).await;
        until(|| followers(&vms) == 2).await;
        // A VM has saved a request once it has run for so long.
        tokio::time::sleep(Duration::from_millis(1100)).await;
        assert_eq!(crowd(&vms).await, CROWD);
        let seen = servers[0].seen.borrow().len();
        assert!((1..=MOST).contains(&seen), "{seen}");
    });
}

/// Guards against servers that turned cold while their zone was evacuated, and get the zone's whole load when it is taken back.
#[test]
fn servers_of_a_zone_that_is_taken_back_say_first_whether_they_are_cold() {
    play(async {
        let (store, servers) = zones(Duration::ZERO).await;
        let vms = [start("vm", &store).await];
        assert_eq!(crowd(&vms).await, CROWD);
        let before = servers[0].seen.borrow().len();
        assert!(before > MOST, "{before}");
        store.0.set_evacuated("thun", true);
        until(|| vms[0].context.evacuations.borrow().is_evacuated("thun")).await;
        servers[0].cold_ms.set(3_000);
        store.0.set_evacuated("thun", false);
        until(|| !vms[0].context.evacuations.borrow().is_evacuated("thun")).await;
        assert_eq!(crowd(&vms).await, CROWD);
        let seen = servers[0].seen.borrow().len() - before;
        assert!(seen <= MOST, "{seen}");
    });
}

/// Guards against a request of each VM for a server that may be cold and has not said so, as it is slow to answer.
#[test]
fn a_server_that_may_be_cold_gets_nothing_before_it_has_said_so() {
    play(async {
        let store = TestStore::default();
        store.0.write_configuration(with_cold_starts(1));
        let server = TestServer::start(Act::After(WORK)).await;
        server.holds_new.set(Duration::from_millis(200));
        store.0.write_backend_server(entry(0, &server));
        store.0.set_evacuated("thun", true);
        let vms = zone_of(FLEET, &store).await;
        until(|| followers(&vms) == FLEET - 1).await;
        server.cold_ms.set(3_000);
        store.0.set_evacuated("thun", false);
        let holds = |vm: &Running| vm.context.evacuations.borrow().is_evacuated("thun");
        until(|| !vms.iter().any(holds)).await;
        crowd(&vms).await;
        let seen = server.seen.borrow().len();
        assert!((1..=MOST).contains(&seen), "{seen}");
    });
}

/// Guards against a zone that is taken back warm and stays unused.
#[test]
fn servers_of_a_zone_that_is_taken_back_warm_get_work_once_they_have_said_so() {
    play(async {
        let (store, servers) = zones(Duration::ZERO).await;
        let vms = [start("vm", &store).await];
        for is_evacuated in [true, false] {
            store.0.set_evacuated("thun", is_evacuated);
            let holds = || vms[0].context.evacuations.borrow().is_evacuated("thun");
            until(|| holds() == is_evacuated).await;
        }
        assert_eq!(crowd(&vms).await, CROWD);
        let seen = servers[0].seen.borrow().len();
        assert!(seen > MOST, "{seen}");
        assert_eq!(vms[0].context.limits.borrow().cold_count(), 0);
    });
}

/// Guards against a server that turns cold while it runs, and goes on getting work as before.
#[test]
fn a_server_that_says_that_it_has_turned_cold_is_kept_to_what_it_bears() {
    play(async {
        let (store, servers) = zones(Duration::ZERO).await;
        let world = World {
            vm: start("vm", &store).await,
            store: store.0.clone(),
            servers,
        };
        world.servers[0].cold_ms.set(3_000);
        world.ask(&look("first")).await;
        until(|| world.vm.context.limits.borrow().cold_count() == 1).await;
        let before = world.servers[0].seen.borrow().len();
        assert_eq!(crowd(std::slice::from_ref(&world.vm)).await, CROWD);
        let seen = world.servers[0].seen.borrow().len() - before;
        assert!(seen <= MOST, "{seen}");
    });
}
