use std::time::{Duration, Instant};

use kingcuploft::entry::readers::{Readers, Source};
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::ZoneRecord;

pub(crate) fn vm(name: &str, cpu_milli: u32) -> VmEntry {
    VmEntry {
        name: name.into(),
        zone: "thun".into(),
        address: ([127, 0, 0, 1], 7660).into(),
        cpu_milli,
    }
}

fn record(version: u64, names: &[&str]) -> ZoneRecord {
    ZoneRecord {
        zone: "thun".into(),
        version,
        vms: names.iter().map(|name| vm(name, 200)).collect(),
        count: 50,
        settled: true,
    }
}

fn readers() -> Readers {
    let mut readers = Readers::default();
    assert_eq!(
        readers.update(vec![record(3, &["first", "second"])]).len(),
        1
    );
    readers
}

fn source(readers: &Readers, now: Instant, own: &str) -> Source {
    readers.source(now, &own.into(), &"thun".into(), &[])
}

#[test]
fn one_vm_of_a_zone_reads_and_the_others_follow_it() {
    let (readers, now) = (readers(), Instant::now());
    assert_eq!(source(&readers, now, "first"), Source::Store);
    for own in ["second", "one of fifty"] {
        let first = Source::Reader(vm("first", 200));
        assert_eq!(source(&readers, now, own), first);
    }
}

/// Failure: the first VM of a zone's record has lost power, and the zone has no reader.
#[test]
fn a_reader_that_failed_is_avoided_for_a_while() {
    let (mut readers, now) = (readers(), Instant::now());
    readers.record_failure(now, &"first".into());
    assert_eq!(source(&readers, now, "second"), Source::Store);
    let second = Source::Reader(vm("second", 200));
    assert_eq!(source(&readers, now, "third"), second);
    let later = now + Duration::from_secs(6);
    let first = Source::Reader(vm("first", 200));
    assert_eq!(source(&readers, later, "third"), first);
    readers.record_failure(later, &"first".into());
    readers.record_answer(&"first".into());
    assert_eq!(source(&readers, later, "third"), first);
}

/// Failure: a VM that is cut off considers itself its zone's reader.
#[test]
fn a_vm_that_reaches_no_other_reads_only_for_itself() {
    let (mut readers, now) = (readers(), Instant::now());
    readers.record_failure(now, &"first".into());
    readers.record_failure(now, &"second".into());
    assert_eq!(source(&readers, now, "third"), Source::StoreAlone);
}

#[test]
fn a_vm_of_a_zone_without_a_record_reads() {
    let readers = Readers::default();
    assert_eq!(source(&readers, Instant::now(), "first"), Source::Store);
}

/// Failure: an old record reinstates a reader that is gone.
#[test]
fn an_older_record_is_ignored() {
    let mut readers = readers();
    assert_eq!(readers.update(vec![record(2, &["gone"])]), vec![]);
    let other = readers.update(vec![record(3, &["other"])]);
    assert_eq!(other, vec![], "the first of two that are as new stays");
    assert_eq!(readers.update(vec![record(4, &["second"])]).len(), 1);
    let kept = readers.record(&"thun".into()).unwrap();
    assert!(kept.is_led_by(&"second".into()));
}

/// Failure: VMs that start together see few of each other at first, and divide common limits by too small a number.
#[test]
fn vms_are_counted_once_every_known_zone_is_settled() {
    let mut readers = readers();
    assert_eq!(readers.vm_count(), Some(50));
    let begun = ZoneRecord {
        zone: "bern".into(),
        settled: false,
        ..record(1, &["new"])
    };
    readers.update(vec![begun.clone()]);
    assert_eq!(readers.vm_count(), None);
    readers.update(vec![ZoneRecord {
        version: 2,
        count: 7,
        settled: true,
        ..begun
    }]);
    assert_eq!(readers.vm_count(), Some(57));
}

fn zones() -> Readers {
    let mut readers = readers();
    for (zone, cpu_milli) in [("bern", 500), ("basel", 500), ("far", 900)] {
        readers.update(vec![ZoneRecord {
            zone: zone.into(),
            vms: ["reads", "second"]
                .map(|name| vm(&format!("{zone}-{name}"), cpu_milli))
                .into(),
            ..record(1, &[])
        }]);
    }
    readers
}

fn name_of(source: Source) -> String {
    match source {
        Source::Reader(vm) => vm.name.to_string(),
        other => format!("{other:?}"),
    }
}

/// Failure: every zone of a region watches the store, which costs a call per zone for each change.
#[test]
fn the_readers_of_a_region_follow_one_of_them() {
    let (mut readers, now) = (zones(), Instant::now());
    let region = ["thun", "bern", "basel"].map(|zone| zone.into());
    let source = |readers: &Readers, own: &str, zone: &str| {
        name_of(readers.source(now, &own.into(), &zone.into(), &region))
    };
    assert_eq!(source(&readers, "basel-reads", "basel"), "Store");
    assert_eq!(source(&readers, "bern-reads", "bern"), "basel-reads");
    assert_eq!(source(&readers, "first", "thun"), "basel-reads");
    assert_eq!(
        source(&readers, "other", "thun"),
        "first",
        "not over its zone's reader"
    );
    readers.record_failure(now, &"basel-reads".into());
    assert_eq!(source(&readers, "first", "thun"), "basel-second");
    assert_eq!(source(&readers, "bern-reads", "bern"), "basel-second");
    assert_eq!(source(&readers, "basel-second", "basel"), "Store");
    readers.record_failure(now, &"basel-second".into());
    assert_eq!(
        source(&readers, "first", "thun"),
        "bern-reads",
        "the next zone"
    );
    assert_eq!(source(&readers, "bern-reads", "bern"), "Store");
}
