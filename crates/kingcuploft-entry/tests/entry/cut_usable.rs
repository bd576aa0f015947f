//! VMs that are cut off from the servers while most servers of the service are there and get nothing, so that one or two
//! are left: cut, healed and cut again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::limit_notice::LimitNotice;
use kingcuploft::entry::notice::Notice;
use kingcuploft_entry::pauses;
use kingcuploft_entry::store::Store;
use kingcuploft_soak::cuttable::ServerCut;

use crate::cut_fleet::{CONTACT_TIME, Fleet, MIN_SERVED_SHARE};
use crate::server::Behavior;
use crate::testbed::{entry, run_test, wait_until, with_cold_starts};

/// How long a request takes at a server.
const WORK_TIME: Duration = Duration::from_millis(5);

/// How VMs are cut off.
const CUTS: [ServerCut; 2] = [ServerCut::Silent, ServerCut::Reset];

/// The servers of the service.
const SERVERS: usize = 6;

/// What the servers with a limit take, in requests a second.
const LIMIT: u32 = 1;

/// For how long the checks of a service are counted that is to come back.
const CHECKED_FOR: Duration = Duration::from_secs(1);

/// The most checks of one server in that time: one in a tenth of a second.
const MAX_CHECKS: u32 = 10;

/// Why servers that are there get nothing, or next to nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unused {
    /// Their zone is evacuated.
    Evacuated,
    /// They have asked for a pause.
    Paused,
    /// They name a limit.
    Limited,
    /// They are cold.
    Cold,
    /// They drain.
    Leaving,
}

/// Moves all servers but the first ones to an evacuated zone, and waits until all VMs know.
async fn evacuate_all_but(fleet: &Fleet, left: usize) {
    let store = &fleet.store.0;
    store.set_evacuated("bern", true);
    for (at, server) in fleet.servers.iter().enumerate().skip(left) {
        store.remove_backend_server(&format!("s{at}"));
        let mut moved = entry(at, server);
        moved.name = format!("moved{at}").into();
        moved.zone = "bern".into();
        store.write_backend_server(moved);
    }
    for vm in &fleet.vms {
        let context = &vm.context;
        wait_until(|| context.upstreams(&"trip".into()).len() == left).await;
        wait_until(|| context.all_upstreams().len() == fleet.servers.len()).await;
    }
}

fn pause_all_but(fleet: &Fleet, left: usize) {
    for vm in &fleet.vms {
        for at in left..fleet.servers.len() {
            let server = format!("s{at}").as_str().into();
            pauses::apply(&vm.context, Instant::now(), &server, 30 * CONTACT_TIME);
        }
    }
}

async fn limit_all_but(fleet: &Fleet, left: usize) {
    for (at, server) in fleet.servers.iter().enumerate().skip(left) {
        server.behavior.set(Behavior::NameLimit(LIMIT));
        let notice = Notice::Limit(LimitNotice {
            server: format!("s{at}").as_str().into(),
            per_s: LIMIT.into(),
        });
        let written = fleet.store.create_notice(&notice).await;
        written.expect("the store takes the notice");
    }
    let limited = fleet.servers.len() - left;
    for vm in &fleet.vms {
        wait_until(|| vm.context.limits.borrow().len() == limited).await;
    }
}

async fn cool_all_but(fleet: &Fleet, left: usize) {
    let store = &fleet.store.0;
    store.write_configuration(with_cold_starts(2));
    for (at, server) in fleet.servers.iter().enumerate().skip(left) {
        let mut cold = entry(at, server);
        cold.cold_for = 30 * CONTACT_TIME;
        server.cold_ms.set(cold.cold_for.as_millis() as u32);
        store.write_backend_server(cold);
    }
    let cold = fleet.servers.len() - left;
    for vm in &fleet.vms {
        wait_until(|| vm.context.limits.borrow().cold_count() == cold).await;
    }
}

async fn drain_all_but(fleet: &Fleet, left: usize) {
    for (at, server) in fleet.servers.iter().enumerate().skip(left) {
        let mut leaving = entry(at, server);
        leaving.draining = true;
        fleet.store.0.write_backend_server(leaving);
    }
    for vm in &fleet.vms {
        wait_until(|| vm.context.upstreams(&"trip".into()).len() == left).await;
    }
}

