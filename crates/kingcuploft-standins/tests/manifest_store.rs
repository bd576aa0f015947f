//! The manifest in the store: one winner, lost answers settled, nothing written twice.

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

struct Bench {
    platform: Platform,
    store: Client,
    _runtime: Runtime,
}

fn bench() -> Bench {
    let runtime = Runtime::new().unwrap();
    let platform = Platform::start(&runtime).unwrap();
    let settings = ClientSettings {
        call_timeout_ms: 300,
        failures_to_open: 1000,
        calls_burst: 10_000.0,
        ..ClientSettings::default()
    };
    let store = Client::with_settings(&platform.address().to_string(), settings, 1);
    Bench {
        platform,
        store,
        _runtime: runtime,
    }
}

/// A manifest of services, each with a deadline that tells its content.
fn manifest(services: &[(&str, u64)]) -> Manifest {
    let mut text = String::from("services:\n");
    for (name, deadline_ms) in services {
        text += &format!(
            "  - {{name: {name}, hosts: [{name}.example], backend_servers: [], rules: [{{name: r, path_prefix: /, contract: retry_freely, priority: interactive, deadline_ms: {deadline_ms}}}]}}\n"
        );
    }
    reader::read("test", &text).unwrap()
}

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
fn only_what_changed_is_written() {
    let bench = bench();
    let all: Vec<String> = (0..40).map(|i| format!("service-{i}")).collect();
    let mut services: Vec<(&str, u64)> = all.iter().map(|name| (name.as_str(), 1)).collect();
    let first = apply(&bench.store, manifest(&services), "first").unwrap();
    assert_eq!(first, ApplyOutcome::Accepted(1));
    let before = bench.platform.calls();
    services[7].1 = 2;
    let second = apply(&bench.store, manifest(&services), "second").unwrap();
    assert_eq!(second, ApplyOutcome::Accepted(2));
    let after = bench.platform.calls();
    // The earlier root's history, one service object and the root.
    assert_eq!(after.puts - before.puts, 3);
    assert_eq!(after.gets - before.gets, 1);
    let (_, root) = read_root(&bench.store).unwrap().unwrap();
    let read = read_manifest(&bench.store, &root).unwrap();
    assert_eq!(read, manifest(&services));
    let history = read_history(&bench.store).unwrap();
    assert_eq!(history.len(), 1);
    let changed = vec![ServiceChange::Changed("service-7".into())];
    assert_eq!(root.changes_since(&history[0].services), changed);
}

#[test]
fn a_lost_answer_is_settled_by_the_id() {
    // An operator's pipeline would report a failure although the manifest is in force: the root's
    // write takes effect and its answer is lost.
    let bench = bench();
    let lost = (ROOT_KEY.to_owned(), WriteFault::LostAnswer);
    bench
        .platform
        .change_faults(|faults| faults.next_writes.push_back(lost));
    let applied = apply(&bench.store, manifest(&[("trip", 1)]), "a").unwrap();
    assert_eq!(applied, ApplyOutcome::Accepted(1));
    let lost = (ROOT_KEY.to_owned(), WriteFault::LostRequest);
    bench
        .platform
        .change_faults(|faults| faults.next_writes.push_back(lost));
    let applied = apply(&bench.store, manifest(&[("trip", 2)]), "b").unwrap();
    assert_eq!(applied, ApplyOutcome::Accepted(2));
}

#[test]
fn a_delayed_write_takes_effect_once() {
    // The root's write is held up on its way and its connection dies; the tool sends it again.
    // When the first one arrives at last, it must not put an older manifest back.
    let bench = bench();
    let late = WriteFault::Delayed(Duration::from_millis(80));
    let late = (ROOT_KEY.to_owned(), late);
    bench
        .platform
        .change_faults(|faults| faults.next_writes.push_back(late));
    let applied = apply(&bench.store, manifest(&[("trip", 1)]), "a").unwrap();
    assert_eq!(applied, ApplyOutcome::Accepted(1));
    assert_eq!(
        apply(&bench.store, manifest(&[("trip", 2)]), "b").unwrap(),
        ApplyOutcome::Accepted(2)
    );
    std::thread::sleep(Duration::from_millis(150));
    let (_, root) = read_root(&bench.store).unwrap().unwrap();
    assert_eq!((root.generation, root.apply_id.as_str()), (2, "b"));
}

#[test]
fn silence_to_the_end_is_told_as_unknown() {
    // The store takes the write and then falls silent for long: "accepted" and "not accepted" would
    // both be guesses.
    let bench = bench();
    apply(&bench.store, manifest(&[("trip", 1)]), "a").unwrap();
    let silent = Silencing {
        inner: &bench.store,
        platform: &bench.platform,
    };
    let applied = apply(&silent, manifest(&[("trip", 2)]), "b").unwrap();
    assert!(matches!(applied, ApplyOutcome::Unknown(_)), "{applied:?}");
    bench.platform.change_faults(|faults| faults.outage = None);
    let (_, root) = read_root(&bench.store).unwrap().unwrap();
    let before = read_history(&bench.store).unwrap().remove(0);
    let settled = request(manifest(&[("trip", 2)]), "b").outcome_from(&root, &before);
    assert_eq!(settled, ApplyOutcome::Accepted(2));
}

