use kingcuploft::entry::dissemination::{
    Admission, FollowerLoad, MAX_DEPTH, MAX_FOLLOWERS, admit, descendants, has_cycle,
};
use kingcuploft::world::ids::VmName;

use crate::readers::vm;

fn follower(name: &str, descendant_count: u32) -> FollowerLoad {
    FollowerLoad {
        vm: vm(name, 200),
        descendants: descendant_count,
        redirected: 0,
    }
}

fn admission_of(candidate: &str, path: &[VmName], all: &[FollowerLoad]) -> Admission {
    admit(&vm(candidate, 200), &"thun".into(), path, all)
}

fn names(names: &[&str]) -> Vec<VmName> {
    names.iter().map(|name| (*name).into()).collect()
}

#[test]
fn a_vm_accepts_a_few_followers_and_redirects_others_to_the_smallest_subtree() {
    let path = names(&["reader"]);
    let mut all: Vec<FollowerLoad> = Vec::new();
    for at in 0..MAX_FOLLOWERS {
        assert_eq!(admission_of("new", &path, &all), Admission::Accept);
        all.push(follower(&format!("vm-{at}"), 3));
    }
    all[4].descendants = 1;
    assert_eq!(admission_of("new", &path, &all), Admission::Redirect(4));
    all[4].redirected = 5;
    all[6].descendants = 2;
    assert_eq!(admission_of("new", &path, &all), Admission::Redirect(6));
    assert_eq!(
        descendants(&"thun".into(), &all),
        MAX_FOLLOWERS as u32 * 4 - 3
    );
}

/// Failure: a VM loses its feeder and asks one of its own followers; fed by it, both would pass stale data to each
/// other for good.
#[test]
fn a_vm_does_not_accept_its_own_feeders_as_followers() {
    let path = names(&["reader", "middle", "leaf"]);
    for above in ["reader", "middle"] {
        assert_eq!(admission_of(above, &path, &[]), Admission::Reject);
    }
    assert!(has_cycle(&"middle".into(), &path));
    assert!(!has_cycle(&"other".into(), &path));
}

#[test]
fn the_depth_of_the_tree_is_bounded() {
    let path: Vec<VmName> = (0..MAX_DEPTH).map(|at| format!("vm-{at}").into()).collect();
    assert_eq!(admission_of("new", &path, &[]), Admission::Reject);
    assert_eq!(admission_of("new", &path[1..], &[]), Admission::Accept);
}

/// Failure: a zone gets no updates because the reader of another zone has its full number of followers.
#[test]
fn the_reader_of_another_zone_is_accepted_beyond_the_maximum() {
    let path = names(&["reader"]);
    let mut all: Vec<FollowerLoad> = (0..MAX_FOLLOWERS)
        .map(|at| follower(&format!("vm-{at}"), 0))
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
    assert_eq!(admission_of("new", &path, &all), Admission::Redirect(0));
}
