//! Checks how a manifest is applied to the store: one of two concurrent applies is accepted, lost answers are resolved,
//! and only changed objects are written.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use kingcuploft::manifest::root::ServiceChange;
use kingcuploft::manifest::{Manifest, reader};
use kingcuploft_platform::client::{Client, ClientSettings};
use kingcuploft_platform::manifest_root::{
    ApplyOutcome, ApplyRequest, HISTORY_PREFIX, MAX_HISTORY_ROOTS, ROOT_KEY, SERVICES_PREFIX,
    apply, read_history, read_manifest, read_root,
};
use kingcuploft_platform::{
    Changes, ListedVm, Object, ObjectStore, StoreError, Version, WriteCondition,
};
use kingcuploft_standins::platform::{Outage, Platform, WriteFault};
use tokio::runtime::Runtime;

/// A platform store and a client that does not give up on faults early.
struct Fixture {
    platform: Platform,
    store: Client,
    _runtime: Runtime,
}

fn start() -> Fixture {
    let runtime = Runtime::new().unwrap();
    let platform = Platform::start(&runtime).unwrap();
    let settings = ClientSettings {
        call_timeout_ms: 300,
        failures_to_open: 1000,
        calls_burst: 10_000.0,
        ..ClientSettings::default()
    };
    let store = Client::with_settings(&platform.address().to_string(), settings, 1);
    Fixture {
        platform,
        store,
        _runtime: runtime,
    }
}

/// Builds a manifest of services; the deadline of each distinguishes its content.
fn manifest(services: &[(&str, u64)]) -> Manifest {
    let mut text = String::from("services:\n");
    for (name, deadline_ms) in services {
        text += &format!(
            "  - {{name: {name}, hosts: [{name}.example], backend_servers: [], rules: [{{name: r, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: {deadline_ms}}}]}}\n"
        );
    }
    reader::read("test", &text).unwrap()
}

/// Builds an apply by an operator, without conditions on the generation.
fn request(manifest: Manifest, apply_id: &str) -> ApplyRequest {
    ApplyRequest {
        manifest,
        apply_id: apply_id.into(),
        author: "operator".into(),
        applied_ms: 7,
        base_generation: None,
        above_generation: 0,
        verify: false,
    }
}

#[test]
fn only_changed_objects_are_written() {
    let fixture = start();
    let all: Vec<String> = (0..40).map(|i| format!("service-{i}")).collect();
    let mut services: Vec<(&str, u64)> = all.iter().map(|name| (name.as_str(), 1)).collect();
    let first = apply(&fixture.store, manifest(&services), "first").unwrap();
    assert_eq!(first, ApplyOutcome::Accepted(1));
    let before = fixture.platform.calls();
    services[7].1 = 2;
    let second = apply(&fixture.store, manifest(&services), "second").unwrap();
    assert_eq!(second, ApplyOutcome::Accepted(2));
    let after = fixture.platform.calls();
    // The previous root into the history, one service object and the new root.
    assert_eq!(after.puts - before.puts, 3);
    assert_eq!(after.gets - before.gets, 1);
    let (_, root) = read_root(&fixture.store).unwrap().unwrap();
    let read = read_manifest(&fixture.store, &root).unwrap();
    assert_eq!(read, manifest(&services));
    let history = read_history(&fixture.store).unwrap();
    assert_eq!(history.len(), 1);
    let changed = vec![ServiceChange::Changed("service-7".into())];
    assert_eq!(root.changes_since(&history[0].services), changed);
}

#[test]
fn a_lost_answer_is_resolved_by_the_apply_id() {
    // Failure: the write of the root takes effect and its answer is lost; the operator's pipeline then reports a
    // failure although the manifest is in force.
    let fixture = start();
    let lost = (ROOT_KEY.to_owned(), WriteFault::LostAnswer);
    fixture
        .platform
        .change_faults(|faults| faults.next_writes.push_back(lost));
    let applied = apply(&fixture.store, manifest(&[("trip", 1)]), "a").unwrap();
    assert_eq!(applied, ApplyOutcome::Accepted(1));
    let lost = (ROOT_KEY.to_owned(), WriteFault::LostRequest);
    fixture
        .platform
        .change_faults(|faults| faults.next_writes.push_back(lost));
    let applied = apply(&fixture.store, manifest(&[("trip", 2)]), "b").unwrap();
    assert_eq!(applied, ApplyOutcome::Accepted(2));
}

