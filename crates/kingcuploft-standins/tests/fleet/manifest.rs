//! Checks manifest propagation: an accepted manifest is in force on every VM within seconds and is never reverted.

use std::time::Duration;

use kingcuploft::manifest::reader;
use kingcuploft::manifest::root::{Root, ServiceRef, service_objects};
use kingcuploft_platform::manifest_root::{
    ApplyOutcome, ROOT_KEY, SERVICES_PREFIX, apply, service_key,
};
use kingcuploft_platform::{ObjectStore, WriteCondition};
use kingcuploft_standins::platform::Outage;

use crate::harness::{Fleet, PROPAGATION_TIMEOUT, generation, manifest_text, until};

#[test]
fn a_store_outage_right_after_acceptance_does_not_stop_a_manifest() {
    // Failure: the store goes down right after it accepted a manifest that only one VM has read. If the others waited
    // for the store, they would serve the old manifest during the whole outage.
    let fleet = Fleet::start(5);
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    fleet.wait_live(5);
    let accepted = fleet.apply(&[("trip", 2)]);
    let first = || fleet.generations().contains(&accepted);
    until(PROPAGATION_TIMEOUT, first, || "no VM has it".into());
    fleet
        .platform
        .change_faults(|faults| faults.outage = Some(Outage::Silence));
    fleet.wait_in_force(accepted);
    fleet.platform.change_faults(|faults| faults.outage = None);
    fleet.stop();
}

#[test]
fn a_watch_that_stalls_silently_delays_a_manifest_by_seconds_only() {
    // Failure: the store accepts watches and never answers them, while reads work. A VM that relied on its watch alone
    // would keep the old manifest forever.
    let fleet = Fleet::start(1);
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    fleet
        .platform
        .change_faults(|faults| faults.stalled_watch = true);
    fleet.wait_in_force(fleet.apply(&[("trip", 2)]));
    fleet.stop();
}

#[test]
fn a_stale_read_reverts_nothing() {
    // Failure: a VM reads an older root from a lagging replica of the store after it had the newer one, and a removed
    // service answers again.
    let fleet = Fleet::start(2);
    let old = fleet.apply(&[("trip", 1), ("venue", 1)]);
    fleet.wait_in_force(old);
    let old_root = fleet.platform.object(ROOT_KEY).unwrap().value;
    let new = fleet.apply(&[("trip", 2)]);
    fleet.wait_in_force(new);
    fleet.platform.overwrite(ROOT_KEY, &old_root);
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(10));
        assert_eq!(fleet.generations(), [new, new]);
    }
    fleet.stop();
}

#[test]
fn a_zone_whose_peer_links_are_cut_still_follows_the_store() {
    // Failure: a switch fails, and the VMs of a zone reach the store but no other VM.
    let mut fleet = Fleet::start(2);
    let alone = fleet.add_with("peers: []");
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    assert_eq!(fleet.links()[alone], 0);
    fleet.wait_in_force(fleet.apply(&[("trip", 2)]));
    fleet.stop();
}

#[test]
fn a_vm_that_is_replaced_during_an_outage_starts_from_its_peers() {
    // Failure: VMs are replaced while the store is down for an hour. If new VMs needed the store, none would become
    // ready, and in the end no VM would serve.
    let mut fleet = Fleet::start(3);
    let accepted = fleet.apply(&[("trip", 1), ("venue", 1)]);
    fleet.wait_in_force(accepted);
    fleet.platform.set_down(true);
    fleet.daemons.remove(0).stop();
    let new = fleet.add();
    fleet.wait_in_force(accepted);
    assert!(fleet.daemons[new].shared().ready());
    fleet.stop();
}

#[test]
fn a_vm_without_a_manifest_is_not_ready() {
    let fleet = Fleet::start(1);
    fleet.platform.set_down(true);
    std::thread::sleep(Duration::from_millis(100));
    assert!(!fleet.daemons[0].shared().ready());
    fleet.platform.set_down(false);
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    assert!(fleet.daemons[0].shared().ready());
    fleet.stop();
}

