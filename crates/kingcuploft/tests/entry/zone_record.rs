use std::time::{Duration, Instant};

use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::{
    MAX_NAMED_VMS, ZoneCount, ZoneRecord, ZoneView, handed_to_larger, refreshed, with_leader,
    with_unreachable_vm,
};

use crate::readers::vm;

fn named(count: usize) -> Vec<VmEntry> {
    (0..count).map(|at| vm(&format!("vm-{at}"), 200)).collect()
}

fn record(vms: Vec<VmEntry>, count: u32) -> ZoneRecord {
    ZoneRecord {
        zone: "thun".into(),
        version: 5,
        vms,
        count,
        settled: true,
    }
}

/// Returns the view of `vm-0` with these followers.
fn seen(followers: Vec<VmEntry>) -> ZoneView {
    let below = followers.len() as u32;
    ZoneView {
        own: vm("vm-0", 200),
        followers,
        descendants: below,
    }
}

/// Failure: each VM that restarts costs a write to the store.
#[test]
fn restarts_of_followers_write_nothing() {
    let old = record(named(MAX_NAMED_VMS), 50);
    let all: Vec<VmEntry> = (1..50).map(|at| vm(&format!("vm-{at}"), 200)).collect();
    for away in 0..all.len() {
        let mut left = all.clone();
        left.remove(away);
        assert_eq!(
            refreshed(&old, &seen(left), 50, true),
            None,
            "vm {away} is away"
        );
    }
}

#[test]
fn a_new_reader_with_followers_names_itself_first() {
    let old = record([vec![vm("gone", 200)], named(4)].concat(), 6);
    let new = refreshed(&old, &seen(named(4)[1..].to_vec()), 6, true).unwrap();
    assert!(new.is_led_by(&"vm-0".into()));
    assert!(new.version > old.version);
    assert_eq!(new.count, 6);
    let last = new.vms.last().unwrap();
    assert_eq!(&*last.name, "gone", "it may come back, and there is room");
}

/// Failure: two VMs alternately write themselves into a zone's record.
#[test]
fn a_vm_without_followers_does_not_name_itself_first() {
    let old = record([vec![vm("reader", 200)], named(4)].concat(), 50);
    assert_eq!(refreshed(&old, &seen(Vec::new()), 50, true), None);
}

#[test]
fn a_grown_zone_is_rewritten_at_once() {
    let old = record(named(MAX_NAMED_VMS), 50);
    let more: Vec<VmEntry> = (1..60).map(|at| vm(&format!("vm-{at}"), 200)).collect();
    let new = refreshed(&old, &seen(more), 60, true).unwrap();
    assert_eq!(new.count, 60);
    assert_eq!(new.vms, old.vms, "those that are named and there stay");
}

/// Failure: the VM count shrinks while the VMs restart.
#[test]
fn the_vm_count_shrinks_with_a_delay() {
    let (mut count, begun) = (ZoneCount::default(), Instant::now());
    let at = |s| begun + Duration::from_secs(s);
    assert_eq!(count.stable_count(at(0), 50, 3), 50);
    assert_eq!(count.stable_count(at(20), 50, 44), 50);
    assert_eq!(
        count.stable_count(at(31), 50, 20),
        44,
        "the most that was seen"
    );
    assert_eq!(count.stable_count(at(32), 44, 50), 50);
    assert_eq!(count.stable_count(at(33), 50, 3), 50, "and anew");
}

/// Failure: more than half of the VMs that a record names are lost for good, and VMs that start later find none of the
/// running ones.
#[test]
fn lost_vms_are_replaced_in_the_record() {
    let old = record(named(MAX_NAMED_VMS), 30);
    let others: Vec<VmEntry> = (20..40).map(|at| vm(&format!("vm-{at}"), 200)).collect();
    let new = refreshed(&old, &seen(others.clone()), 30, true).unwrap();
    assert_eq!(new.vms.len(), MAX_NAMED_VMS);
    assert!(new.vms[1..].iter().all(|vm| others.contains(vm)));
}

/// Failure: after an outage the small VMs of a zone are back first, and one of them reads for fifty others.
#[test]
fn a_small_reader_hands_over_to_a_larger_vm() {
    let mut all = named(5);
    all[3].cpu_milli = 500;
    let old = record(named(3), 5);
    let new = handed_to_larger(&old, &seen(all[1..].to_vec())).unwrap();
    assert!(new.is_led_by(&"vm-3".into()));
    assert!(new.vms.iter().any(|vm| &*vm.name == "vm-0"));
    all[3].cpu_milli = 200;
    assert_eq!(handed_to_larger(&old, &seen(all[1..].to_vec())), None);
}

#[test]
fn a_vm_that_reaches_no_other_is_named_last_while_there_is_room() {
    let mut record = record(named(MAX_NAMED_VMS), 50);
    for at in 0..3 {
        record = with_unreachable_vm(&record, &vm(&format!("alone-{at}"), 500)).unwrap();
        assert!(record.is_led_by(&"vm-0".into()));
    }
    assert_eq!(with_unreachable_vm(&record, &vm("alone-3", 500)), None);
    assert_eq!(
        with_unreachable_vm(&record, &vm("alone-1", 500)),
        None,
        "it is named"
    );
}

#[test]
fn a_vm_that_the_store_answers_replaces_the_first_as_reader() {
    let old = record(named(MAX_NAMED_VMS), 50);
    let new = with_leader(&old, &old.vms[4]);
    assert!(new.is_led_by(&"vm-4".into()));
    assert_eq!(new.vms.len(), MAX_NAMED_VMS);
    assert_eq!(new.vms.iter().filter(|vm| &*vm.name == "vm-4").count(), 1);
}
