//! Evacuated zones stay evacuated through lists, feeders and restored stores.

use std::time::{Duration, Instant};

use kingcuploft::entry::evacuations::{Change, Evacuations, REWRITE_GRACE};
use kingcuploft::utils::HashSet;

fn listed(zones: &[&str]) -> HashSet<std::sync::Arc<str>> {
    zones.iter().map(|zone| (*zone).into()).collect()
}

#[test]
fn a_zone_is_evacuated_while_its_entry_exists_and_can_be_evacuated_again() {
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
fn a_full_list_evacuates_the_listed_zones_and_ends_all_others() {
    let mut evacuations = Evacuations::default();
    evacuations.add("a".into());
    let changes = evacuations.sync_with_store(Instant::now(), &listed(&["b", "c"]));
    assert_eq!(changes.len(), 3);
    assert_eq!(evacuations.zones(), ["b".into(), "c".into()]);
}

#[test]
fn a_follower_takes_over_the_evacuations_of_its_feeder() {
    let mut evacuations = Evacuations::default();
    evacuations.sync_with_feeder(&listed(&["a", "b"]));
    let changes = evacuations.sync_with_feeder(&listed(&["b"]));
    assert_eq!(changes, [Change::Ended("a".into())]);
}

/// Failure: the store loses the entry of an evacuated zone, and its servers get requests before the operator writes it
/// again.
#[test]
fn an_evacuation_survives_a_store_restored_from_an_older_copy() {
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

/// Failure: a zone stays evacuated for good because the store lost its entry and nobody writes it again.
#[test]
fn an_evacuation_ends_if_its_entry_is_not_rewritten() {
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
