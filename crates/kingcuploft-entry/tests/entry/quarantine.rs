//! Quarantine of requests that crash servers: they are kept from the servers that are left.

use std::time::{Duration, Instant};

use kingcuploft::entry::crash_report::CrashReport;
use kingcuploft::entry::notice::Notice;
use kingcuploft_entry::run::Running;
use kingcuploft_entry::store::Store;

use crate::following::{follower_count, start_in_zone, zone_of};
use crate::server::{Behavior, TestServer};
use crate::store::TestStore;
use crate::testbed::{Answer, Caller, Testbed, configuration, entry, lookup, run_test, wait_until};

/// How often the request is sent.
const REQUEST_COUNT: usize = 20;

/// The most servers that may crash under a request before it is known, including the retries that the users allow.
const MAX_CRASHED_SERVERS: usize = 6;

fn crashing_lookup(id: &str) -> String {
    lookup(id).replace("/look/a", "/look/crash")
}

fn crashing_booking(id: &str) -> String {
    let head = "POST /book/crash HTTP/1.1\r\nHost: a.example\r\nx-deadline-ms: 4000\r\n";
    format!("{head}x-id: {id}\r\nContent-Length: 3\r\n\r\nbed")
}

fn crashed_count(servers: &[TestServer]) -> usize {
    servers
        .iter()
        .filter(|server| server.has_ended.get())
        .count()
}

async fn ask(vm: &Running, request: &str) -> Answer {
    let mut caller = Caller::connect(vm.caller_address).await;
    caller.send(request).await;
    caller.answer().await.expect("an answer")
}

/// Starts VMs of a zone with a reader, in front of servers that crash under some requests.
async fn fleet(vms: usize, servers: usize) -> (Vec<Running>, Vec<TestServer>, TestStore) {
    let store = TestStore::default();
    store.0.write_configuration(configuration(1));
    let mut all = Vec::new();
    for at in 0..servers {
        let server = TestServer::start(Behavior::CrashOnMarkedPath).await;
        store.0.write_backend_server(entry(at, &server));
        all.push(server);
    }
    let vms = zone_of(vms, &store).await;
    wait_until(|| follower_count(&vms) == vms.len() - 1).await;
    (vms, all, store)
}

/// Guards against a request that crashes one server after the other through one VM.
#[test]
fn a_request_under_which_servers_end_is_kept_from_the_others() {
    for request in [crashing_lookup, crashing_booking] {
        run_test(async move {
            let testbed = Testbed::with(&[Behavior::CrashOnMarkedPath; REQUEST_COUNT]).await;
            for at in 0..REQUEST_COUNT {
                let answer = testbed.ask(&request(&format!("r{at}"))).await;
                assert!(answer.status >= 500, "{}", answer.status);
            }
            assert!(
                crashed_count(&testbed.servers) <= 3,
                "{}",
                crashed_count(&testbed.servers)
            );
            assert_eq!(testbed.ask(&lookup("other")).await.status, 200);
        });
    }
}

/// Guards against VMs each of which has to lose servers of its own before it knows such a request.
#[test]
fn all_vms_know_a_request_under_which_servers_ended() {
    for request in [crashing_lookup, crashing_booking] {
        run_test(async move {
            let (vms, servers, _store) = fleet(6, REQUEST_COUNT).await;
            for at in 0..REQUEST_COUNT {
                let vm = &vms[at % vms.len()];
                ask(vm, &request(&format!("r{at}"))).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            assert!(
                crashed_count(&servers) <= MAX_CRASHED_SERVERS,
                "{}",
                crashed_count(&servers)
            );
            for vm in &vms {
                assert_eq!(ask(vm, &lookup("other")).await.status, 200);
            }
        });
    }
}

/// Guards against a VM that starts or restarts later and has to lose servers of its own before it knows such a request.
#[test]
fn a_vm_that_starts_later_knows_a_request_under_which_servers_ended() {
    run_test(async {
        let (vms, servers, store) = fleet(2, 6).await;
        for at in 0..3 {
            ask(&vms[0], &crashing_lookup(&format!("r{at}"))).await;
        }
        wait_until(|| store.0.notices.borrow().len() == 2).await;
        let before = crashed_count(&servers);
        for name in ["third", "fourth"] {
            let later = start_in_zone(name, &store).await;
            wait_until(|| later.context.quarantine.borrow().refused() == 1).await;
            let answer = ask(&later, &crashing_lookup(name)).await;
            assert_eq!(answer.status, 503);
            assert!(answer.has("retry-after: "));
        }
        assert_eq!(crashed_count(&servers), before);
    });
}

/// Guards against a request that stays suspect although its server crashed for another reason.
#[test]
fn a_request_whose_server_ended_once_is_answered_by_the_next_and_cleared() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::AnswerAfter(Duration::from_millis(50)); 3]).await;
        let mut caller = testbed.caller().await;
        caller.send(&lookup("r1")).await;
        wait_until(|| testbed.received_count() == 1).await;
        let at = testbed.servers.iter().position(|s| s.runs.get() == 1);
        testbed.servers[at.unwrap()].shut_down();
        assert_eq!(caller.answer().await.expect("an answer").status, 200);
        assert_eq!(testbed.ask(&lookup("r2")).await.status, 200);
        wait_until(|| testbed.store.notices.borrow().is_empty()).await;
        assert!(testbed.vm.context.quarantine.borrow().is_empty());
    });
}

