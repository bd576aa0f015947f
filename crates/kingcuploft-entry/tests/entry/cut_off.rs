//! VMs that are cut off from the backend servers, while callers, the store and the other VMs still reach them: what their
//! callers get, and what such a VM must not conclude.

use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft_entry::peers::load_reports;
use kingcuploft_entry::peers::peer_socket::PeerMessage;
use kingcuploft_entry::{reach, server_updates};
use kingcuploft_soak::cuttable::ServerCut;

use crate::cut_fleet::{CALLERS, CONTACT_TIME, DEADLINE, Fleet, MIN_SERVED_SHARE};
use crate::server::Behavior;
use crate::testbed::{booking, lookup, run_test, wait_until};

/// How long a request takes at a server.
const WORK_TIME: Duration = Duration::from_millis(5);

/// How long it takes at a server whose slots are to be taken.
const LONG_WORK_TIME: Duration = Duration::from_millis(20);

/// Cuts a VM among three of its zone off, and checks the first tries there from three seconds on.
async fn check_lone_vm(cut: ServerCut) {
    let behaviors = [Behavior::AnswerAfter(LONG_WORK_TIME); 4];
    let fleet = Rc::new(Fleet::of(&["thun"; 3], &behaviors).await);
    assert_eq!(fleet.served_share(0, "before").await, 1.0);
    let served = fleet.served_while_cut(0, cut, "cut").await;
    assert!(served >= MIN_SERVED_SHARE, "{cut:?}: {served}");
    assert_eq!(fleet.run_twice(), 0);
}

/// Guards against callers of a VM that are refused while only that VM's links to the servers are silent.
#[test]
fn callers_of_a_vm_whose_links_to_all_servers_are_silent_are_served() {
    run_test(check_lone_vm(ServerCut::Silent));
}

/// Guards against callers of a VM that are refused while only that VM's links to the servers are reset.
#[test]
fn callers_of_a_vm_whose_links_to_all_servers_are_reset_are_served() {
    run_test(check_lone_vm(ServerCut::Reset));
}

/// Guards against callers that are refused where open connections live on and no new one can be opened.
#[test]
fn callers_of_a_vm_to_which_servers_refuse_new_connections_are_served() {
    run_test(check_lone_vm(ServerCut::NewRefused));
}

/// Guards against callers that wait in vain where open connections live on and new ones hang.
#[test]
fn callers_of_a_vm_whose_new_connections_hang_are_served() {
    run_test(check_lone_vm(ServerCut::NewSilent));
}

/// Guards against callers of a whole zone that are refused while the VMs of another zone reach the servers.
#[test]
fn callers_of_a_zone_whose_vms_are_all_cut_off_are_served() {
    run_test(async {
        let behaviors = [Behavior::AnswerAfter(WORK_TIME); 4];
        let fleet = Fleet::of(&["thun", "thun", "bern"], &behaviors).await;
        assert_eq!(fleet.served_share(0, "before").await, 1.0);
        let cut_at = Instant::now();
        for vm in [0, 1] {
            fleet.cut(vm, ServerCut::Silent);
        }
        for vm in [0, 1] {
            fleet.served_share(vm, "soon").await;
        }
        tokio::time::sleep(CONTACT_TIME.saturating_sub(cut_at.elapsed())).await;
        for vm in [0, 1] {
            let served = fleet.served_share(vm, "cut").await;
            assert!(served >= MIN_SERVED_SHARE, "{vm}: {served}");
        }
        assert_eq!(fleet.run_twice(), 0);
    });
}

/// Guards against a VM that sends to a server which it can't reach, since another VM of the zone tells that server's load.
#[test]
fn a_load_report_of_another_vm_does_not_stand_for_a_path_to_the_server() {
    run_test(async {
        let fleet = Fleet::of(&["thun"], &[Behavior::Answer]).await;
        assert_eq!(fleet.ask(0, &lookup("before")).await.status, 200);
        fleet.cut(0, ServerCut::Silent);
        let context = &fleet.vms[0].context;
        let upstream = context.upstream("s0").unwrap();
        while !upstream.is_unresponsive(Instant::now()) {
            fleet.ask(0, &lookup("cut").replace("4000", "100")).await;
        }
        let report = PeerMessage::LoadReport {
            server: "s0".into(),
            running: 0,
            waiting: 0,
            slots: 4,
            slowness: 1.0,
            cold_ms: None,
        };
        load_reports::handle_message(context, &report, fleet.vms[0].caller_address);
        assert!(upstream.is_unresponsive(Instant::now()));
        assert_eq!(upstream.load_report(Instant::now()), None);
        fleet.networks[0].heal();
        tokio::time::sleep(CONTACT_TIME).await;
        assert_eq!(fleet.ask(0, &lookup("after")).await.status, 200);
    });
}

/// Guards against a cut that is seen where all servers are down: requests that go round among VMs.
#[test]
fn all_servers_down_is_no_cut() {
    run_test(async {
        let fleet = Fleet::of(&["thun"; 3], &[Behavior::Answer; 4]).await;
        assert_eq!(fleet.served_share(0, "before").await, 1.0);
        for server in &fleet.servers {
            server.shut_down();
        }
        tokio::time::sleep(CONTACT_TIME / 4).await;
        for at in 0..4 {
            let request = booking(&format!("down{at}")).replace("x-deadline-ms: 4000", DEADLINE);
            assert_eq!(fleet.ask(0, &request).await.status, 503);
        }
        let reach = &fleet.vms[0].context.reach;
        assert!(reach.is_out_of_reach(&"trip".into()), "the VM has asked");
        assert_eq!(fleet.relays(0), 0);
    });
}

/// Guards against a service that counts as out of reach since servers have ended one after the other, long ago or again.
#[test]
fn servers_that_end_one_after_the_other_and_leave_are_no_cut() {
    run_test(async {
        let fleet = Fleet::of(&["thun"], &[Behavior::Answer; 5]).await;
        let context = &fleet.vms[0].context;
        for (at, server) in fleet.servers.iter().take(3).enumerate() {
            let name = format!("s{at}");
            let upstream = context.upstream(&name).unwrap();
            server.shut_down();
            assert!(reach::connect(context, &upstream).await.is_err());
            server_updates::apply_removals(context, Instant::now(), vec![name.into()]);
        }
        assert!(!context.reach.is_out_of_reach(&"trip".into()));
    });
}

/// Guards against a request that all VMs refuse as one that crashes servers, since a cut reset it at several servers.
#[test]
fn connections_that_a_cut_resets_are_no_crashes_of_their_servers() {
    run_test(async {
        let fleet = Rc::new(Fleet::of(&["thun"; 2], &[Behavior::Answer; 4]).await);
        assert_eq!(fleet.served_share(0, "before").await, 1.0);
        for server in &fleet.servers {
            server.behavior.set(Behavior::AnswerAfter(CONTACT_TIME));
        }
        let asking = (0..CALLERS).map(|at| {
            let fleet = fleet.clone();
            tokio::task::spawn_local(async move { fleet.ask(0, &lookup(&format!("r{at}"))).await })
        });
        let asking: Vec<_> = asking.collect();
        wait_until(|| fleet.received("r0").len() + fleet.received("r5").len() >= 2).await;
        fleet.cut(0, ServerCut::Reset);
        for server in &fleet.servers {
            server.behavior.set(Behavior::Answer);
        }
        for asked in asking {
            asked.await.unwrap();
        }
        for vm in &fleet.vms {
            let crashed = vm.context.quarantine.borrow();
            assert!(crashed.is_empty(), "{}", vm.context.settings.vm);
        }
    });
}
