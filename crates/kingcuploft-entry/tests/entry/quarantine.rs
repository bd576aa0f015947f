//! Requests under which servers end are kept from the servers that are left.

use std::time::Duration;

use kingcuploft_entry::run::Running;

use crate::following::{followers, zone_of};
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
    store.0.configure(configuration(1));
    let mut all = Vec::new();
    for at in 0..servers {
        let server = TestServer::start(Act::CrashUnder).await;
        store.0.serve(entry(at, &server));
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
