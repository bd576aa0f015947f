//! Servers that leave, as their own answers say it.

use crate::server::{Behavior, LeavingNotice};
use crate::testbed::{Testbed, booking, lookup, run_test};

/// How many requests are sent to two servers, of which each would get about half.
const REQUESTS: usize = 30;

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
