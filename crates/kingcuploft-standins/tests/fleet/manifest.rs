//! An accepted manifest is in force everywhere within seconds and never reverts.

use std::time::Duration;

use kingcuploft::manifest::reader;
use kingcuploft::manifest::root::{Root, ServiceRef, service_objects};
use kingcuploft_platform::manifest_root::{
    ApplyOutcome, ROOT_KEY, SERVICES_PREFIX, apply, service_key,
};
use kingcuploft_platform::{ObjectStore, WriteCondition};
use kingcuploft_standins::platform::Outage;

use crate::harness::{Bench, IN_FORCE, generation, text, until};

#[test]
fn a_store_that_dies_right_after_acceptance_does_not_stop_a_manifest() {
    // Operators are told "accepted" and the store goes down. One VM has read the manifest by then;
    // were the others to wait for the store, they would serve the old one for the whole outage.
    let bench = Bench::start(5);
    bench.in_force(bench.apply(&[("trip", 1)]));
    bench.live(5);
    let accepted = bench.apply(&[("trip", 2)]);
    let first = || bench.generations().contains(&accepted);
    until(IN_FORCE, first, || "no VM has it".into());
    bench
        .platform
        .change_faults(|faults| faults.outage = Some(Outage::Silence));
    bench.in_force(accepted);
    bench.platform.change_faults(|faults| faults.outage = None);
    bench.stop();
}

#[test]
fn a_watch_that_stalls_silently_delays_a_manifest_by_seconds_only() {
    // The store takes watches and never answers them; reads still work. A VM that trusted its
    // watch would stay on the old manifest for good.
    let bench = Bench::start(1);
    bench.in_force(bench.apply(&[("trip", 1)]));
    bench
        .platform
        .change_faults(|faults| faults.stalled_watch = true);
    bench.in_force(bench.apply(&[("trip", 2)]));
    bench.stop();
}

#[test]
fn a_stale_read_reverts_nothing() {
    // A service that was removed answers again: a VM reads an older root from a lagging replica of
    // the store after it had the newer one.
    let bench = Bench::start(2);
    let old = bench.apply(&[("trip", 1), ("venue", 1)]);
    bench.in_force(old);
    let old_root = bench.platform.object(ROOT_KEY).unwrap().value;
    let new = bench.apply(&[("trip", 2)]);
    bench.in_force(new);
    bench.platform.overwrite(ROOT_KEY, &old_root);
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(10));
        assert_eq!(bench.generations(), [new, new]);
    }
    bench.stop();
}

#[test]
fn a_zone_whose_peer_links_are_cut_still_follows_the_store() {
    // A switch fails and a zone's VMs reach the store but no other VM.
    let mut bench = Bench::start(2);
    let alone = bench.add_with("peers: []");
    bench.in_force(bench.apply(&[("trip", 1)]));
    assert_eq!(bench.links()[alone], 0);
    bench.in_force(bench.apply(&[("trip", 2)]));
    bench.stop();
}

#[test]
fn a_vm_that_is_replaced_during_an_outage_starts_from_its_peers() {
    // The store is down for an hour and VMs go on being replaced. Each new one would stay not
    // ready until the fleet is empty.
    let mut bench = Bench::start(3);
    let accepted = bench.apply(&[("trip", 1), ("venue", 1)]);
    bench.in_force(accepted);
    bench.platform.set_down(true);
    bench.daemons.remove(0).stop();
    let new = bench.add();
    bench.in_force(accepted);
    assert!(bench.daemons[new].shared().ready());
    bench.stop();
}

#[test]
fn a_vm_that_cannot_know_the_manifest_says_not_ready() {
    let bench = Bench::start(1);
    bench.platform.set_down(true);
    std::thread::sleep(Duration::from_millis(100));
    assert!(!bench.daemons[0].shared().ready());
    bench.platform.set_down(false);
    bench.in_force(bench.apply(&[("trip", 1)]));
    assert!(bench.daemons[0].shared().ready());
    bench.stop();
}

