//! Servers in trouble whose answers have a status that HTTP does not have.

use crate::server::{Behavior, FORGED_BODY};
use crate::testbed::{Testbed, booking, lookup, run_test};

/// Statuses that no answer may have, and one by which a connection ceases to be HTTP.
const INVALID: [&str; 8] = [
    "000 None",
    "001 Low",
    "099 Low",
    "101 Switching Protocols",
    "600 High",
    "999 High",
    "100 Continue",
    "199 Interim",
];

/// How many requests are sent by each test.
const REQUESTS: usize = 8;

/// Guards against a body that the caller of a lookup gets as an answer, as the status before it was skipped.
#[test]
fn an_answer_hidden_in_the_body_of_an_invalid_one_reaches_no_lookup() {
    for status in INVALID {
        run_test(async move {
            let testbed = Testbed::with(&[Behavior::ForgeBehind(status), Behavior::Answer]).await;
            for at in 0..REQUESTS {
                let answer = testbed.ask(&lookup(&format!("r{at}"))).await;
                assert_ne!(answer.body, FORGED_BODY, "{status}");
                assert_eq!(
                    (answer.status, answer.body.as_str()),
                    (200, "hello"),
                    "{status}"
                );
            }
        });
    }
}

/// Guards against a protected request whose caller gets such a body, or hears that it has not run.
#[test]
fn an_answer_hidden_in_the_body_of_an_invalid_one_reaches_no_booking() {
    for status in INVALID {
        run_test(async move {
            let testbed = Testbed::with(&[Behavior::ForgeBehind(status)]).await;
            let answer = testbed.ask(&booking("b")).await;
            assert_eq!(answer.status, 502, "{status}");
            assert!(!answer.has("x-signed"), "{status}");
            assert_eq!(testbed.servers[0].runs.get(), 1, "{status}");
        });
    }
}

/// Guards against a server that stays in use as if it had served.
#[test]
fn a_server_with_invalid_statuses_counts_as_one_that_fails() {
    for status in INVALID {
        run_test(async move {
            let behaviors = [
                Behavior::ForgeBehind(status),
                Behavior::Answer,
                Behavior::Answer,
            ];
            let testbed = Testbed::with(&behaviors).await;
            for at in 0..5 * REQUESTS {
                testbed.ask(&lookup(&format!("r{at}"))).await;
            }
            let runs = testbed.servers[0].runs.get();
            assert!(runs <= REQUESTS as u32, "{status}: {runs} runs");
        });
    }
}

/// Guards against a probe that is taken for answered.
#[test]
fn an_invalid_status_answers_no_probe() {
    for status in INVALID {
        run_test(async move {
            let testbed = Testbed::with(&[Behavior::Answer]).await;
            testbed.servers[0].probe_status.set(Some(status));
            let answered = || testbed.vm.context.metrics.to_text();
            let count = |text: &str| {
                let line = text
                    .lines()
                    .find(|line| line.contains("probes_total{reason=\"answered\"}"));
                line.map(|line| line.rsplit(' ').next().unwrap().to_owned())
            };
            let before = count(&answered());
            for at in 0..REQUESTS {
                testbed.ask(&lookup(&format!("r{at}"))).await;
            }
            assert_eq!(count(&answered()), before, "{status}");
            assert!(testbed.servers[0].probe_count.get() > 0);
        });
    }
}
