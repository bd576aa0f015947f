//! Members come, go and are replaced; drains reach everyone.

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft::decisions::membership::MemberState;
use kingcuploft::decisions::notes::LoadNote;
use kingcuploft::dispatcher::PeerNotes;
use kingcuploft_platform::{ListedVm, ObjectStore, VmState};
use kingcuploftd::fleet_state::{DrainNotice, PeerUpdate};

use crate::harness::{Bench, IN_FORCE, start_daemon, until};

/// How long a drain may take to be known everywhere.
const DRAIN: Duration = Duration::from_secs(3);

fn notice(port: u16) -> DrainNotice {
    DrainNotice {
        service: "trip".into(),
        backend_server: "trip-1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

fn drains_everywhere(bench: &Bench) {
    let known = || {
        let mut daemons = bench.daemons.iter();
        daemons.all(|daemon| daemon.shared().fleet.drains() == [notice(1)])
    };
    until(DRAIN, known, || "a VM does not know the drain".into());
}

#[test]
fn members_find_each_other_from_one_address_and_notice_who_is_gone() {
    let mut bench = Bench::start(1);
    let first = bench.peers()[0];
    for _ in 0..5 {
        bench.add_with(&format!("peers: ['{first}']"));
    }
    bench.live(6);
    let shared = bench.daemons[0].shared();
    until(
        IN_FORCE,
        || shared.fleet.membership().serving_vms() == 6,
        || "sharing".into(),
    );
    // A planned stop is told at once; nobody needs to wait for silence.
    bench.daemons.remove(3).stop();
    let told = || {
        let seen = bench.daemons.iter().map(|d| d.shared().fleet.members());
        seen.flatten()
            .all(|m| &*m.name != "entry-3" || m.state != MemberState::Live)
    };
    until(IN_FORCE, told, || {
        "the leaving VM still counts as live".into()
    });
    bench.live(5);
    bench.stop();
}

#[test]
fn a_new_vm_at_an_old_address_replaces_the_old_one() {
    // The platform gives a dead VM's address to a new one. Told the old VM's news, the peers would
    // go on counting both, and share the backend servers' connections by one too many.
    let mut bench = Bench::start(3);
    bench.live(3);
    let old = bench.daemons.remove(1);
    let address = old.peer_address().unwrap();
    old.stop();
    let peers: Vec<String> = bench.peers().iter().map(|p| format!("'{p}'")).collect();
    let peer = format!("address: '{address}', peers: [{}]", peers.join(", "));
    let new = start_daemon("entry-new", "a", &bench.platform, &peer);
    bench.daemons.push(new);
    bench.live(3);
    bench.stop();
}

#[test]
fn an_operators_drain_reaches_every_vm_while_the_store_is_down() {
    // A backend server must leave now, and the store is down. Work that still goes there after a
    // few seconds is cut when it goes.
    let bench = Bench::start(5);
    bench.in_force(bench.apply(&[("trip", 1)]));
    bench.live(5);
    bench.platform.set_down(true);
    let shared = bench.daemons[3].shared();
    shared.fleet.record_drain(shared, notice(1));
    drains_everywhere(&bench);
    bench.stop();
}

#[test]
fn a_vm_that_starts_later_knows_the_drains() {
    let mut bench = Bench::start(3);
    bench.in_force(bench.apply(&[("trip", 1)]));
    bench.live(3);
    bench.platform.set_down(true);
    let shared = bench.daemons[0].shared();
    shared.fleet.record_drain(shared, notice(1));
    drains_everywhere(&bench);
    bench.daemons.remove(0).stop();
    bench.add();
    bench.in_force(1);
    drains_everywhere(&bench);
    bench.stop();
}

#[test]
fn the_store_and_the_vm_list_tell_drains_too() {
    let bench = Bench::start(3);
    bench.in_force(bench.apply(&[("trip", 1)]));
    bench.platform.set_vms(vec![ListedVm {
        name: "trip-1".into(),
        address: "127.0.0.1:1".into(),
        availability_zone: "a".into(),
        state: VmState::Leaving,
    }]);
    drains_everywhere(&bench);
    let other = DrainNotice {
        backend_server: "trip-9".into(),
        ..notice(9)
    };
    let value = serde_json::to_string(&other).unwrap();
    let put = bench.client();
    put.put(
        "drains/trip/trip-9",
        &value,
        kingcuploft_platform::WriteCondition::Absent,
    )
    .unwrap();
    let known = || {
        let mut daemons = bench.daemons.iter();
        daemons.all(|daemon| daemon.shared().fleet.drains().contains(&other))
    };
    until(DRAIN, known, || "the store's drain is not known".into());
    bench.stop();
}

#[test]
fn a_drain_ends_when_the_backend_server_comes_back_elsewhere() {
    let bench = Bench::start(2);
    bench.in_force(bench.apply(&[("trip", 1)]));
    bench.live(2);
    let shared = bench.daemons[0].shared();
    shared.fleet.record_drain(shared, notice(1));
    drains_everywhere(&bench);
    // The same name at another address: `venue` goes first, so `trip-1` listens on port 2.
    bench.in_force(bench.apply(&[("venue", 1), ("trip", 1)]));
    let known = bench.daemons[0].shared().fleet.drains();
    assert_eq!(
        known,
        [notice(1)],
        "the notice is kept for a while, for its own address only"
    );
    let manifest = bench.daemons[0].shared().accepted.load_full();
    assert_ne!(
        manifest.manifest.services[1].backend_servers[0].address,
        notice(1).address
    );
    bench.stop();
}

#[test]
fn notes_reach_the_linked_peers_within_the_budget() {
    // Backend servers turn full and free faster than the links may carry it. What is over the
    // budget is dropped and counted; heartbeats go on, so nobody is taken for dead.
    let mut bench = Bench::start(1);
    let first = bench.peers()[0];
    bench.add_with(&format!(
        "peers: ['{first}'], budget: {{bytes_per_s: 1, burst_bytes: 20000}}"
    ));
    bench.live(2);
    let [hears, tells] = [0, 1].map(|i| bench.daemons[i].shared());
    for round in 0..400 {
        let notes = PeerNotes {
            service: "trip".into(),
            generation: 1,
            notes: vec![LoadNote {
                server: round,
                in_flight: 9,
            }],
        };
        tells.fleet.send_to_peers(tells, PeerUpdate::Notes(notes));
        std::thread::sleep(Duration::from_millis(1));
    }
    let heard = || hears.metrics.fleet.notes("received");
    let sent = || tells.metrics.fleet.notes("sent");
    until(
        IN_FORCE,
        || heard() > 0 && heard() == sent(),
        || format!("{} of {}", heard(), sent()),
    );
    assert!(tells.metrics.fleet.peer_over_budget.get() > 0);
    assert!(sent() < 400);
    bench.live(2);
    bench.stop();
}