async fn leave(fleet: &Fleet, left: usize, others: Unused) {
    match others {
        Unused::Evacuated => evacuate_all_but(fleet, left).await,
        Unused::Paused => pause_all_but(fleet, left),
        Unused::Limited => limit_all_but(fleet, left).await,
        Unused::Cold => cool_all_but(fleet, left).await,
        Unused::Leaving => drain_all_but(fleet, left).await,
    }
}

/// Cuts a VM off while so many servers are left, heals the cut, and cuts the VM off again.
async fn check_cuts(left: usize, others: Unused, cut: ServerCut) {
    let fleet = Fleet::of(&["thun"; 3], &[Behavior::AnswerAfter(WORK_TIME); SERVERS]).await;
    let fleet = Rc::new(fleet);
    leave(&fleet, left, others).await;
    assert!(fleet.served_share(0, "before").await >= MIN_SERVED_SHARE);
    let case = format!("{left} left, the others {others:?}, {cut:?}");
    let served = fleet.served_while_cut(0, cut, "cut").await;
    assert!(served >= MIN_SERVED_SHARE, "{case}: {served}");
    fleet.networks[0].heal();
    tokio::time::sleep(CONTACT_TIME).await;
    let reach = &fleet.vms[0].context.reach;
    assert!(
        !reach.is_out_of_reach(&"trip".into()),
        "{case}: not back in reach"
    );
    let served = fleet.served_by_callers(0, "healed").await;
    assert!(served >= MIN_SERVED_SHARE, "{case}, healed: {served}");
    let served = fleet.served_while_cut(0, cut, "again").await;
    assert!(served >= MIN_SERVED_SHARE, "{case}, again: {served}");
    assert_eq!(fleet.run_twice(), 0);
    if others == Unused::Limited {
        let limited = fleet.vms[0].context.limits.borrow().len();
        assert_eq!(
            limited,
            SERVERS - left,
            "{case}: the limits held all the while"
        );
    }
}

async fn check_all_cuts(others: Unused, cuts: &[ServerCut]) {
    for left in [1, 2] {
        for cut in cuts {
            check_cuts(left, others, *cut).await;
        }
    }
}

/// Guards against a cut that is not noticed where all but one or two servers are in an evacuated zone.
#[test]
fn callers_of_a_vm_that_is_cut_off_while_a_zone_is_evacuated_are_served() {
    run_test(check_all_cuts(Unused::Evacuated, &CUTS));
}

/// Guards against a cut that is not noticed where all but one or two servers have asked for a pause.
#[test]
fn callers_of_a_vm_that_is_cut_off_while_servers_are_paused_are_served() {
    run_test(check_all_cuts(Unused::Paused, &CUTS));
}

/// Guards against a cut that is not noticed where all but one or two servers name a limit.
#[test]
fn callers_of_a_vm_that_is_cut_off_while_servers_name_limits_are_served() {
    run_test(check_all_cuts(Unused::Limited, &CUTS[..1]));
}

/// Guards against a cut that is not noticed where all but one or two servers are cold.
#[test]
fn callers_of_a_vm_that_is_cut_off_while_servers_are_cold_are_served() {
    run_test(check_all_cuts(Unused::Cold, &CUTS));
}

/// Guards against a cut that is not noticed where all but one or two servers drain.
#[test]
fn callers_of_a_vm_that_is_cut_off_while_servers_leave_are_served() {
    run_test(check_all_cuts(Unused::Leaving, &CUTS));
}

/// Guards against connections that are opened without a pause to the one server that is left, and against its service
/// staying out of reach.
#[test]
fn a_service_with_one_server_left_comes_back_without_connections_in_a_row() {
    run_test(async {
        let fleet = Fleet::of(&["thun"], &[Behavior::Answer; 3]).await;
        fleet.cut_and_notice(0).await;
        // No connection that hangs now is accepted later.
        fleet.cut(0, ServerCut::Reset);
        evacuate_all_but(&fleet, 1).await;
        fleet.networks[0].heal();
        let opened = || fleet.servers[0].opened_connections.get();
        let opened_before = opened();
        tokio::time::sleep(CHECKED_FOR).await;
        let checks = opened() - opened_before;
        assert!((1..=MAX_CHECKS).contains(&checks), "{checks}");
        let reach = &fleet.vms[0].context.reach;
        assert!(!reach.is_out_of_reach(&"trip".into()));
    });
}
