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

/// From how long after a lost answer on all VMs must know what the store holds.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How often another collection changes meanwhile.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);

/// A server that is there from the start.
const LEAVING: &str = "leaving";

/// Loses the answer to the watch that waits for the next change of a collection, which `change` makes, while `go_on`
/// changes another collection; fails if a VM does not know the change in time.
async fn check_lost_answer(
    zones: &[usize],
    lost: Collection,
    change: impl AsyncFnOnce(&mut Fleet),
    go_on: impl Fn(&Fleet, usize),
    is_known: impl Fn(&Context) -> bool,
) {
    let mut fleet = Fleet::start(zones, LINKS, 10, 1).await;
    fleet.store.0.write_backend_server(server(LEAVING));
    tokio::time::sleep(CONTACT_TIME).await;
    fleet.store.0.lose_next_change(lost);
    change(&mut fleet).await;
    let changed_at = Instant::now();
    for count in 0.. {
        if changed_at.elapsed() >= CONTACT_TIME {
            break;
        }
        go_on(&fleet, count);
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    let uninformed: Vec<usize> = (0..fleet.len())
        .filter(|at| {
            let host = fleet.network.host(*at).expect("a VM with power");
            !is_known(&host.context)
        })
        .collect();
    assert!(uninformed.is_empty(), "{lost:?}: {uninformed:?}");
}

/// Changes the entries of the backend servers.
fn add_server(fleet: &Fleet, count: usize) {
    let server = server(&format!("further{count}"));
    fleet.store.0.write_backend_server(server);
}

async fn check_lost_configuration(zones: &[usize]) {
    let change = async |fleet: &mut Fleet| fleet.change_one_route();
    let is_known = |vm: &Context| vm.active_configuration.version() == Some(2);
    check_lost_answer(
        zones,
        Collection::Configuration,
        change,
        add_server,
        is_known,
    )
    .await;
}

/// Guards against a new configuration that no VM learns for 20 s, as servers change meanwhile.
#[test]
fn a_configuration_whose_watch_got_no_answer_is_in_force_in_time() {
    simulate(check_lost_configuration(&[3, 2]));
}

/// Guards against the same at a VM that nobody follows and that asks the store less often.
#[test]
fn a_configuration_whose_watch_got_no_answer_is_in_force_in_time_at_a_lone_vm() {
    simulate(check_lost_configuration(&[1]));
}

/// Guards against requests to a server that has left, as configurations change meanwhile.
#[test]
fn a_removal_whose_watch_got_no_answer_is_known_in_time() {
    simulate(async {
        let change = async |fleet: &mut Fleet| fleet.store.0.remove_backend_server(LEAVING);
        let go_on = |fleet: &Fleet, _| fleet.rewrite_configuration();
        let is_known = |vm: &Context| !vm.with_servers(|servers| servers.takes_work(LEAVING));
        check_lost_answer(&[3, 2], Collection::BackendServers, change, go_on, is_known).await;
    });
}

/// Guards against requests to servers of a zone whose evacuation no VM learns, as servers change meanwhile.
#[test]
fn an_evacuation_whose_watch_got_no_answer_is_known_in_time() {
    simulate(async {
        let change = async |fleet: &mut Fleet| fleet.store.0.set_evacuated("zone-1", true);
        let is_known = |vm: &Context| vm.evacuations.borrow().is_evacuated("zone-1");
        check_lost_answer(
            &[3, 2],
            Collection::Evacuations,
            change,
            add_server,
            is_known,
        )
        .await;
    });
}

/// Guards against a request that goes on crashing servers, as the report of its crashes gets no further than the store.
#[test]
fn a_notice_whose_watch_got_no_answer_is_known_in_time() {
    simulate(async {
        let report = Notice::Crash(CrashReport {
            fingerprint: 7,
            of: "s1".into(),
            in_a_row: 1,
        });
        let id = report.id();
        let change = async |fleet: &mut Fleet| {
            let written = fleet.store.create_notice(&report).await;
            written.expect("the store takes the notice");
        };
        let is_known = |vm: &Context| notices::stored(vm).iter().any(|known| known.id() == id);
        check_lost_answer(&[3, 2], Collection::Notices, change, add_server, is_known).await;
    });
}
