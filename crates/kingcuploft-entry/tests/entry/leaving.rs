//! Servers that leave, as their own answers say it.

use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;

use crate::server::{Behavior, LeavingNotice};
use crate::testbed::{Testbed, booking, entry, lookup, run_test, wait_until};

/// How many requests are sent to two servers, of which each would get about half.
const REQUESTS: usize = 30;

/// Longer than the interval at which VMs withdraw what they know of servers that are not in use.
const NOTICE_EXPIRY_TIME: Duration = Duration::from_millis(5_500);

/// Sends lookups and bookings in turn, one after the other; all must be served.
async fn ask(testbed: &Testbed, prefix: &str) {
    for at in 0..REQUESTS {
        let id = format!("{prefix}{at}");
        let request = match at % 2 {
            0 => lookup(&id),
            _ => booking(&id),
        };
        assert_eq!(testbed.ask(&request).await.status, 200);
    }
}

/// Guards against a VM that sends requests to a server whose answers say that it leaves, until the store says so too.
#[test]
fn a_server_whose_answers_say_that_it_leaves_gets_nothing_while_the_store_is_away() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer, Behavior::Answer]).await;
        let received = || testbed.servers[0].received.borrow().len();
        testbed.store.silent.set(true);
        ask(&testbed, "before").await;
        let before = received();
        assert!(before > 0, "it gets its share");
        testbed.servers[0]
            .leaving_notice
            .set(LeavingNotice::Requests);
        ask(&testbed, "leaving").await;
        let after = received() - before;
        assert!(after <= 1, "{after} requests, the first of which tells it");
    });
}

/// Guards against a server that says in its answers to probes that it leaves, and gets requests all the same.
#[test]
fn a_server_that_tells_probes_that_it_leaves_gets_nothing() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer, Behavior::Answer]).await;
        let received = || testbed.servers[0].received.borrow().len();
        testbed.store.silent.set(true);
        testbed.servers[0].leaving_notice.set(LeavingNotice::Probes);
        wait_until_left(&testbed).await;
        let before = received();
        ask(&testbed, "r").await;
        assert_eq!(received(), before);
    });
}

/// Guards against an entry that was written before the server began to leave and arrives after its own answer.
#[test]
fn a_late_entry_does_not_bring_back_a_server_that_says_that_it_leaves() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer, Behavior::Answer]).await;
        testbed.servers[0].leaving_notice.set(LeavingNotice::All);
        ask(&testbed, "leaving").await;
        let received = testbed.servers[0].received.borrow().len();
        testbed.store.remove_backend_server("s0");
        let late = BackendServer {
            slots: 3,
            ..entry(0, &testbed.servers[0])
        };
        testbed.store.write_backend_server(late.clone());
        let context = &testbed.vm.context;
        wait_until(|| context.with_servers(|servers| servers.is_known(&late))).await;
        ask(&testbed, "after").await;
        assert_eq!(testbed.servers[0].received.borrow().len(), received);
    });
}

/// Guards against a server that is kept out for good although it has started again under its name.
#[test]
fn a_later_start_of_a_server_that_left_gets_requests() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer, Behavior::Answer]).await;
        testbed.servers[0].leaving_notice.set(LeavingNotice::All);
        ask(&testbed, "leaving").await;
        wait_until(|| testbed.vm.context.upstream("s0").is_none()).await;
        testbed.servers[0].leaving_notice.set(LeavingNotice::None);
        let received = testbed.servers[0].received.borrow().len();
        testbed.store.write_backend_server(BackendServer {
            started_at: Some(2),
            ..entry(0, &testbed.servers[0])
        });
        wait_until(|| testbed.vm.context.upstream("s0").is_some()).await;
        ask(&testbed, "after").await;
        assert!(testbed.servers[0].received.borrow().len() > received);
    });
}

/// Guards against a server that is taken for leaving by the answer of another one, which has got its address.
#[test]
fn another_server_at_the_same_address_says_nothing_of_a_server() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Misdirected, Behavior::Answer]).await;
        testbed.servers[0]
            .leaving_notice
            .set(LeavingNotice::Requests);
        ask(&testbed, "r").await;
        assert!(!testbed.servers[0].received.borrow().is_empty());
        assert!(testbed.vm.context.upstream("s0").is_some());
    });
}

/// Guards against a VM that withdraws a server's limit for all VMs, as the server has told it alone that it leaves.
#[test]
fn the_limit_of_a_server_stays_in_the_store_until_its_entry_says_that_it_leaves() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::NameLimit(2), Behavior::Answer]).await;
        let context = &testbed.vm.context;
        let has_notice = || !testbed.store.notices.borrow().is_empty();
        ask(&testbed, "limited").await;
        wait_until(has_notice).await;
        testbed.servers[0].leaving_notice.set(LeavingNotice::All);
        wait_until_left(&testbed).await;
        tokio::time::sleep(NOTICE_EXPIRY_TIME).await;
        assert!(has_notice());
        assert!(context.limits.borrow().per_s("s0").is_some());
        testbed.store.write_backend_server(BackendServer {
            draining: true,
            ..entry(0, &testbed.servers[0])
        });
        wait_until(|| !has_notice()).await;
    });
}

/// Sends lookups until the VM has heard from the first server that it leaves.
async fn wait_until_left(testbed: &Testbed) {
    for at in 0..100 {
        testbed.ask(&lookup(&format!("until-left{at}"))).await;
        if testbed.vm.context.upstream("s0").is_none() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("it was not heard");
}