#[test]
fn a_delayed_write_takes_effect_once() {
    // Failure: the write of the root is delayed in the network and its connection breaks, so that the tool sends it
    // again. When the first write arrives later, it must not restore an older manifest.
    let fixture = start();
    let late = WriteFault::Delayed(Duration::from_millis(80));
    let late = (ROOT_KEY.to_owned(), late);
    fixture
        .platform
        .change_faults(|faults| faults.next_writes.push_back(late));
    let applied = apply(&fixture.store, manifest(&[("trip", 1)]), "a").unwrap();
    assert_eq!(applied, ApplyOutcome::Accepted(1));
    assert_eq!(
        apply(&fixture.store, manifest(&[("trip", 2)]), "b").unwrap(),
        ApplyOutcome::Accepted(2)
    );
    std::thread::sleep(Duration::from_millis(150));
    let (_, root) = read_root(&fixture.store).unwrap().unwrap();
    assert_eq!((root.generation, root.apply_id.as_str()), (2, "b"));
}

#[test]
fn an_apply_without_any_answer_is_reported_as_unknown() {
    // Failure: the store applies the write and then stops answering. Neither "accepted" nor "not accepted" would be
    // certain.
    let fixture = start();
    apply(&fixture.store, manifest(&[("trip", 1)]), "a").unwrap();
    let silent = SilentAfterWrite {
        inner: &fixture.store,
        platform: &fixture.platform,
    };
    let applied = apply(&silent, manifest(&[("trip", 2)]), "b").unwrap();
    assert!(matches!(applied, ApplyOutcome::Unknown(_)), "{applied:?}");
    fixture
        .platform
        .change_faults(|faults| faults.outage = None);
    let (_, root) = read_root(&fixture.store).unwrap().unwrap();
    let before = read_history(&fixture.store).unwrap().remove(0);
    let settled = request(manifest(&[("trip", 2)]), "b").outcome_from(&root, &before);
    assert_eq!(settled, ApplyOutcome::Accepted(2));
}

/// A store whose answer to the write of the root is lost, and which then closes every connection without an answer.
struct SilentAfterWrite<'a> {
    inner: &'a Client,
    platform: &'a Platform,
}

impl ObjectStore for SilentAfterWrite<'_> {
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.inner.get(key)
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        condition: WriteCondition,
    ) -> Result<Version, StoreError> {
        let written = self.inner.put(key, value, condition)?;
        if key != ROOT_KEY {
            return Ok(written);
        }
        let outage = Some(Outage::Closed);
        self.platform.change_faults(|faults| faults.outage = outage);
        Err(StoreError::NoAnswer("the answer was lost".into()))
    }

    fn delete(&self, key: &str, version: Version) -> Result<(), StoreError> {
        self.inner.delete(key, version)
    }

    fn list(&self, prefix: &str) -> Result<Changes, StoreError> {
        self.inner.list(prefix)
    }

    fn watch(&self, prefix: &str, after: Version, wait: Duration) -> Result<Changes, StoreError> {
        self.inner.watch(prefix, after, wait)
    }

    fn vms(&self) -> Result<Vec<ListedVm>, StoreError> {
        self.inner.vms()
    }
}

#[test]
fn the_losing_one_of_two_concurrent_applies_is_told_what_changed() {
    // Failure: two pipelines deploy at once and both are told "accepted"; the change of one team is lost unnoticed.
    let fixture = start();
    apply(
        &fixture.store,
        manifest(&[("trip", 1), ("venue", 1)]),
        "base",
    )
    .unwrap();
    let racing = ConcurrentApply {
        inner: &fixture.store,
        has_raced: AtomicBool::new(false),
    };
    let lost = request(manifest(&[("trip", 2), ("venue", 1)]), "loser").run(&racing);
    let expected = ApplyOutcome::Conflicting {
        generation: 2,
        author: "operator".into(),
        changes: vec![
            ServiceChange::Added("archive".into()),
            ServiceChange::Changed("venue".into()),
        ],
    };
    let sorted = |applied: ApplyOutcome| match applied {
        ApplyOutcome::Conflicting {
            generation,
            author,
            mut changes,
        } => {
            changes.sort_by_key(ToString::to_string);
            ApplyOutcome::Conflicting {
                generation,
                author,
                changes,
            }
        }
        other => other,
    };
    assert_eq!(sorted(lost.unwrap()), expected);
    let (_, root) = read_root(&fixture.store).unwrap().unwrap();
    assert_eq!(root.apply_id, "winner");
}

/// A store in which another operator's manifest is accepted right before the first write of the root.
struct ConcurrentApply<'a> {
    inner: &'a Client,
    has_raced: AtomicBool,
}

