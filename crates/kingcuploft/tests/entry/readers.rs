use std::time::{Duration, Instant};

use kingcuploft::entry::readers::{Readers, Source, VmEntry};

fn vm(name: &str, zone: &str) -> VmEntry {
    VmEntry {
        name: name.into(),
        zone: zone.into(),
        address: ([127, 0, 0, 1], 7660).into(),
        cpu_milli: 200,
    }
}

fn zone_of(count: usize) -> Vec<VmEntry> {
    let mut vms: Vec<_> = (0..count).map(|i| vm(&format!("vm-{i}"), "thun")).collect();
    vms.push(vm("other", "bern"));
    vms
}

fn sources(readers: &Readers, now: Instant, count: usize) -> Vec<Source> {
    let names = (0..count).map(|i| format!("vm-{i}").into());
    names
        .map(|name| readers.source(now, &name, &"thun".into()))
        .collect()
}

#[test]
fn one_vm_of_a_zone_reads_and_the_others_follow_it() {
    let mut readers = Readers::default();
    assert!(readers.told(zone_of(8)));
    assert!(!readers.told(zone_of(8)), "the same list is no news");
    let sources = sources(&readers, Instant::now(), 8);
    let reading = sources.iter().filter(|s| **s == Source::Store).count();
    assert_eq!(reading, 1);
    let mut followed: Vec<&VmEntry> = sources
        .iter()
        .filter_map(|source| match source {
            Source::Reader(reader) => Some(reader),
            Source::Store => None,
        })
        .collect();
    followed.dedup();
    assert_eq!(followed.len(), 1, "all follow the same one");
    assert_eq!(&*followed[0].zone, "thun");
}

/// The reader of a zone loses power. Those that followed it move on to the next one, and come back
/// to it only after a while.
#[test]
fn a_reader_that_failed_is_left_alone_for_a_while() {
    let (mut readers, now) = (Readers::default(), Instant::now());
    readers.told(zone_of(3));
    let all: Vec<Source> = sources(&readers, now, 3);
    let reader = all.iter().find_map(|s| match s {
        Source::Reader(reader) => Some(reader.clone()),
        Source::Store => None,
    });
    let reader = reader.unwrap();
    readers.failed(now, &reader.name);
    let follows = |readers: &Readers, at| {
        let all = sources(readers, at, 3);
        all.into_iter().any(|s| s == Source::Reader(reader.clone()))
    };
    assert!(!follows(&readers, now));
    assert!(follows(&readers, now + Duration::from_secs(6)));
}

/// The VMs of a zone differ in size. The smallest as a reader falls behind and is left by all.
#[test]
fn the_largest_vm_of_a_zone_reads() {
    let mut readers = Readers::default();
    let mut vms = zone_of(8);
    vms[5].cpu_milli = 500;
    readers.told(vms);
    let all = sources(&readers, Instant::now(), 8);
    assert_eq!(all[5], Source::Store);
}

#[test]
fn a_vm_that_knows_no_other_reads() {
    let readers = Readers::default();
    assert_eq!(sources(&readers, Instant::now(), 1), vec![Source::Store]);
}
