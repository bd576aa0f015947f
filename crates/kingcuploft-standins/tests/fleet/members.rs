//! Checks membership as VMs start, stop and are replaced, and that every VM learns of drains.

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft::decisions::membership::MemberState;
use kingcuploft::decisions::notes::LoadNote;
use kingcuploft::dispatcher::PeerNotes;
use kingcuploft_platform::{ListedVm, ObjectStore, VmState};
use kingcuploftd::fleet_state::{DrainNotice, PeerUpdate};

use crate::harness::{Fleet, PROPAGATION_TIMEOUT, start_daemon, until};

/// The time limit for a drain to reach every daemon.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// A notice that `trip-1` drains, at this port.
fn notice(port: u16) -> DrainNotice {
    DrainNotice {
        service: "trip".into(),
        backend_server: "trip-1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

/// Waits until every daemon knows exactly the drain of [`notice`] with port 1.
fn wait_drained(fleet: &Fleet) {
    let known = || {
        let mut daemons = fleet.daemons.iter();
        daemons.all(|daemon| daemon.shared().fleet.drains() == [notice(1)])
    };
    until(DRAIN_TIMEOUT, known, || {
        "a VM does not know the drain".into()
    });
}

#[test]
fn members_find_each_other_from_one_address_and_remove_a_stopped_vm() {
    let mut fleet = Fleet::start(1);
    let first = fleet.peers()[0];
    for _ in 0..5 {
        fleet.add_with(&format!("peers: ['{first}']"));
    }
    fleet.wait_live(6);
    let shared = fleet.daemons[0].shared();
    until(
        PROPAGATION_TIMEOUT,
        || shared.fleet.membership().serving_vms() == 6,
        || "sharing".into(),
    );
    // A planned stop is announced at once; no peer has to wait for the failure detector.
    fleet.daemons.remove(3).stop();
    let removed = || {
        let seen = fleet.daemons.iter().map(|d| d.shared().fleet.members());
        seen.flatten()
            .all(|m| &*m.name != "entry-3" || m.state != MemberState::Live)
    };
    until(PROPAGATION_TIMEOUT, removed, || {
        "the leaving VM still counts as live".into()
    });
    fleet.wait_live(5);
    fleet.stop();
}

#[test]
fn a_new_vm_at_an_old_address_replaces_the_old_one() {
    // Failure: the platform gives the address of a stopped VM to a new one. If peers went on counting both, they would
    // divide the connections of the backend servers among one VM too many.
    let mut fleet = Fleet::start(3);
    fleet.wait_live(3);
    let old = fleet.daemons.remove(1);
    let address = old.peer_address().unwrap();
    old.stop();
    let peers: Vec<String> = fleet.peers().iter().map(|p| format!("'{p}'")).collect();
    let peer = format!("address: '{address}', peers: [{}]", peers.join(", "));
    let new = start_daemon("entry-new", "a", &fleet.platform, &peer);
    fleet.daemons.push(new);
    fleet.wait_live(3);
    fleet.stop();
}

#[test]
fn an_operators_drain_reaches_every_vm_while_the_store_is_down() {
    // Failure: a backend server has to stop soon while the store is down. Requests that are still sent to it after a
    // few seconds are cut off when it stops.
    let fleet = Fleet::start(5);
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    fleet.wait_live(5);
    fleet.platform.set_down(true);
    let shared = fleet.daemons[3].shared();
    shared.fleet.record_drain(shared, notice(1));
    wait_drained(&fleet);
    fleet.stop();
}

#[test]
fn a_vm_that_starts_later_learns_the_drains() {
    let mut fleet = Fleet::start(3);
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    fleet.wait_live(3);
    fleet.platform.set_down(true);
    let shared = fleet.daemons[0].shared();
    shared.fleet.record_drain(shared, notice(1));
    wait_drained(&fleet);
    fleet.daemons.remove(0).stop();
    fleet.add();
    fleet.wait_in_force(1);
    wait_drained(&fleet);
    fleet.stop();
}

#[test]
fn drains_are_also_read_from_the_store_and_the_vm_list() {
    let fleet = Fleet::start(3);
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    fleet.platform.set_vms(vec![ListedVm {
        name: "trip-1".into(),
        address: "127.0.0.1:1".into(),
        availability_zone: "a".into(),
        state: VmState::Leaving,
    }]);
    wait_drained(&fleet);
    let other = DrainNotice {
        backend_server: "trip-9".into(),
        ..notice(9)
    };
    let value = serde_json::to_string(&other).unwrap();
    let client = fleet.client();
    client
        .put(
            "drains/trip/trip-9",
            &value,
            kingcuploft_platform::WriteCondition::Absent,
        )
        .unwrap();
    let known = || {
        let mut daemons = fleet.daemons.iter();
        daemons.all(|daemon| daemon.shared().fleet.drains().contains(&other))
    };
    until(DRAIN_TIMEOUT, known, || {
        "the store's drain is not known".into()
    });
    fleet.stop();
}

#[test]
fn a_drain_ends_when_the_backend_server_comes_back_elsewhere() {
    let fleet = Fleet::start(2);
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    fleet.wait_live(2);
    let shared = fleet.daemons[0].shared();
    shared.fleet.record_drain(shared, notice(1));
    wait_drained(&fleet);
    // The same name at another address: `venue` comes first, so `trip-1` has port 2.
    fleet.wait_in_force(fleet.apply(&[("venue", 1), ("trip", 1)]));
    let known = fleet.daemons[0].shared().fleet.drains();
    assert_eq!(
        known,
        [notice(1)],
        "the notice is kept for a while, for its own address only"
    );
    let manifest = fleet.daemons[0].shared().accepted.load_full();
    assert_ne!(
        manifest.manifest.services[1].backend_servers[0].address,
        notice(1).address
    );
    fleet.stop();
}

#[test]
fn load_notes_reach_linked_peers_within_the_byte_budget() {
    // Failure: backend servers become full and free again faster than the byte budget of the links allows to report.
    // Notes over the budget are dropped and counted; heartbeats continue, so that no VM is taken for failed.
    let mut fleet = Fleet::start(1);
    let first = fleet.peers()[0];
    fleet.add_with(&format!(
        "peers: ['{first}'], budget: {{bytes_per_s: 1, burst_bytes: 20000}}"
    ));
    fleet.wait_live(2);
    let [receiver, sender] = [0, 1].map(|i| fleet.daemons[i].shared());
    for round in 0..400 {
        let notes = PeerNotes {
            service: "trip".into(),
            generation: 1,
            notes: vec![LoadNote {
                server: round,
                in_flight: 9,
            }],
        };
        sender.fleet.send_to_peers(sender, PeerUpdate::Notes(notes));
        std::thread::sleep(Duration::from_millis(1));
    }
    let received = || receiver.metrics.fleet.notes("received");
    let sent = || sender.metrics.fleet.notes("sent");
    until(
        PROPAGATION_TIMEOUT,
        || received() > 0 && received() == sent(),
        || format!("{} of {}", received(), sent()),
    );
    assert!(sender.metrics.fleet.peer_over_budget.get() > 0);
    assert!(sent() < 400);
    fleet.wait_live(2);
    fleet.stop();
}
