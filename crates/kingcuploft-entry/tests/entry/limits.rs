//! Backend servers that name how many requests a second they take from all VMs together.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft_entry::run::Running;

use crate::following::{followers, start_in_zone, zone_of};
use crate::server::{Act, TestServer};
use crate::store::TestStore;
use crate::world::{Caller, World, configuration, entry, look, play, until};

/// What the limited server names, in requests a second.
const LIMIT: u32 = 2;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// What the users allow within it: one and a half times the limit, and five.
const MOST: usize = 6 * LIMIT as usize + 5;

/// How long VMs may take to learn of a limit.
const LEARN: Duration = Duration::from_secs(2);

/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);

/// A lookup that waits 300 ms at most.
fn short(id: &str) -> String {
    look(id).replace("/look/", "/short/")
}

async fn fleet(vms: usize, acts: &[Act]) -> (Rc<Vec<Running>>, Vec<TestServer>, TestStore) {
    let store = TestStore::default();
    store.0.write_configuration(configuration(1));
    let mut servers = Vec::new();
    for (at, act) in acts.iter().enumerate() {
        let server = TestServer::start(*act).await;
        store.0.write_backend_server(entry(at, &server));
        servers.push(server);
    }
    let vms = zone_of(vms, &store).await;
    until(|| followers(&vms) == vms.len() - 1).await;
    (Rc::new(vms), servers, store)
}

/// Asks all VMs in turn for so long; returns how many requests were not answered with success.
async fn ask_for(vms: &[Running], time: Duration) -> usize {
    let begun = Instant::now();
    let mut failed = 0;
    let mut callers = Vec::new();
    for vm in vms {
        callers.push(Caller::connect(vm.callers).await);
    }
    for at in 0.. {
        if begun.elapsed() >= time {
            break;
        }
        let caller = &mut callers[at % vms.len()];
        caller.send(&look(&format!("r{at}"))).await;
        let answer = caller.answer().await.expect("an answer");
        failed += usize::from(answer.status != 200);
        tokio::time::sleep(PAUSE).await;
    }
    failed
}

/// Guards against VMs that send a server more than it says it takes, each for itself or all together.
#[test]
fn a_server_that_names_a_limit_gets_no_more_from_all_vms_together() {
    play(async {
        let acts = [Act::Limited(LIMIT), Act::Answer, Act::Answer];
        let (vms, servers, _store) = fleet(6, &acts).await;
        assert_eq!(ask_for(&vms, LEARN).await, 0);
        let before = servers[0].runs.get();
        assert_eq!(ask_for(&vms, WINDOW).await, 0);
        let got = (servers[0].runs.get() - before) as usize;
        assert!(got <= MOST, "{got}");
    });
}

/// Guards against callers held until they are late, or refused for good, where all servers name limits.
#[test]
fn what_no_limit_has_room_for_is_refused_at_once_as_not_run() {
    play(async {
        let world = World::with(&[Act::Limited(1), Act::Limited(1)]).await;
        for at in 0..4 {
            world.ask(&look(&format!("r{at}"))).await;
        }
        let runs = world.runs();
        let begun = Instant::now();
        let answer = world.ask(&short("s1")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after: "));
        assert!(begun.elapsed() < Duration::from_millis(100));
        assert_eq!(world.runs(), runs);
        assert_eq!(
            world.ask(&look("r5")).await.status,
            200,
            "it waits its turn"
        );
    });
}

/// Guards against a server that is left out after its need is over.
#[test]
fn a_server_that_names_no_limit_any_more_gets_its_part_again() {
    play(async {
        let acts = [Act::Limited(LIMIT), Act::Answer];
        let (vms, servers, store) = fleet(3, &acts).await;
        ask_for(&vms, LEARN).await;
        let holds = |vm: &Running| vm.context.limits.borrow().len() == 1;
        until(|| vms.iter().all(holds)).await;
        servers[0].act.set(Act::Answer);
        ask_for(&vms, LEARN).await;
        until(|| store.0.notices.borrow().is_empty()).await;
        until(|| !vms.iter().any(holds)).await;
        let before = servers[0].runs.get();
        ask_for(&vms, LEARN).await;
        assert!(servers[0].runs.get() > before + 20);
    });
}

/// Guards against a VM that starts later and sends a server what it has not the room for.
#[test]
fn a_vm_that_starts_later_knows_the_limits_of_the_servers() {
    play(async {
        let acts = [Act::Limited(LIMIT), Act::Answer];
        let (vms, _servers, store) = fleet(2, &acts).await;
        ask_for(&vms, LEARN).await;
        let later = start_in_zone("later", &store).await;
        until(|| later.context.limits.borrow().len() == 1).await;
    });
}

#[test]
fn a_limit_that_is_no_number_is_none() {
    play(async {
        let world = World::with(&[Act::NamesNoNumber]).await;
        for at in 0..4 {
            assert_eq!(world.ask(&look(&format!("r{at}"))).await.status, 200);
        }
        assert!(world.vm.context.limits.borrow().is_empty());
    });
}

/// Guards against a limit that only the callers of the VM that keeps it can use.
#[test]
fn callers_of_all_vms_have_turns_at_a_server_that_names_a_limit() {
    play(async {
        let per_s = 4;
        let (vms, servers, _store) = fleet(6, &[Act::Limited(per_s)]).await;
        ask_for(&vms, LEARN).await;
        let before = servers[0].runs.get();
        let asking = (0..vms.len()).map(|at| {
            let vms = vms.clone();
            tokio::task::spawn_local(async move { ask_for(&vms[at..=at], WINDOW).await })
        });
        for asking in asking.collect::<Vec<_>>() {
            asking.await.unwrap();
        }
        let got = servers[0].runs.get() - before;
        assert!(got >= 3 * per_s, "{got}");
        assert!(got <= 6 * per_s + 5, "{got}");
    });
}