/// Guards against connection resets that are taken for crashes.
#[test]
fn a_server_that_closes_a_connection_and_lives_is_no_reason_to_refuse() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::LoseAnswer; 4]).await;
        for at in 0..4 {
            testbed.ask(&lookup(&format!("r{at}"))).await;
        }
        assert!(testbed.vm.context.quarantine.borrow().is_empty());
        assert!(testbed.store.notices.borrow().is_empty());
    });
}

/// Guards against a report that is lost because the store does not take it at once.
#[test]
fn a_request_is_refused_while_the_store_takes_no_reports() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::CrashOnMarkedPath; 6]).await;
        testbed.store.silent.set(true);
        for at in 0..4 {
            testbed.ask(&crashing_lookup(&format!("r{at}"))).await;
        }
        assert_eq!(crashed_count(&testbed.servers), 2);
    });
}

/// Guards against a request that stays suspect at other VMs after the reader of the store has cleared it.
#[test]
fn a_request_that_one_vm_clears_is_cleared_at_all() {
    run_test(async {
        let (vms, servers, store) = fleet(3, 8).await;
        for server in &servers {
            server
                .behavior
                .set(Behavior::AnswerAfter(Duration::from_millis(50)));
        }
        for vm in &vms {
            let mut caller = Caller::connect(vm.caller_address).await;
            caller.send(&lookup("r")).await;
            let runs = |s: &&TestServer| s.runs.get() > 0 && !s.has_ended.get();
            wait_until(|| servers.iter().any(|s| runs(&s))).await;
            servers.iter().find(runs).unwrap().shut_down();
            assert_eq!(caller.answer().await.expect("an answer").status, 200);
            wait_until(|| store.0.notices.borrow().is_empty()).await;
            let is_clear = |vm: &Running| vm.context.quarantine.borrow().is_empty();
            wait_until(|| vms.iter().all(is_clear)).await;
            servers.iter().for_each(|server| server.runs.set(0));
        }
    });
}

/// Guards against a request that is held, or a trial that is used up, where the store does not say which VM may try it.
#[test]
fn a_trial_that_the_store_does_not_grant_in_time_is_not_run() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let trial = CrashReport {
            fingerprint: 7,
            of: "trial-3".into(),
            in_a_row: 3,
        };
        testbed.store.silent.set(true);
        let started_at = Instant::now();
        let context = &testbed.vm.context;
        assert!(
            !context
                .notice_writes
                .claim(Notice::Crash(trial.clone()))
                .await
        );
        assert!(started_at.elapsed() < Duration::from_secs(2));
        assert!(context.quarantine.borrow().is_empty());
        testbed.store.silent.set(false);
        let other = CrashReport {
            of: "trial-4".into(),
            ..trial
        };
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        let claim = || {
            testbed
                .vm
                .context
                .notice_writes
                .claim(Notice::Crash(other.clone()))
        };
        assert!(claim().await);
        assert!(!claim().await, "once");
    });
}

/// Guards against a notice that wakes all watches, each of which costs a call, although only one is about notices.
#[test]
fn a_notice_wakes_one_watch() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer]).await;
        wait_until(|| testbed.store.watch_calls.get() >= 3).await;
        let before = testbed.store.watch_calls.get();
        let report = CrashReport {
            fingerprint: 7,
            of: "s0".into(),
            in_a_row: 1,
        };
        let store = TestStore::client_of(&testbed.store);
        store.create_notice(&Notice::Crash(report)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(3500)).await;
        let watches_woken = testbed.store.watch_calls.get() - before;
        assert!(watches_woken <= 1, "{watches_woken} watches");
    });
}
