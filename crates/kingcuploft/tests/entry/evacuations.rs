//! Which zones get nothing, whatever the store tells in which order.

use std::time::{Duration, Instant};

use kingcuploft::entry::evacuations::{Change, Evacuations, REWRITE_GRACE};
use kingcuploft::utils::HashSet;

fn listed(zones: &[&str]) -> HashSet<std::sync::Arc<str>> {
    zones.iter().map(|zone| (*zone).into()).collect()
}

#[test]
fn a_zone_is_evacuated_from_its_entry_to_the_end_of_it_and_again() {
    let mut evacuations = Evacuations::default();
    for _ in 0..2 {
        assert_eq!(evacuations.add("a".into()), Some(Change::Begun("a".into())));
        assert_eq!(evacuations.add("a".into()), None);
        assert!(evacuations.is_evacuated("a") && !evacuations.is_evacuated("b"));
        assert_eq!(evacuations.remove("a"), Some(Change::Ended("a".into())));
        assert_eq!(evacuations.remove("a"), None);
        assert!(!evacuations.is_evacuated("a"));
    }
}

#[test]
fn a_list_begins_what_it_has_and_ends_what_it_has_not() {
    let mut evacuations = Evacuations::default();
    evacuations.add("a".into());
    let changes = evacuations.sync_with_store(Instant::now(), &listed(&["b", "c"]));
    assert_eq!(changes.len(), 3);
    assert_eq!(evacuations.zones(), ["b".into(), "c".into()]);
}

#[test]
fn a_vm_that_follows_another_believes_what_that_one_does() {
    let mut evacuations = Evacuations::default();
    evacuations.sync_with_feeder(&listed(&["a", "b"]));
    let changes = evacuations.sync_with_feeder(&listed(&["b"]));
    assert_eq!(changes, [Change::Ended("a".into())]);
}

/// Guards against work for a zone whose evacuation the store has lost, before the operator writes it again.
#[test]
fn an_evacuation_outlasts_a_store_that_comes_back_from_an_older_copy() {
    let begun = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.add("a".into());
    evacuations.store_rewound(begun);
    assert_eq!(evacuations.sync_with_store(begun, &listed(&[])), []);
    assert_eq!(evacuations.expire(begun + REWRITE_GRACE / 2), []);
    assert!(evacuations.is_evacuated("a"));
    assert_eq!(evacuations.add("a".into()), None);
    assert_eq!(evacuations.expire(begun + REWRITE_GRACE), []);
    assert_eq!(evacuations.remove("a"), Some(Change::Ended("a".into())));
}

/// Guards against a zone that stays empty for good, as the store lost an entry that nobody writes again.
#[test]
fn an_evacuation_that_is_not_written_again_ends() {
    let begun = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.add("a".into());
    evacuations.store_rewound(begun);
    evacuations.sync_with_store(begun, &listed(&[]));
    let ended = evacuations.expire(begun + REWRITE_GRACE);
    assert_eq!(ended, [Change::Ended("a".into())]);
    evacuations.add("a".into());
    let later = begun + REWRITE_GRACE + Duration::from_secs(1);
    assert_eq!(evacuations.sync_with_store(later, &listed(&[])).len(), 1);
}
