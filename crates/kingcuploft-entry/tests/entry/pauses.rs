//! Servers that refuse requests and want no more for a while.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::server::Behavior;
use crate::testbed::{Testbed, booking, entry, lookup, run_test, wait_until};

/// The pause that servers ask for.
const PAUSE_MS: u32 = 2_000;
const PAUSE: Duration = Duration::from_millis(PAUSE_MS as u64);

/// The pause that the other server asks for.
const SHORT_PAUSE_MS: u32 = 50;

/// A pause that is longer than a test.
const LONG_PAUSE_MS: u32 = 30_000;

/// The most that an immediate refusal may take: far less than a request may wait for a server.
const MAX_IMMEDIATE_WAIT: Duration = Duration::from_millis(500);

/// How many callers send requests at the same time: more than the slots of one server.
const CALLERS: usize = 8;

/// For how many tenths of the pause requests are sent until the server is used again; its failures keep others before it
/// for some seconds.
const MAX_ROUNDS: u32 = 60;

/// The pause of a caller after an answer.
const REQUEST_INTERVAL: Duration = Duration::from_millis(2);

/// How long a request takes at a server that serves.
const WORK_TIME: Duration = Duration::from_millis(30);

/// Returns a lookup that can wait for a server for less than the pause.
fn short_lookup(id: &str) -> String {
    lookup(id).replace("/look/", "/short/")
}

/// Sends lookups by several callers at once for so long.
async fn send_lookups_for(testbed: &Rc<Testbed>, time: Duration) {
    let started_at = Instant::now();
    let callers = (0..CALLERS).map(|caller| {
        let testbed = testbed.clone();
        tokio::task::spawn_local(async move {
            for at in 0.. {
                if started_at.elapsed() >= time {
                    break;
                }
                testbed.ask(&short_lookup(&format!("c{caller}r{at}"))).await;
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
}

/// Guards against a VM that goes on sending requests to a server that has refused one and asked for a pause.
#[test]
fn a_server_that_asks_for_a_pause_gets_nothing_until_its_end() {
    run_test(async {
        let behaviors = [
            Behavior::ShedAndPause(PAUSE_MS),
            Behavior::ShedAndPause(SHORT_PAUSE_MS),
        ];
        let testbed = Rc::new(Testbed::with(&behaviors).await);
        let received = || testbed.servers[0].received.borrow().len();
        send_lookups_for(&testbed, WORK_TIME).await;
        let asked_for_pause = received();
        assert!(asked_for_pause > 0);
        send_lookups_for(&testbed, PAUSE * 4 / 10).await;
        assert_eq!(received(), asked_for_pause);
        for server in &testbed.servers {
            server.behavior.set(Behavior::AnswerAfter(WORK_TIME));
        }
        for _ in 0..MAX_ROUNDS {
            send_lookups_for(&testbed, PAUSE / 10).await;
            if received() > asked_for_pause {
                return;
            }
        }
        panic!("it is not used again");
    });
}

/// Guards against callers that are held while all servers want a pause, or told to come back before its end.
#[test]
fn a_request_is_refused_at_once_while_all_servers_want_a_pause() {
    run_test(async {
        let behaviors = [
            Behavior::ShedAndPause(LONG_PAUSE_MS),
            Behavior::ThrottleAndPause(LONG_PAUSE_MS),
        ];
        let testbed = Testbed::with(&behaviors).await;
        testbed.ask(&lookup("first")).await;
        let received = testbed.received_count();
        assert_eq!(received, 2, "each has refused it");
        for request in [lookup("l"), booking("b")] {
            let asked_at = Instant::now();
            let answer = testbed.ask(&request).await;
            assert!(asked_at.elapsed() < MAX_IMMEDIATE_WAIT);
            assert_eq!(answer.status, 503);
            let retry_after = answer
                .head
                .lines()
                .find_map(|line| line.strip_prefix("Retry-After: "));
            let retry_after_s: f64 = retry_after.unwrap().parse().unwrap();
            let pause_s = f64::from(LONG_PAUSE_MS) / 1000.0;
            assert!(
                retry_after_s > pause_s - 2.0 && retry_after_s <= pause_s,
                "{retry_after_s}"
            );
        }
        assert_eq!(testbed.received_count(), received);
    });
}

/// Guards against a request that is refused although a server takes requests again in time.
#[test]
fn a_request_waits_for_a_pause_that_ends_in_time() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::ShedAndPause(SHORT_PAUSE_MS)]).await;
        testbed.ask(&lookup("first")).await;
        testbed.servers[0].behavior.set(Behavior::Answer);
        assert_eq!(testbed.ask(&lookup("second")).await.status, 200);
    });
}

/// Guards against a pause that is forgotten with the server's entry, which expires and comes back around an outage.
#[test]
fn a_pause_outlives_the_server_s_entry() {
    run_test(async {
        let behaviors = [Behavior::ShedAndPause(LONG_PAUSE_MS), Behavior::Answer];
        let testbed = Testbed::with(&behaviors).await;
        let received = || testbed.servers[0].received.borrow().len();
        for at in 0.. {
            testbed.ask(&lookup(&format!("before{at}"))).await;
            if received() > 0 {
                break;
            }
        }
        testbed.store.remove_backend_server("s0");
        wait_until(|| testbed.vm.context.upstream("s0").is_none()).await;
        testbed
            .store
            .write_backend_server(entry(0, &testbed.servers[0]));
        wait_until(|| testbed.vm.context.upstream("s0").is_some()).await;
        for at in 0..CALLERS {
            testbed.ask(&lookup(&format!("after{at}"))).await;
        }
        assert_eq!(received(), 1);
    });
}

/// Guards against probes of a server that wants nothing.
#[test]
fn a_server_that_refuses_a_probe_and_asks_for_a_pause_gets_neither_probes_nor_requests() {
    run_test(async {
        let testbed = Testbed::with(&[Behavior::Answer, Behavior::Answer]).await;
        let server = &testbed.servers[0];
        server.probe_pause_ms.set(LONG_PAUSE_MS);
        assert_eq!(testbed.ask(&lookup("first")).await.status, 200);
        wait_until(|| !testbed.vm.context.pauses.borrow().is_empty()).await;
        let (probes, received) = (server.probe_count.get(), server.received.borrow().len());
        for at in 0..CALLERS {
            assert_eq!(testbed.ask(&lookup(&format!("r{at}"))).await.status, 200);
        }
        assert_eq!(server.probe_count.get(), probes);
        assert_eq!(server.received.borrow().len(), received);
    });
}