impl ObjectStore for ConcurrentApply<'_> {
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.inner.get(key)
    }

    fn put(
        &self,
        key: &str,
        value: &str,
        condition: WriteCondition,
    ) -> Result<Version, StoreError> {
        let first = key == ROOT_KEY && !self.has_raced.swap(true, Ordering::Relaxed);
        if first {
            let other = manifest(&[("trip", 1), ("venue", 9), ("archive", 1)]);
            let won = request(other, "winner").run(self.inner).unwrap();
            assert_eq!(won, ApplyOutcome::Accepted(2));
        }
        self.inner.put(key, value, condition)
    }

    fn delete(&self, key: &str, version: Version) -> Result<(), StoreError> {
        self.inner.delete(key, version)
    }

    fn list(&self, prefix: &str) -> Result<Changes, StoreError> {
        self.inner.list(prefix)
    }

    fn watch(&self, prefix: &str, after: Version, wait: Duration) -> Result<Changes, StoreError> {
        self.inner.watch(prefix, after, wait)
    }

    fn vms(&self) -> Result<Vec<ListedVm>, StoreError> {
        self.inner.vms()
    }
}

#[test]
fn an_accepted_manifest_that_was_replaced_is_reported_as_superseded() {
    let fixture = start();
    let first = request(manifest(&[("trip", 1)]), "first");
    first.run(&fixture.store).unwrap();
    request(manifest(&[("trip", 2)]), "second")
        .run(&fixture.store)
        .unwrap();
    let (_, root) = read_root(&fixture.store).unwrap().unwrap();
    let outcome = first.outcome_from(&root, &kingcuploft::manifest::root::Root::default());
    let expected = ApplyOutcome::Superseded {
        generation: 1,
        by: 2,
    };
    assert_eq!(outcome, expected);
}

#[test]
fn an_apply_can_require_the_generation_on_which_it_is_based() {
    let fixture = start();
    request(manifest(&[("trip", 1)]), "a")
        .run(&fixture.store)
        .unwrap();
    let mut based = request(manifest(&[("trip", 2)]), "b");
    based.base_generation = Some(0);
    let applied = based.run(&fixture.store).unwrap();
    assert!(matches!(
        applied,
        ApplyOutcome::Conflicting { generation: 1, .. }
    ));
    based.base_generation = Some(1);
    assert_eq!(
        based.run(&fixture.store).unwrap(),
        ApplyOutcome::Accepted(2)
    );
}

#[test]
fn history_is_bounded_and_the_objects_that_it_references_are_kept() {
    let fixture = start();
    for i in 1..=96 {
        // Every third apply restores the first content, so that its object is referenced again.
        let deadline_ms = if i % 3 == 0 { 1 } else { i };
        let applied = apply(
            &fixture.store,
            manifest(&[("trip", deadline_ms)]),
            &format!("{i}"),
        );
        assert_eq!(applied.unwrap(), ApplyOutcome::Accepted(i));
    }
    let history = read_history(&fixture.store).unwrap();
    assert!(
        history.len() as u64 <= MAX_HISTORY_ROOTS + 16,
        "{}",
        history.len()
    );
    assert_eq!(fixture.platform.keys(HISTORY_PREFIX).len(), history.len());
    let objects = fixture.platform.keys(SERVICES_PREFIX).len();
    assert!(objects <= history.len() + 1, "{objects}");
    let (_, root) = read_root(&fixture.store).unwrap().unwrap();
    for root in history.iter().chain([&root]) {
        read_manifest(&fixture.store, root).unwrap();
    }
}

#[test]
fn an_apply_that_verifies_repairs_a_corrupt_object() {
    let fixture = start();
    apply(&fixture.store, manifest(&[("trip", 1), ("venue", 1)]), "a").unwrap();
    let key = fixture.platform.keys(SERVICES_PREFIX).remove(0);
    let good = fixture.platform.object(&key).unwrap().value;
    fixture.platform.overwrite(&key, "{");
    let (_, root) = read_root(&fixture.store).unwrap().unwrap();
    assert!(read_manifest(&fixture.store, &root).is_err());
    let mut verifying = request(manifest(&[("trip", 1), ("venue", 1)]), "b");
    verifying.verify = true;
    assert_eq!(
        verifying.run(&fixture.store).unwrap(),
        ApplyOutcome::Accepted(2)
    );
    assert_eq!(fixture.platform.object(&key).unwrap().value, good);
}