#[test]
fn a_manifest_with_a_corrupt_service_object_is_adopted_only_after_its_repair() {
    // Failure: one object of a new manifest is damaged in the store. Adopting the rest of the manifest would send
    // requests of that service to outdated backend servers.
    let mut fleet = Fleet::start(2);
    let old = fleet.apply(&[("trip", 1), ("venue", 1)]);
    fleet.wait_in_force(old);
    fleet.platform.set_down(true);
    let before = fleet.platform.keys(SERVICES_PREFIX);
    fleet.platform.set_down(false);
    // All daemons are stopped, so that none reads the new manifest before it is damaged.
    fleet
        .platform
        .change_faults(|faults| faults.reads_per_s = None);
    let stopped: Vec<_> = fleet.daemons.drain(..).collect();
    for daemon in stopped {
        daemon.stop();
    }
    let new = fleet.apply(&[("trip", 2), ("venue", 1)]);
    let keys = fleet.platform.keys(SERVICES_PREFIX);
    let key = keys.iter().find(|key| !before.contains(key)).unwrap();
    let good = fleet.platform.object(key).unwrap().value;
    fleet.platform.overwrite(key, "{\"name\": \"trip\"}");
    let fresh = fleet.add();
    let faults = || {
        fleet.daemons[fresh]
            .shared()
            .metrics
            .fleet
            .manifest_faults
            .get()
    };
    until(
        PROPAGATION_TIMEOUT,
        || faults() > 0,
        || "no fault reported".into(),
    );
    // The fault may be counted before the other, valid object is read; that one is still fetched.
    let status = || fleet.daemons[fresh].shared().manifest.read(|a| a.status());
    let one_missing = || status().missing == 1;
    until(PROPAGATION_TIMEOUT, one_missing, || {
        format!("{:?}", status().missing)
    });
    assert_eq!(fleet.generations(), [0]);
    assert!(!fleet.daemons[fresh].shared().ready());
    // Every object but the corrupt one is fetched.
    let status = || fleet.daemons[fresh].shared().manifest.read(|a| a.status());
    until(
        PROPAGATION_TIMEOUT,
        || status().missing == 1,
        || format!("{:?}", status()),
    );
    assert_eq!((status().in_force, status().heard), (0, new));
    fleet.platform.overwrite(key, &good);
    fleet.wait_in_force(new);
    fleet.stop();
}

#[test]
fn a_missing_service_object_keeps_the_old_manifest_until_it_is_written() {
    // Failure: the root of a manifest references an object that an operator's cleanup has deleted.
    let fleet = Fleet::start(2);
    let old = fleet.apply(&[("trip", 1)]);
    fleet.wait_in_force(old);
    let (key, good) = apply_without_object(&fleet);
    let all_report_it = || {
        let faults = fleet
            .daemons
            .iter()
            .map(|d| d.shared().manifest.read(|a| a.status().fault));
        faults.flatten().count() == 2
    };
    until(PROPAGATION_TIMEOUT, all_report_it, || {
        format!("{:?}", fleet.generations())
    });
    assert_eq!(fleet.generations(), [old, old]);
    fleet
        .client()
        .put(&key, &good, WriteCondition::Absent)
        .unwrap();
    fleet.wait_in_force(old + 1);
    fleet.stop();
}

/// Writes a root that references a missing object; returns the key and text of that object.
fn apply_without_object(fleet: &Fleet) -> (String, String) {
    let manifest = reader::read("test", &manifest_text(&[("trip", 2)])).unwrap();
    let object = service_objects(&manifest).remove(0);
    let root = fleet.platform.object(ROOT_KEY).unwrap().value;
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
    fleet.platform.overwrite(ROOT_KEY, &next.text());
    (service_key(&object.hash), object.text)
}

#[test]
fn concurrent_applies_leave_the_same_manifest_on_every_vm() {
    // Failure: two pipelines apply at once, repeatedly. If both were accepted with the same generation, VMs could hold
    // different contents of it.
    let fleet = Fleet::start(3);
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    let accepted: usize = std::thread::scope(|scope| {
        let operators = (0..2).map(|operator| {
            let fleet = &fleet;
            scope.spawn(move || {
                let tries = (0..10).map(|i| {
                    let text = manifest_text(&[("trip", 10 + operator * 100 + i)]);
                    let manifest = reader::read("test", &text).unwrap();
                    let id = format!("{operator}-{i}");
                    let applied = apply(&fleet.client(), manifest, &id).unwrap();
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
    fleet.wait_in_force(1 + accepted as u64);
    let hash = |d: &kingcuploftd::daemon::Daemon| {
        d.shared()
            .manifest
            .read(|a| a.root_hash().map(ToString::to_string))
    };
    let first = hash(&fleet.daemons[0]);
    assert!(fleet.daemons.iter().all(|daemon| hash(daemon) == first));
    assert!(generation(&fleet.daemons[0]) > 10);
    fleet.stop();
}
