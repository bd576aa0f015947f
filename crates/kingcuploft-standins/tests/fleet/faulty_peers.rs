//! Checks daemons against faulty peers: outdated, corrupt or altered manifests, malformed bytes and silent links.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{RpcSystem, new_client};
use kingcuploft::manifest::root::{Root, RootDelta};
use kingcuploft_platform::manifest_root::SERVICES_PREFIX;
use kingcuploftd::peer_link::peer_capnp::{member, peer};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::harness::{Fleet, PROPAGATION_TIMEOUT, until};

/// The answers of a faulty peer.
#[derive(Clone)]
struct FalseAnswers {
    generation: u64,
    delta: String,
    service: String,
    /// The number of requests for a root or service objects.
    request_count: Arc<AtomicUsize>,
}

/// A faulty peer.
struct FaultyPeer {
    answers: FalseAnswers,
    address: SocketAddr,
}

impl peer::Server for FaultyPeer {
    async fn hello(
        self: Rc<Self>,
        _: peer::HelloParams,
        mut results: peer::HelloResults,
    ) -> Result<(), capnp::Error> {
        let mut member = results.get().init_self();
        member.set_name("rogue");
        member.set_zone("a");
        member.set_address(self.address.to_string());
        member.set_incarnation(1);
        member.set_state(member::State::Live);
        results
            .get()
            .init_beat()
            .set_generation(self.answers.generation);
        Ok(())
    }

    async fn beat(
        self: Rc<Self>,
        _: peer::BeatParams,
        mut results: peer::BeatResults,
    ) -> Result<(), capnp::Error> {
        results
            .get()
            .init_beat()
            .set_generation(self.answers.generation);
        Ok(())
    }

    async fn root(
        self: Rc<Self>,
        _: peer::RootParams,
        mut results: peer::RootResults,
    ) -> Result<(), capnp::Error> {
        self.answers.request_count.fetch_add(1, Ordering::Relaxed);
        results.get().set_delta(&*self.answers.delta);
        Ok(())
    }

    async fn services(
        self: Rc<Self>,
        params: peer::ServicesParams,
        mut results: peer::ServicesResults,
    ) -> Result<(), capnp::Error> {
        self.answers.request_count.fetch_add(1, Ordering::Relaxed);
        let count = params.get()?.get_hashes()?.len();
        let mut texts = results.get().init_texts(count);
        for i in 0..count {
            texts.set(i, &*self.answers.service);
        }
        Ok(())
    }
}

/// Starts a faulty peer on its own thread, which ends with the test process; returns its address.
fn start_faulty_peer(answers: FalseAnswers) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime.unwrap(), async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            while let Ok((stream, _)) = listener.accept().await {
                let (reader, writer) = stream.into_split();
                let (reader, writer) = (reader.compat(), writer.compat_write());
                let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
                let answers = answers.clone();
                let own: peer::Client = new_client(FaultyPeer { answers, address });
                let rpc = RpcSystem::new(Box::new(network), Some(own.client));
                tokio::task::spawn_local(rpc);
            }
        });
    });
    address
}

/// Builds the answers of a faulty peer: its manifest generation, root delta and service object.
fn false_answers(generation: u64, delta: String, service: &str) -> FalseAnswers {
    FalseAnswers {
        generation,
        delta,
        service: service.into(),
        request_count: Arc::default(),
    }
}

#[test]
fn a_peer_with_an_older_generation_reverts_nothing() {
    // Failure: a VM was cut off for an hour and returns with the complete manifest of that time. A VM that has just
    // started contacts it first.
    let mut fleet = Fleet::start(1);
    let old = fleet.apply(&[("trip", 1)]);
    fleet.wait_in_force(old);
    let delta = fleet.daemons[0]
        .shared()
        .manifest
        .read(|a| a.delta_since(0))
        .unwrap();
    let object = fleet.platform.keys(SERVICES_PREFIX).remove(0);
    let object = fleet.platform.object(&object).unwrap().value;
    let new = fleet.apply(&[("trip", 2)]);
    fleet.wait_in_force(new);
    let old = false_answers(old, serde_json::to_string(&delta).unwrap(), &object);
    let request_count = Arc::clone(&old.request_count);
    let address = start_faulty_peer(old);
    // The store is slow, so that the faulty peer answers first.
    let slow = Duration::from_millis(200);
    fleet.platform.change_faults(|faults| faults.delay = slow);
    let fresh = fleet.add_with(&format!("peers: ['{address}']"));
    until(
        PROPAGATION_TIMEOUT,
        || request_count.load(Ordering::Relaxed) >= 2,
        || "the peer was not asked".into(),
    );
    let seen = || fleet.generations()[fresh];
    until(
        PROPAGATION_TIMEOUT,
        || seen() != 0,
        || "nothing is in force".into(),
    );
    assert_eq!(fleet.generations(), [new, new]);
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(fleet.generations(), [new, new]);
    fleet.stop();
}

