//! Keys of workspaces stand in no log line, metric or answer. Alone in its program: log lines are captured, and tests beside
//! it would switch them off.

use kingcuploft::entry::workspaces::Workspace;
use kingcuploft_simulation::{log, store};

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
use testbed::{Testbed, lookup, run_test, wait_until, with_workspaces};

const KEY: &str = "k3y-of-north";
const UNKNOWN_KEY: &str = "k3y-of-nobody";

fn with_key(id: &str, key: &str) -> String {
    let header = format!("Authorization: Bearer {key}\r\nx-id");
    lookup(id).replacen("x-id", &header, 1)
}

async fn play() -> String {
    let testbed = Testbed::with(&[Behavior::Answer; 2]).await;
    let north = Workspace::new("north", &[KEY], None, 1.0, 1.0).unwrap();
    let configuration = with_workspaces(2, vec![north]);
    testbed.store.write_configuration(configuration);
    let context = &testbed.vm.context;
    wait_until(|| context.active_configuration.version() == Some(2)).await;
    let mut text = String::new();
    for at in 0..8 {
        for key in [KEY, UNKNOWN_KEY] {
            let answer = testbed.ask(&with_key(&format!("r{at}"), key)).await;
            text += &format!("{}{}", answer.head, answer.body);
        }
    }
    text + &context.metrics_text()
}

/// Guards against keys in log lines, metrics or answers.
#[test]
fn a_key_stands_in_no_log_line_metric_or_answer() {
    let (told, lines) = log::capture(|| {
        let mut told = String::new();
        run_test(async { told = play().await });
        told
    });
    let lines = String::from_utf8_lossy(&lines);
    assert!(lines.contains("unknown key") && lines.contains("quota is used up"));
    assert!(told.contains("workspace=\"north\"") && told.contains("401 Unauthorized"));
    for secret in [KEY, UNKNOWN_KEY] {
        assert!(!lines.contains(secret) && !told.contains(secret));
    }
}
