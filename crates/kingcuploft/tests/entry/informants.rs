use std::time::{Duration, Instant};

use kingcuploft::entry::informants::{Informants, NextInformant};
use kingcuploft::entry::readers::Readers;
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::entry::zone_record::ZoneRecord;

const MS: Duration = Duration::from_millis(1);

fn vm(zone: &str, name: &str) -> VmEntry {
    VmEntry {
        name: name.into(),
        zone: zone.into(),
        address: ([127, 0, 0, 1], 7660).into(),
        cpu_milli: 200,
    }
}

fn readers(zones: &[(&str, &[&str])]) -> Readers {
    let mut readers = Readers::default();
    let records = zones.iter().map(|(zone, names)| ZoneRecord {
        zone: (*zone).into(),
        version: 1,
        vms: names.iter().map(|name| vm(zone, name)).collect(),
        count: 50,
        settled: true,
    });
    readers.update(records.collect());
    readers
}

/// Returns the names of the VMs that are asked until there is a pause, and its end.
fn round(informants: &mut Informants, now: Instant, readers: &Readers) -> (Vec<String>, Instant) {
    let mut asked = Vec::new();
    loop {
        match informants.next(now, &vm("a", "own"), readers) {
            NextInformant::Ask(vm) => asked.push(vm.name.to_string()),
            NextInformant::WaitUntil(until) => return (asked, until),
        }
    }
}

/// Guards against VMs that came back and ask only the first of their zone, which came back too.
#[test]
fn each_vm_of_the_zone_s_record_is_asked_but_not_the_own_one() {
    let readers = readers(&[("a", &["first", "own", "third", "fourth"])]);
    let (asked, _) = round(&mut Informants::default(), Instant::now(), &readers);
    assert_eq!(asked, ["first", "third", "fourth"]);
}

/// Guards against a zone whose VMs are all back and know nothing, while those of other zones know all.
#[test]
fn all_vms_of_other_zones_are_asked_over_some_rounds() {
    let readers = readers(&[
        ("a", &["own"]),
        ("b", &["b1", "b2"]),
        ("c", &["c1", "c2", "c3"]),
    ]);
    let mut informants = Informants::default();
    let now = Instant::now();
    let (first, until) = round(&mut informants, now, &readers);
    assert_eq!(first, ["b1", "b2", "c1"]);
    let (second, _) = round(&mut informants, until, &readers);
    assert_eq!(second, ["c2", "c3", "b1"]);
}

/// Guards against a VM that waits for its next round though one that knows all has just called.
#[test]
fn a_vm_that_says_that_it_knows_all_is_asked_at_once() {
    let readers = readers(&[("a", &["first", "own"])]);
    let mut informants = Informants::default();
    let now = Instant::now();
    let (_, until) = round(&mut informants, now, &readers);
    assert!(until > now + MS);
    informants.record_informed(vm("a", "fifth"));
    let (asked, _) = round(&mut informants, now + MS, &readers);
    assert_eq!(asked, ["fifth"]);
}

/// Guards against hundreds of VMs that ask the few that are named all the time, though none of them knows anything.
#[test]
fn rounds_become_rarer_and_go_on() {
    let readers = readers(&[("a", &["first", "own"])]);
    let mut informants = Informants::default();
    let start = Instant::now();
    let mut now = start;
    let mut rounds = 0;
    while now < start + Duration::from_secs(60) {
        let (asked, until) = round(&mut informants, now, &readers);
        assert_eq!(asked, ["first"]);
        now = until;
        rounds += 1;
    }
    assert!((20..40).contains(&rounds), "{rounds}");
}

/// Guards against a loop without a pause on a VM that knows no other.
#[test]
fn a_vm_that_knows_no_other_waits() {
    let now = Instant::now();
    let (asked, until) = round(&mut Informants::default(), now, &Readers::default());
    assert!(asked.is_empty());
    assert!(until >= now + 100 * MS);
}
