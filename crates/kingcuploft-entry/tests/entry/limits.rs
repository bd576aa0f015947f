//! Backend servers that name how many requests a second they take from all VMs together.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft_entry::run::Running;

use crate::following::{follower_count, start_in_zone, zone_of};
use crate::server::{Behavior, TestServer};
use crate::store::TestStore;
use crate::testbed::{Caller, Testbed, lookup, run_test, start_servers, wait_until};

/// The limit that the server names, in requests a second.
const LIMIT: u32 = 2;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The most requests that the users allow within the window: one and a half times the limit, and five.
const MAX_REQUESTS: usize = 6 * LIMIT as usize + 5;

/// How long VMs may take to learn of a limit.
const LEARN_TIME: Duration = Duration::from_secs(2);

/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Returns a lookup whose route has a timeout of 300 ms.
fn short_lookup(id: &str) -> String {
    lookup(id).replace("/look/", "/short/")
}

async fn fleet(
    vms: usize,
    behaviors: &[Behavior],
) -> (Rc<Vec<Running>>, Vec<TestServer>, TestStore) {
    let (store, servers) = start_servers(behaviors).await;
    let vms = zone_of(vms, &store).await;
    wait_until(|| follower_count(&vms) == vms.len() - 1).await;
    (Rc::new(vms), servers, store)
}

/// Sends requests to all VMs in turn for so long; returns how many failed.
async fn send_requests_for(vms: &[Running], time: Duration) -> usize {
    let started_at = Instant::now();
    let mut failed = 0;
    let mut callers = Vec::new();
    for vm in vms {
        callers.push(Caller::connect(vm.caller_address).await);
    }
    for at in 0.. {
        if started_at.elapsed() >= time {
            break;
        }
        let caller = &mut callers[at % vms.len()];
        caller.send(&lookup(&format!("r{at}"))).await;
        let answer = caller.answer().await.expect("an answer");
        failed += usize::from(answer.status != 200);
        tokio::time::sleep(PAUSE).await;
    }
    failed
}

/// Guards against VMs that together send a server more than the limit that it names.
#[test]
fn a_server_that_names_a_limit_gets_no_more_from_all_vms_together() {
    run_test(async {
        let behaviors = [
            Behavior::NameLimit(LIMIT),
            Behavior::Answer,
            Behavior::Answer,
        ];
        let (vms, servers, _store) = fleet(6, &behaviors).await;
        assert_eq!(send_requests_for(&vms, LEARN_TIME).await, 0);
        let before = servers[0].runs.get();
        assert_eq!(send_requests_for(&vms, WINDOW).await, 0);
        let received = (servers[0].runs.get() - before) as usize;
        assert!(received <= MAX_REQUESTS, "{received}");
    });
}

/// Guards against callers that are held until their deadline, or refused for good, where all servers name limits.
#[test]
fn a_request_beyond_all_limits_is_refused_at_once_as_not_run() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::NameLimit(1), Behavior::NameLimit(1)]).await;
        for at in 0..4 {
            testbed.ask(&lookup(&format!("r{at}"))).await;
        }
        let runs = testbed.run_count();
        let started_at = Instant::now();
        let answer = testbed.ask(&short_lookup("s1")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after: "));
        assert!(started_at.elapsed() < Duration::from_millis(100));
        assert_eq!(testbed.run_count(), runs);
        assert_eq!(
            testbed.ask(&lookup("r5")).await.status,
            200,
            "it waits its turn"
        );
    });
}

/// Guards against a server that gets no requests after its limit has ended.
#[test]
fn a_server_that_no_longer_names_a_limit_gets_its_share_again() {
    run_test(async {
        let behaviors = [Behavior::NameLimit(LIMIT), Behavior::Answer];
        let (vms, servers, store) = fleet(3, &behaviors).await;
        send_requests_for(&vms, LEARN_TIME).await;
        let holds = |vm: &Running| vm.context.limits.borrow().len() == 1;
        wait_until(|| vms.iter().all(holds)).await;
        servers[0].behavior.set(Behavior::Answer);
        send_requests_for(&vms, LEARN_TIME).await;
        wait_until(|| store.0.notices.borrow().is_empty()).await;
        wait_until(|| !vms.iter().any(holds)).await;
        let before = servers[0].runs.get();
        send_requests_for(&vms, LEARN_TIME).await;
        assert!(servers[0].runs.get() > before + 20);
    });
}

/// Guards against a VM that starts later and exceeds the limit of a server.
#[test]
fn a_vm_that_starts_later_knows_the_limits_of_the_servers() {
    run_test(async {
        let behaviors = [Behavior::NameLimit(LIMIT), Behavior::Answer];
        let (vms, _servers, store) = fleet(2, &behaviors).await;
        send_requests_for(&vms, LEARN_TIME).await;
        let later = start_in_zone("later", &store).await;
        wait_until(|| later.context.limits.borrow().len() == 1).await;
    });
}

#[test]
fn a_limit_that_is_not_a_number_is_ignored() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::NameInvalidLimit]).await;
        for at in 0..4 {
            assert_eq!(testbed.ask(&lookup(&format!("r{at}"))).await.status, 200);
        }
        assert!(testbed.vm.context.limits.borrow().is_empty());
    });
}

/// Guards against a limit that only the callers of the VM that owns it can use.
#[test]
fn callers_of_all_vms_have_turns_at_a_server_that_names_a_limit() {
    run_test(async {
        let per_s = 4;
        let (vms, servers, _store) = fleet(6, &[Behavior::NameLimit(per_s)]).await;
        send_requests_for(&vms, LEARN_TIME).await;
        let before = servers[0].runs.get();
        let asking = (0..vms.len()).map(|at| {
            let vms = vms.clone();
            tokio::task::spawn_local(async move { send_requests_for(&vms[at..=at], WINDOW).await })
        });
        for asking in asking.collect::<Vec<_>>() {
            asking.await.unwrap();
        }
        let received = servers[0].runs.get() - before;
        assert!(received >= 3 * per_s, "{received}");
        assert!(received <= 6 * per_s + 5, "{received}");
    });
}