/// A store that goes down just after the root was written.
struct Silencing<'a> {
    inner: &'a Client,
    platform: &'a Platform,
}

impl ObjectStore for Silencing<'_> {
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.inner.get(key)
    }

    fn put(&self, key: &str, value: &str, expect: WriteCondition) -> Result<Version, StoreError> {
        let written = self.inner.put(key, value, expect)?;
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
fn of_two_operators_one_wins_and_the_other_learns_what_changed() {
    // Two pipelines deploy at once. Were both told "accepted", one team's change would be gone
    // without anyone knowing.
    let bench = bench();
    apply(&bench.store, manifest(&[("trip", 1), ("venue", 1)]), "base").unwrap();
    let racing = Racing {
        inner: &bench.store,
        raced: AtomicBool::new(false),
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
    let (_, root) = read_root(&bench.store).unwrap().unwrap();
    assert_eq!(root.apply_id, "winner");
}

/// A store on which another operator wins just before this one's root is written.
struct Racing<'a> {
    inner: &'a Client,
    raced: AtomicBool,
}

impl ObjectStore for Racing<'_> {
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.inner.get(key)
    }

    fn put(&self, key: &str, value: &str, expect: WriteCondition) -> Result<Version, StoreError> {
        let first = key == ROOT_KEY && !self.raced.swap(true, Ordering::Relaxed);
        if first {
            let other = manifest(&[("trip", 1), ("venue", 9), ("archive", 1)]);
            let won = request(other, "winner").run(self.inner).unwrap();
            assert_eq!(won, ApplyOutcome::Accepted(2));
        }
        self.inner.put(key, value, expect)
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
fn an_apply_that_won_and_was_replaced_is_told_so() {
    let bench = bench();
    let first = request(manifest(&[("trip", 1)]), "first");
    first.run(&bench.store).unwrap();
    request(manifest(&[("trip", 2)]), "second")
        .run(&bench.store)
        .unwrap();
    let (_, root) = read_root(&bench.store).unwrap().unwrap();
    let told = first.outcome_from(&root, &kingcuploft::manifest::root::Root::default());
    let expected = ApplyOutcome::Superseded {
        generation: 1,
        by: 2,
    };
    assert_eq!(told, expected);
}

#[test]
fn a_pipeline_can_insist_on_the_generation_it_was_made_from() {
    let bench = bench();
    request(manifest(&[("trip", 1)]), "a")
        .run(&bench.store)
        .unwrap();
    let mut insists = request(manifest(&[("trip", 2)]), "b");
    insists.base_generation = Some(0);
    let applied = insists.run(&bench.store).unwrap();
    assert!(matches!(
        applied,
        ApplyOutcome::Conflicting { generation: 1, .. }
    ));
    insists.base_generation = Some(1);
    assert_eq!(
        insists.run(&bench.store).unwrap(),
        ApplyOutcome::Accepted(2)
    );
}

#[test]
fn history_is_bounded_and_what_it_names_is_kept() {
    let bench = bench();
    for i in 1..=96 {
        // Every third apply goes back to an old content, so that its object is named again.
        let deadline_ms = if i % 3 == 0 { 1 } else { i };
        let applied = apply(
            &bench.store,
            manifest(&[("trip", deadline_ms)]),
            &format!("{i}"),
        );
        assert_eq!(applied.unwrap(), ApplyOutcome::Accepted(i));
    }
    let history = read_history(&bench.store).unwrap();
    assert!(
        history.len() as u64 <= MAX_HISTORY_ROOTS + 16,
        "{}",
        history.len()
    );
    assert_eq!(bench.platform.keys(HISTORY_PREFIX).len(), history.len());
    let objects = bench.platform.keys(SERVICES_PREFIX).len();
    assert!(objects <= history.len() + 1, "{objects}");
    let (_, root) = read_root(&bench.store).unwrap().unwrap();
    for root in history.iter().chain([&root]) {
        read_manifest(&bench.store, root).unwrap();
    }
}

#[test]
fn a_corrupt_object_is_mended_by_an_apply_that_verifies() {
    let bench = bench();
    apply(&bench.store, manifest(&[("trip", 1), ("venue", 1)]), "a").unwrap();
    let key = bench.platform.keys(SERVICES_PREFIX).remove(0);
    let good = bench.platform.object(&key).unwrap().value;
    bench.platform.overwrite(&key, "{");
    let (_, root) = read_root(&bench.store).unwrap().unwrap();
    assert!(read_manifest(&bench.store, &root).is_err());
    let mut mends = request(manifest(&[("trip", 1), ("venue", 1)]), "b");
    mends.verify = true;
    assert_eq!(mends.run(&bench.store).unwrap(), ApplyOutcome::Accepted(2));
    assert_eq!(bench.platform.object(&key).unwrap().value, good);
}
