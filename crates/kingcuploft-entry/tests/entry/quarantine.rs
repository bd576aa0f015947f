//! Requests under which servers end are kept from the servers that are left.

use std::time::{Duration, Instant};

use kingcuploft::entry::crash_report::CrashReport;
use kingcuploft::entry::notice::Notice;
use kingcuploft_entry::run::Running;
use kingcuploft_entry::store::Store;

use crate::following::{followers, start_in_zone, zone_of};
use crate::server::{Act, TestServer};
use crate::store::TestStore;
use crate::world::{Answer, Caller, World, configuration, entry, look, play, until};

/// How often the request comes.
const TIMES: usize = 20;

/// The servers that may end under a request before it is known, and those of the retries that the users allow.
const MOST_ENDED: usize = 6;

fn crash(id: &str) -> String {
    look(id).replace("/look/a", "/look/crash")
}

fn crash_book(id: &str) -> String {
    let head = "POST /book/crash HTTP/1.1\r\nHost: a.example\r\nx-deadline-ms: 4000\r\n";
    format!("{head}x-id: {id}\r\nContent-Length: 3\r\n\r\nbed")
}

fn ended(servers: &[TestServer]) -> usize {
    servers.iter().filter(|server| server.ended.get()).count()
}

async fn ask(vm: &Running, request: &str) -> Answer {
    let mut caller = Caller::connect(vm.callers).await;
    caller.send(request).await;
    caller.answer().await.expect("an answer")
}

/// VMs of a zone with a reader, in front of servers that crash under some requests.
async fn fleet(vms: usize, servers: usize) -> (Vec<Running>, Vec<TestServer>, TestStore) {
    let store = TestStore::default();
    store.0.write_configuration(configuration(1));
    let mut all = Vec::new();
    for at in 0..servers {
        let server = TestServer::start(Act::CrashUnder).await;
        store.0.write_backend_server(entry(at, &server));
        all.push(server);
    }
    let vms = zone_of(vms, &store).await;
    until(|| followers(&vms) == vms.len() - 1).await;
    (vms, all, store)
}

/// Guards against a request that crashes one server after the other at one VM.
#[test]
fn a_request_under_which_servers_end_is_kept_from_the_others() {
    for request in [crash, crash_book] {
        play(async move {
            let world = World::with(&[Act::CrashUnder; TIMES]).await;
            for at in 0..TIMES {
                let answer = world.ask(&request(&format!("r{at}"))).await;
                assert!(answer.status >= 500, "{}", answer.status);
            }
            assert!(ended(&world.servers) <= 3, "{}", ended(&world.servers));
            assert_eq!(world.ask(&look("other")).await.status, 200);
        });
    }
}

