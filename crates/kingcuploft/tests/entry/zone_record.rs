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

/// What `vm-0` sees, which these follow.
fn seen(followers: Vec<VmEntry>) -> ZoneView {
    let below = followers.len() as u32;
    ZoneView {
        own: vm("vm-0", 200),
        followers,
        descendants: below,
    }
}

/// Guards against a call to the store for each VM that restarts.
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
fn a_new_reader_that_is_followed_names_itself_first() {
    let old = record([vec![vm("gone", 200)], named(4)].concat(), 6);
    let new = refreshed(&old, &seen(named(4)[1..].to_vec()), 6, true).unwrap();
    assert!(new.is_led_by(&"vm-0".into()));
    assert!(new.version > old.version);
    assert_eq!(new.count, 6);
    let last = new.vms.last().unwrap();
    assert_eq!(&*last.name, "gone", "it may come back, and there is room");
}

/// Guards against two VMs that write themselves into a zone's record by turns.
#[test]
fn a_vm_that_nobody_follows_does_not_name_itself_first() {
    let old = record([vec![vm("reader", 200)], named(4)].concat(), 50);
    assert_eq!(refreshed(&old, &seen(Vec::new()), 50, true), None);
}

#[test]
fn a_zone_that_has_grown_is_written_at_once() {
    let old = record(named(MAX_NAMED_VMS), 50);
    let more: Vec<VmEntry> = (1..60).map(|at| vm(&format!("vm-{at}"), 200)).collect();
    let new = refreshed(&old, &seen(more), 60, true).unwrap();
    assert_eq!(new.count, 60);
    assert_eq!(new.vms, old.vms, "those that are named and there stay");
}

/// Guards against a count of VMs that shrinks while they restart.
#[test]
fn a_zone_shrinks_late() {
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

/// More than half of the VMs that a record names are lost for good. Who starts later must find one of those that run.
#[test]
fn lost_vms_are_named_no_more() {
    let old = record(named(MAX_NAMED_VMS), 30);
    let others: Vec<VmEntry> = (20..40).map(|at| vm(&format!("vm-{at}"), 200)).collect();
    let new = refreshed(&old, &seen(others.clone()), 30, true).unwrap();
    assert_eq!(new.vms.len(), MAX_NAMED_VMS);
    assert!(new.vms[1..].iter().all(|vm| others.contains(vm)));
}

/// After an outage the small VMs of a zone are back first, and one of them reads for fifty others.
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
fn a_vm_that_reaches_nobody_is_named_last_while_there_is_room() {
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
fn the_vm_that_the_store_answers_reads_in_place_of_the_first() {
    let old = record(named(MAX_NAMED_VMS), 50);
    let new = with_leader(&old, &old.vms[4]);
    assert!(new.is_led_by(&"vm-4".into()));
    assert_eq!(new.vms.len(), MAX_NAMED_VMS);
    assert_eq!(new.vms.iter().filter(|vm| &*vm.name == "vm-4").count(), 1);
}
