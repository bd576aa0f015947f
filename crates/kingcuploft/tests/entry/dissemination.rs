use kingcuploft::entry::dissemination::{
    Admission, FollowerLoad, MAX_DEPTH, MAX_FOLLOWERS, admit, descendants, has_cycle,
};
use kingcuploft::world::ids::VmName;

use crate::readers::vm;

fn fed(name: &str, below: u32) -> FollowerLoad {
    FollowerLoad {
        vm: vm(name, 200),
        descendants: below,
        redirected: 0,
    }
}

fn asks(comes: &str, path: &[VmName], all: &[FollowerLoad]) -> Admission {
    admit(&vm(comes, 200), &"thun".into(), path, all)
}

fn names(names: &[&str]) -> Vec<VmName> {
    names.iter().map(|name| (*name).into()).collect()
}

#[test]
fn a_vm_feeds_a_few_and_names_the_one_that_feeds_least_beyond() {
    let path = names(&["reader"]);
    let mut all: Vec<FollowerLoad> = Vec::new();
    for at in 0..MAX_FOLLOWERS {
        assert_eq!(asks("new", &path, &all), Admission::Accept);
        all.push(fed(&format!("vm-{at}"), 3));
    }
    all[4].descendants = 1;
    assert_eq!(asks("new", &path, &all), Admission::Redirect(4));
    all[4].redirected = 5;
    all[6].descendants = 2;
    assert_eq!(asks("new", &path, &all), Admission::Redirect(6));
    assert_eq!(
        descendants(&"thun".into(), &all),
        MAX_FOLLOWERS as u32 * 4 - 3
    );
}

/// A feeder loses its own and asks one of those that it feeds. Fed by it, both would tell each other old news for good.
#[test]
fn a_vm_does_not_feed_one_through_which_it_hears() {
    let path = names(&["reader", "middle", "leaf"]);
    for above in ["reader", "middle"] {
        assert_eq!(asks(above, &path, &[]), Admission::Reject);
    }
    assert!(has_cycle(&"middle".into(), &path));
    assert!(!has_cycle(&"other".into(), &path));
}

#[test]
fn news_comes_through_a_bounded_number_of_vms() {
    let path: Vec<VmName> = (0..MAX_DEPTH).map(|at| format!("vm-{at}").into()).collect();
    assert_eq!(asks("new", &path, &[]), Admission::Reject);
    assert_eq!(asks("new", &path[1..], &[]), Admission::Accept);
}

/// Guards against a zone that hears nothing as the reader of another feeds enough already.
#[test]
fn the_reader_of_another_zone_is_fed_beyond_the_few() {
    let path = names(&["reader"]);
    let mut all: Vec<FollowerLoad> = (0..MAX_FOLLOWERS)
        .map(|at| fed(&format!("vm-{at}"), 0))
        .collect();
    let mut other = vm("other-reader", 200);
    other.zone = "bern".into();
    assert_eq!(
        admit(&other, &"thun".into(), &path, &all),
        Admission::Accept
    );
    all.push(FollowerLoad {
        vm: other,
        descendants: 50,
        redirected: 0,
    });
    assert_eq!(descendants(&"thun".into(), &all), MAX_FOLLOWERS as u32);
    assert_eq!(asks("new", &path, &all), Admission::Redirect(0));
}