/// Guards against VMs each of which has to lose servers of its own to know such a request.
#[test]
fn all_vms_know_a_request_under_which_servers_ended() {
    for request in [crash, crash_book] {
        play(async move {
            let (vms, servers, _store) = fleet(6, TIMES).await;
            for at in 0..TIMES {
                let vm = &vms[at % vms.len()];
                ask(vm, &request(&format!("r{at}"))).await;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            assert!(ended(&servers) <= MOST_ENDED, "{}", ended(&servers));
            for vm in &vms {
                assert_eq!(ask(vm, &look("other")).await.status, 200);
            }
        });
    }
}

/// Guards against a VM that starts later, or again, and has to lose servers of its own to know such a request.
#[test]
fn a_vm_that_starts_later_knows_a_request_under_which_servers_ended() {
    play(async {
        let (vms, servers, store) = fleet(2, 6).await;
        for at in 0..3 {
            ask(&vms[0], &crash(&format!("r{at}"))).await;
        }
        until(|| store.0.notices.borrow().len() == 2).await;
        let before = ended(&servers);
        for name in ["third", "fourth"] {
            let later = start_in_zone(name, &store).await;
            until(|| later.context.quarantine.borrow().refused() == 1).await;
            let answer = ask(&later, &crash(name)).await;
            assert_eq!(answer.status, 503);
            assert!(answer.has("retry-after: "));
        }
        assert_eq!(ended(&servers), before);
    });
}

/// Guards against requests refused because a server ended under them for another reason.
#[test]
fn a_request_whose_server_ended_once_is_answered_by_the_next_and_cleared() {
    play(async {
        let world = World::with(&[Act::After(Duration::from_millis(50)); 3]).await;
        let mut caller = world.caller().await;
        caller.send(&look("r1")).await;
        until(|| world.seen() == 1).await;
        let at = world.servers.iter().position(|s| s.runs.get() == 1);
        world.servers[at.unwrap()].end();
        assert_eq!(caller.answer().await.expect("an answer").status, 200);
        assert_eq!(world.ask(&look("r2")).await.status, 200);
        until(|| world.store.notices.borrow().is_empty()).await;
        assert!(world.vm.context.quarantine.borrow().is_empty());
    });
}

/// Guards against connections that are reset taken for servers that end.
#[test]
fn a_server_that_closes_a_connection_and_lives_is_no_reason_to_refuse() {
    play(async {
        let world = World::with(&[Act::LoseAnswer; 4]).await;
        for at in 0..4 {
            world.ask(&look(&format!("r{at}"))).await;
        }
        assert!(world.vm.context.quarantine.borrow().is_empty());
        assert!(world.store.notices.borrow().is_empty());
    });
}

/// Guards against knowledge lost where the store does not take a report at once.
#[test]
fn a_request_is_refused_while_the_store_takes_no_reports() {
    play(async {
        let world = World::with(&[Act::CrashUnder; 6]).await;
        world.store.silent.set(true);
        for at in 0..4 {
            world.ask(&crash(&format!("r{at}"))).await;
        }
        assert_eq!(ended(&world.servers), 2);
    });
}

/// Guards against a request that is still suspect at other VMs when the one that reads the store has cleared it.
#[test]
fn a_request_that_one_vm_clears_is_cleared_at_all() {
    play(async {
        let (vms, servers, store) = fleet(3, 8).await;
        for server in &servers {
            server.act.set(Act::After(Duration::from_millis(50)));
        }
        for vm in &vms {
            let mut caller = Caller::connect(vm.callers).await;
            caller.send(&look("r")).await;
            let runs = |s: &&TestServer| s.runs.get() > 0 && !s.ended.get();
            until(|| servers.iter().any(|s| runs(&s))).await;
            servers.iter().find(runs).unwrap().end();
            assert_eq!(caller.answer().await.expect("an answer").status, 200);
            until(|| store.0.notices.borrow().is_empty()).await;
            let is_clear = |vm: &Running| vm.context.quarantine.borrow().is_empty();
            until(|| vms.iter().all(is_clear)).await;
            servers.iter().for_each(|server| server.runs.set(0));
        }
    });
}

/// Guards against a request held, or a trial used up, where the store does not say who may try.
#[test]
fn a_trial_that_the_store_does_not_grant_in_time_is_none() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        let trial = CrashReport {
            fingerprint: 7,
            of: "trial-3".into(),
            in_a_row: 3,
        };
        world.store.silent.set(true);
        let begun = Instant::now();
        let context = &world.vm.context;
        assert!(
            !context
                .notice_writes
                .claim(Notice::Crash(trial.clone()))
                .await
        );
        assert!(begun.elapsed() < Duration::from_secs(2));
        assert!(context.quarantine.borrow().is_empty());
        world.store.silent.set(false);
        let other = CrashReport {
            of: "trial-4".into(),
            ..trial
        };
        let world = World::with(&[Act::Answer]).await;
        let claim = || {
            world
                .vm
                .context
                .notice_writes
                .claim(Notice::Crash(other.clone()))
        };
        assert!(claim().await);
        assert!(!claim().await, "once");
    });
}

/// Guards against all watches asked again, a call each, for what only one of them is about.
#[test]
fn a_notice_wakes_one_watch() {
    play(async {
        let world = World::with(&[Act::Answer]).await;
        until(|| world.store.watch_calls.get() >= 3).await;
        let before = world.store.watch_calls.get();
        let report = CrashReport {
            fingerprint: 7,
            of: "s0".into(),
            in_a_row: 1,
        };
        let store = TestStore::client_of(&world.store);
        store.create_notice(&Notice::Crash(report)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(3500)).await;
        let woken = world.store.watch_calls.get() - before;
        assert!(woken <= 1, "{woken} watches");
    });
}
