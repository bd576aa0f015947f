//! Servers that refuse requests and want no more for a while.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::server::Behavior;
use crate::testbed::{Testbed, lookup, run_test};

/// The pause that servers ask for.
const PAUSE_MS: u32 = 1_000;
const PAUSE: Duration = Duration::from_millis(PAUSE_MS as u64);

/// The pause that the other server asks for.
const SHORT_PAUSE_MS: u32 = 50;

/// How many callers send requests at the same time: more than the slots of one server.
const CALLERS: usize = 8;

/// How long a request takes at a server that serves.
const WORK_TIME: Duration = Duration::from_millis(30);

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
                testbed.ask(&lookup(&format!("c{caller}r{at}"))).await;
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
        send_lookups_for(&testbed, PAUSE * 8 / 10).await;
        assert_eq!(received(), asked_for_pause);
        for server in &testbed.servers {
            server.behavior.set(Behavior::AnswerAfter(WORK_TIME));
        }
        send_lookups_for(&testbed, PAUSE).await;
        assert!(received() > asked_for_pause, "it is used again");
    });
}
