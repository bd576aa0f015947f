//! Checks that the simulated platform store shows the faults that a test sets.

use std::time::Duration;

use kingcuploft_platform::client::Client;
use kingcuploft_platform::{ListedVm, ObjectStore, StoreError, VmState, WriteCondition};
use kingcuploft_standins::platform::{Faults, MAX_VALUE_BYTES, Outage, Platform, WriteFault};
use tokio::runtime::Runtime;

fn start() -> (Runtime, Platform, Client) {
    let runtime = Runtime::new().unwrap();
    let platform = Platform::start(&runtime).unwrap();
    let client = Client::new(&platform.address().to_string());
    (runtime, platform, client)
}

/// Scripts a fault for the next write.
fn next_write(platform: &Platform, fault: WriteFault) {
    platform.change_faults(|faults| faults.next_writes.push_back((String::new(), fault)));
}

#[test]
fn only_the_write_with_a_lost_answer_takes_effect_though_both_errors_are_the_same() {
    let (_runtime, platform, client) = start();
    next_write(&platform, WriteFault::LostAnswer);
    next_write(&platform, WriteFault::LostRequest);
    for key in ["took-effect", "did-not"] {
        let put = client.put(key, "1", WriteCondition::Absent);
        assert!(matches!(put, Err(StoreError::NoAnswer(_))), "{put:?}");
    }
    assert!(platform.object("took-effect").is_some());
    assert!(platform.object("did-not").is_none());
}

#[test]
fn a_delayed_write_is_applied_after_its_call_failed_and_is_fenced_by_a_newer_version() {
    let (_runtime, platform, client) = start();
    let late = WriteFault::Delayed(Duration::from_millis(60));
    next_write(&platform, late);
    assert!(client.put("a", "late", WriteCondition::Absent).is_err());
    assert_eq!(client.get("a").unwrap(), None);
    std::thread::sleep(Duration::from_millis(150));
    assert_eq!(client.get("a").unwrap().unwrap().value, "late");
    let version = client.get("a").unwrap().unwrap().version;
    next_write(&platform, late);
    assert!(
        client
            .put("a", "later", WriteCondition::Version(version))
            .is_err()
    );
    client
        .put("a", "newer", WriteCondition::Version(version))
        .unwrap();
    std::thread::sleep(Duration::from_millis(150));
    assert_eq!(client.get("a").unwrap().unwrap().value, "newer");
    assert_eq!(platform.calls().conflicts, 1);
}

#[test]
fn stale_reads_expired_watches_lagging_vm_lists_and_large_values_each_show_their_own_error() {
    let (_runtime, platform, client) = start();
    let first = client.put("a", "1", WriteCondition::Absent).unwrap();
    client
        .put("a", "2", WriteCondition::Version(first))
        .unwrap();
    platform.change_faults(|faults| faults.stale_read_share = 1.0);
    assert_eq!(client.get("a").unwrap().unwrap().value, "1");
    platform.set_faults(Faults {
        expired_watch: true,
        vms_lag: Duration::from_secs(60),
        ..Faults::default()
    });
    let wait = Duration::from_millis(1);
    assert_eq!(client.watch("a", 0, wait), Err(StoreError::WatchExpired));
    platform.set_vms(vec![ListedVm {
        name: "entry-1".into(),
        address: "127.0.0.1:1".into(),
        availability_zone: "a".into(),
        state: VmState::Live,
    }]);
    assert_eq!(client.vms().unwrap(), []);
    platform.set_faults(Faults::default());
    assert_eq!(client.vms().unwrap().len(), 1);
    let big = "x".repeat(MAX_VALUE_BYTES + 1);
    let put = client.put("b", &big, WriteCondition::Absent);
    assert_eq!(put, Err(StoreError::Refused(413)));
    platform.change_faults(|faults| faults.outage = Some(Outage::Closed));
    assert!(matches!(client.get("a"), Err(StoreError::NoAnswer(_))));
    assert_eq!(platform.calls().refused, 1);
}