#[test]
fn a_corrupt_service_object_keeps_the_old_manifest_until_it_is_mended() {
    // One object of a new manifest is damaged in the store. Half of the manifest would send a
    // service's requests to backend servers of another time.
    let mut bench = Bench::start(2);
    let old = bench.apply(&[("trip", 1), ("venue", 1)]);
    bench.in_force(old);
    bench.platform.set_down(true);
    let before = bench.platform.keys(SERVICES_PREFIX);
    bench.platform.set_down(false);
    // The daemons can not read while the new manifest is written and damaged.
    bench
        .platform
        .change_faults(|faults| faults.reads_per_s = None);
    let stalled: Vec<_> = bench.daemons.drain(..).collect();
    for daemon in stalled {
        daemon.stop();
    }
    let new = bench.apply(&[("trip", 2), ("venue", 1)]);
    let keys = bench.platform.keys(SERVICES_PREFIX);
    let key = keys.iter().find(|key| !before.contains(key)).unwrap();
    let good = bench.platform.object(key).unwrap().value;
    bench.platform.overwrite(key, "{\"name\": \"trip\"}");
    let fresh = bench.add();
    let faults = || {
        bench.daemons[fresh]
            .shared()
            .metrics
            .fleet
            .manifest_faults
            .get()
    };
    until(IN_FORCE, || faults() > 0, || "no fault told".into());
    // The fault may be told before the other, good object is read: that one still comes.
    let status = || bench.daemons[fresh].shared().manifest.read(|a| a.status());
    let one_missing = || status().missing == 1;
    until(IN_FORCE, one_missing, || format!("{:?}", status().missing));
    assert_eq!(bench.generations(), [0]);
    assert!(!bench.daemons[fresh].shared().ready());
    // All but the corrupt one is fetched.
    let status = || bench.daemons[fresh].shared().manifest.read(|a| a.status());
    until(
        IN_FORCE,
        || status().missing == 1,
        || format!("{:?}", status()),
    );
    assert_eq!((status().in_force, status().heard), (0, new));
    bench.platform.overwrite(key, &good);
    bench.in_force(new);
    bench.stop();
}

#[test]
fn a_missing_service_object_keeps_the_old_manifest_until_it_is_there() {
    // The root of a manifest is seen before one of its objects: an operator's cleanup deleted it.
    let bench = Bench::start(2);
    let old = bench.apply(&[("trip", 1)]);
    bench.in_force(old);
    let (key, good) = apply_without_object(&bench);
    let told = || {
        let faults = bench
            .daemons
            .iter()
            .map(|d| d.shared().manifest.read(|a| a.status().fault));
        faults.flatten().count() == 2
    };
    until(IN_FORCE, told, || format!("{:?}", bench.generations()));
    assert_eq!(bench.generations(), [old, old]);
    bench
        .client()
        .put(&key, &good, WriteCondition::Absent)
        .unwrap();
    bench.in_force(old + 1);
    bench.stop();
}

/// Puts a root in place that names one object which is not there; returns that object.
fn apply_without_object(bench: &Bench) -> (String, String) {
    let manifest = reader::read("test", &text(&[("trip", 2)])).unwrap();
    let object = service_objects(&manifest).remove(0);
    let root = bench.platform.object(ROOT_KEY).unwrap().value;
    let root: Root = serde_json::from_str(&root).unwrap();
    let part = ServiceRef {
        name: object.name.clone(),
        hash: object.hash.clone(),
    };
    let next = Root {
        generation: root.generation + 1,
        services: vec![part],
        ..root
    };
    bench.platform.overwrite(ROOT_KEY, &next.text());
    (service_key(&object.hash), object.text)
}

#[test]
fn two_operators_racing_leave_one_manifest_everywhere() {
    // Two pipelines apply at once, again and again. Were both to win, half of the VMs could hold
    // one content of a generation and half the other.
    let bench = Bench::start(3);
    bench.in_force(bench.apply(&[("trip", 1)]));
    let won: usize = std::thread::scope(|scope| {
        let operators = (0..2).map(|operator| {
            let bench = &bench;
            scope.spawn(move || {
                let tries = (0..10).map(|i| {
                    let text = text(&[("trip", 10 + operator * 100 + i)]);
                    let manifest = reader::read("test", &text).unwrap();
                    let id = format!("{operator}-{i}");
                    let applied = apply(&bench.client(), manifest, &id).unwrap();
                    usize::from(matches!(
                        applied,
                        ApplyOutcome::Accepted(_) | ApplyOutcome::Superseded { .. }
                    ))
                });
                tries.sum::<usize>()
            })
        });
        let operators: Vec<_> = operators.collect();
        operators.into_iter().map(|o| o.join().unwrap()).sum()
    });
    bench.in_force(1 + won as u64);
    let hash = |d: &kingcuploftd::daemon::Daemon| {
        d.shared()
            .manifest
            .read(|a| a.root_hash().map(ToString::to_string))
    };
    let first = hash(&bench.daemons[0]);
    assert!(bench.daemons.iter().all(|daemon| hash(daemon) == first));
    assert!(generation(&bench.daemons[0]) > 10);
    bench.stop();
}