#[test]
fn a_corrupt_service_object_from_a_peer_is_rejected() {
    // Failure: the memory of a peer is damaged. It has the root of the newest manifest and sends service objects with
    // other content. The hash shows it; the store has the valid objects.
    let mut fleet = Fleet::start(1);
    let accepted = fleet.apply(&[("trip", 2)]);
    fleet.wait_in_force(accepted);
    let root = fleet.daemons[0]
        .shared()
        .manifest
        .read(|a| a.delta_since(0))
        .unwrap();
    let delta = serde_json::to_string(&root).unwrap();
    let corrupt = false_answers(accepted, delta, "{\"name\": \"trip\"}");
    let request_count = Arc::clone(&corrupt.request_count);
    fleet.platform.set_down(true);
    let address = start_faulty_peer(corrupt);
    let new = fleet.add_with(&format!("peers: ['{address}']"));
    until(
        PROPAGATION_TIMEOUT,
        || request_count.load(Ordering::Relaxed) >= 2,
        || "the peer was not asked".into(),
    );
    let faults = || {
        fleet.daemons[new]
            .shared()
            .metrics
            .fleet
            .manifest_faults
            .get()
    };
    until(
        PROPAGATION_TIMEOUT,
        || faults() > 0,
        || "no fault counted".into(),
    );
    assert_eq!(fleet.generations(), [accepted, 0]);
    assert!(!fleet.daemons[new].shared().ready());
    fleet.platform.set_down(false);
    fleet.wait_in_force(accepted);
    fleet.stop();
}

#[test]
fn an_altered_root_from_a_peer_is_rejected() {
    let mut fleet = Fleet::start(1);
    let accepted = fleet.apply(&[("trip", 1)]);
    fleet.wait_in_force(accepted);
    let root = Root {
        generation: accepted + 1,
        ..Root::default()
    };
    let mut delta = RootDelta::between(None, &root);
    delta.root.author = "bent".into();
    let delta = serde_json::to_string(&delta).unwrap();
    for delta in [delta, "{".into(), String::new()] {
        let altered = false_answers(accepted + 1, delta, "");
        let request_count = Arc::clone(&altered.request_count);
        let address = start_faulty_peer(altered);
        fleet.add_with(&format!("peers: ['{address}']"));
        until(
            PROPAGATION_TIMEOUT,
            || request_count.load(Ordering::Relaxed) > 0,
            || "the peer was not asked".into(),
        );
    }
    std::thread::sleep(Duration::from_millis(50));
    assert!(fleet.generations().iter().all(|g| *g <= accepted));
    fleet.stop();
}

#[test]
fn malformed_and_oversized_messages_on_the_peer_port_do_no_harm() {
    let fleet = Fleet::start(2);
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    fleet.wait_live(2);
    let address = fleet.peers()[0];
    let mut streams = Vec::new();
    let huge_table = [0xff_u8; 4096];
    // Headers that announce one segment of 4 GB and 2^31 segments; then HTTP, and zeros.
    let huge_segment = [0, 0, 0, 0, 0xff, 0xff, 0xff, 0x1f, 0, 0, 0, 0];
    let many_segments = [0xff, 0xff, 0xff, 0x7f, 1, 0, 0, 0];
    let garbage: [&[u8]; 5] = [
        &huge_table,
        &huge_segment,
        &many_segments,
        b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
        &[0; 65_536],
    ];
    for bytes in garbage {
        for _ in 0..8 {
            let mut stream = TcpStream::connect(address).unwrap();
            drop(stream.write_all(bytes));
            streams.push(stream);
        }
    }
    // Every connection is closed, at the latest by the timeout for the greeting.
    for mut stream in streams {
        stream.set_read_timeout(Some(PROPAGATION_TIMEOUT)).unwrap();
        let mut sink = Vec::new();
        let read = stream.read_to_end(&mut sink);
        let timed_out = read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!timed_out, "a connection without a greeting stays open");
    }
    fleet.wait_in_force(fleet.apply(&[("trip", 2)]));
    fleet.wait_live(2);
    fleet.stop();
}

#[test]
fn a_half_open_link_is_closed_and_reconnected() {
    // Failure: the machine of a peer fails without closing its connections; the link stays open, and nothing arrives.
    let mut fleet = Fleet::start(1);
    fleet.wait_in_force(fleet.apply(&[("trip", 1)]));
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    std::thread::spawn(move || {
        let mut open_streams = Vec::new();
        for stream in silent.incoming() {
            open_streams.push(stream);
            count.fetch_add(1, Ordering::Relaxed);
        }
    });
    fleet.add_with(&format!("peers: ['{address}']"));
    let reconnected = || accepted.load(Ordering::Relaxed) >= 2;
    until(Duration::from_secs(8), reconnected, || {
        "the link was not reconnected".into()
    });
    fleet.wait_in_force(fleet.apply(&[("trip", 2)]));
    fleet.stop();
}
