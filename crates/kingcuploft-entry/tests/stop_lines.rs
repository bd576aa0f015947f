//! What the log tells of requests that a stop cuts. Alone in its program: log lines are captured, and tests beside it would
//! switch them off.

use std::time::Duration;

use kingcuploft_entry::edge::connection;
use kingcuploft_simulation::{log, store};
use tokio::io::AsyncWriteExt;

#[expect(dead_code, reason = "shared with the tests of the entry VM")]
#[path = "entry/endless.rs"]
mod endless;
#[expect(dead_code, reason = "shared with the tests of the entry VM")]
#[path = "entry/server.rs"]
mod server;
#[path = "entry/server_answers.rs"]
mod server_answers;
#[expect(dead_code, reason = "shared with the tests of the entry VM")]
#[path = "entry/testbed.rs"]
mod testbed;

use server::Behavior;
use testbed::{Testbed, lookup, run_in_virtual_time};

/// How many bytes the connection of a caller that does not read holds.
const SHORT_BUFFER_BYTES: usize = 64;

/// Longer than any request of these tests may take.
const LATE: Duration = Duration::from_secs(3600);

/// A caller sends these lookups and reads nothing; the process exits a second later.
async fn cut(behaviors: &[Behavior], ids: &[&str]) {
    let testbed = Testbed::with(behaviors).await;
    let (mut caller, end) = tokio::io::duplex(SHORT_BUFFER_BYTES);
    let context = testbed.vm.context.clone();
    tokio::task::spawn_local(connection::serve(context.clone(), end));
    for id in ids {
        let sent = lookup(id);
        caller.write_all(sent.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    context.shutdown.end();
}

fn lines_of(behaviors: &[Behavior], ids: &[&str]) -> String {
    let ((), lines) = log::capture(|| run_in_virtual_time(cut(behaviors, ids)));
    String::from_utf8_lossy(&lines).into_owned()
}

/// A caller sends a lookup that no server answers to a VM that stops as planned.
async fn stop_under(id: &str) {
    let testbed = Testbed::with(&[Behavior::Hang]).await;
    let mut caller = testbed.caller().await;
    let stopping = tokio::task::spawn_local(testbed.vm.stop());
    tokio::time::sleep(Duration::from_secs(2)).await;
    caller.send(&lookup(id)).await;
    assert!(caller.answer().await.is_some());
    stopping.await.unwrap();
}

fn tells(lines: &str, event: &str, id: &str) -> bool {
    let is_of = |line: &&str| line.contains(&format!("\"{event}\"")) && line.contains(id);
    lines.lines().any(|line| is_of(&line))
}

/// Guards against a stop after which nobody can tell which requests it has cut, and how far they had come.
#[test]
fn the_log_tells_a_request_in_service_from_an_answer_that_is_not_written() {
    let lines = lines_of(&[Behavior::Answer], &["unread-1", "unread-2"]);
    assert!(tells(&lines, "answer_cut_by_exit", "unread-1"));
    assert!(tells(&lines, "answer_cut_by_exit", "unread-2"));
    assert!(!lines.contains("\"cut_by_exit\""));
    let lines = lines_of(&[Behavior::AnswerAfter(LATE)], &["in-service"]);
    assert!(tells(&lines, "cut_by_exit", "in-service"));
    assert!(!lines.contains("answer_cut_by_exit"));
}

/// Guards against a log that calls a request cut that the VM itself has answered.
#[test]
fn the_log_tells_the_status_by_which_a_stopping_vm_has_answered() {
    let lines = log::capture(|| run_in_virtual_time(stop_under("at-work"))).1;
    let lines = String::from_utf8_lossy(&lines);
    assert!(tells(&lines, "cut_by_exit", "\"status\":502"), "{lines}");
}
