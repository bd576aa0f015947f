//! Answers of the store to single watches that are lost while it answers all other calls.

use std::time::Duration;

use kingcuploft::entry::crash_report::CrashReport;
use kingcuploft::entry::notice::Notice;
use kingcuploft_entry::context::Context;
use kingcuploft_entry::notices;
use kingcuploft_entry::store::{Collection, Store};
use tokio::time::Instant;

use crate::fleet::{Fleet, Links, server, simulate};

const LINKS: Links = Links {
    large_mbit: 200,
    small_mbit: 20,
};

/// A VM that reads the store and VMs that it feeds, in two zones.
const READER_AND_FED: [usize; 2] = [3, 2];

/// From how long after a lost answer on all VMs must know what the store holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How often another collection changes meanwhile.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);

/// A server that is there from the start.
const LEAVING: &str = "leaving";

/// The zone whose evacuation begins.
const EVACUATED: &str = "zone-1";

fn crash(fingerprint: u64) -> Notice {
    Notice::Crash(CrashReport {
        fingerprint,
        of: "s1".into(),
        in_a_row: 1,
    })
}

async fn write_notice(fleet: &Fleet, notice: &Notice) {
    let written = fleet.store.create_notice(notice).await;
    written.expect("the store takes the notice");
}

/// Makes the change of a collection that the VMs must learn.
async fn change(fleet: &mut Fleet, collection: Collection) {
    match collection {
        Collection::Configuration => fleet.change_one_route(),
        Collection::BackendServers => fleet.store.0.remove_backend_server(LEAVING),
        Collection::Notices => write_notice(fleet, &crash(0)).await,
        Collection::Evacuations => fleet.store.0.set_evacuated(EVACUATED, true),
        Collection::Zones => panic!("no VM watches the zones"),
    }
}

/// Returns whether a VM knows that change.
fn is_known(vm: &Context, collection: Collection) -> bool {
    match collection {
        Collection::Configuration => vm.active_configuration.version() == Some(2),
        Collection::BackendServers => !vm.with_servers(|servers| servers.takes_work(LEAVING)),
        Collection::Notices => notices::stored(vm).contains(&crash(0)),
        Collection::Evacuations => vm.evacuations.borrow().is_evacuated(EVACUATED),
        Collection::Zones => panic!("no VM watches the zones"),
    }
}

/// Changes a collection in another way, for the `count`th time.
async fn go_on(fleet: &Fleet, collection: Collection, count: u64) {
    let store = &fleet.store.0;
    match collection {
        Collection::Configuration => fleet.rewrite_configuration(),
        Collection::BackendServers => store.write_backend_server(server(&format!("s{count}"))),
        Collection::Notices => write_notice(fleet, &crash(count + 1)).await,
        Collection::Evacuations => store.set_evacuated("zone-9", count.is_multiple_of(2)),
        Collection::Zones => store.advance_revision(1),
    }
}

/// Loses the answer to the watch that waits for the next change of one collection while others go on changing; fails if
/// a VM does not know the change in time.
async fn check_lost_answer(zones: &[usize], lost: Collection, others: &[Collection]) {
    let mut fleet = Fleet::start(zones, LINKS, 10, 1).await;
    fleet.store.0.write_backend_server(server(LEAVING));
    tokio::time::sleep(CONTACT_TIME).await;
    fleet.store.0.lost_answers.lose_next(lost);
    change(&mut fleet, lost).await;
    let changed_at = Instant::now();
    for count in 0.. {
        if changed_at.elapsed() >= CONTACT_TIME {
            break;
        }
        for other in others {
            go_on(&fleet, *other, count).await;
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    let uninformed = (0..fleet.len()).filter(|at| {
        let host = fleet.network.host(*at).expect("a VM with power");
        !is_known(&host.context, lost)
    });
    let uninformed: Vec<usize> = uninformed.collect();
    assert!(
        uninformed.is_empty(),
        "{lost:?} while {others:?} change: {uninformed:?}"
    );
}

/// Guards against a new configuration that no VM learns for 20 s, as servers change meanwhile.
#[test]
fn a_configuration_whose_watch_got_no_answer_is_in_force_in_time() {
    let others = [Collection::BackendServers];
    simulate(check_lost_answer(
        &READER_AND_FED,
        Collection::Configuration,
        &others,
    ));
}

/// Guards against the same at a VM that nobody follows and that asks the store less often.
#[test]
fn a_configuration_whose_watch_got_no_answer_is_in_force_in_time_at_a_lone_vm() {
    let others = [Collection::BackendServers];
    simulate(check_lost_answer(&[1], Collection::Configuration, &others));
}

/// Guards against requests to a server that has left, as configurations change meanwhile.
#[test]
fn a_removal_whose_watch_got_no_answer_is_known_in_time() {
    let others = [Collection::Configuration];
    simulate(check_lost_answer(
        &READER_AND_FED,
        Collection::BackendServers,
        &others,
    ));
}

/// Guards against requests to servers of a zone whose evacuation no VM learns, as servers change meanwhile.
#[test]
fn an_evacuation_whose_watch_got_no_answer_is_known_in_time() {
    let others = [Collection::BackendServers];
    simulate(check_lost_answer(
        &READER_AND_FED,
        Collection::Evacuations,
        &others,
    ));
}

/// Guards against a request that goes on crashing servers, as the report of its crashes gets no further than the store.
#[test]
fn a_notice_whose_watch_got_no_answer_is_known_in_time() {
    let others = [Collection::BackendServers];
    simulate(check_lost_answer(
        &READER_AND_FED,
        Collection::Notices,
        &others,
    ));
}

/// Guards against a collection that hides another one's lost answer, at the VM that reads the store, at those that it
/// feeds, and at a lone VM.
#[test]
fn each_collection_notices_its_own_lost_answer_whatever_changes_in_the_others() {
    for lost in Collection::WATCHED {
        let mut others = Collection::WATCHED.to_vec();
        others.push(Collection::Zones);
        others.retain(|other| *other != lost);
        let mut cases: Vec<&[Collection]> = others.chunks(1).collect();
        cases.extend([&[][..], &others]);
        for zones in [&READER_AND_FED[..], &[1]] {
            for others in &cases {
                simulate(check_lost_answer(zones, lost, others));
            }
        }
    }
}
