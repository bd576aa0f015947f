//! Peers that lie, and bytes that are no peer's.

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

use crate::harness::{Bench, IN_FORCE, until};

/// What a rogue peer says.
#[derive(Clone)]
struct Lies {
    generation: u64,
    delta: String,
    service: String,
    asked: Arc<AtomicUsize>,
}

struct Rogue {
    lies: Lies,
    address: SocketAddr,
}

impl peer::Server for Rogue {
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
            .set_generation(self.lies.generation);
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
            .set_generation(self.lies.generation);
        Ok(())
    }

    async fn root(
        self: Rc<Self>,
        _: peer::RootParams,
        mut results: peer::RootResults,
    ) -> Result<(), capnp::Error> {
        self.lies.asked.fetch_add(1, Ordering::Relaxed);
        results.get().set_delta(&*self.lies.delta);
        Ok(())
    }

    async fn services(
        self: Rc<Self>,
        params: peer::ServicesParams,
        mut results: peer::ServicesResults,
    ) -> Result<(), capnp::Error> {
        self.lies.asked.fetch_add(1, Ordering::Relaxed);
        let count = params.get()?.get_hashes()?.len();
        let mut texts = results.get().init_texts(count);
        for i in 0..count {
            texts.set(i, &*self.lies.service);
        }
        Ok(())
    }
}

/// Starts a rogue peer on a thread of its own; it ends with the test process.
fn rogue(lies: Lies) -> SocketAddr {
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
                let lies = lies.clone();
                let own: peer::Client = new_client(Rogue { lies, address });
                let rpc = RpcSystem::new(Box::new(network), Some(own.client));
                tokio::task::spawn_local(rpc);
            }
        });
    });
    address
}

fn lies(generation: u64, delta: String, service: &str) -> Lies {
    Lies {
        generation,
        delta,
        service: service.into(),
        asked: Arc::default(),
    }
}

#[test]
fn a_peer_with_an_older_generation_reverts_nothing() {
    // A VM was cut off for an hour and comes back with the manifest of then, whole. It is the first
    // that a VM which just started hears.
    let mut bench = Bench::start(1);
    let old = bench.apply(&[("trip", 1)]);
    bench.in_force(old);
    let delta = bench.daemons[0]
        .shared()
        .manifest
        .read(|a| a.delta_since(0))
        .unwrap();
    let object = bench.platform.keys(SERVICES_PREFIX).remove(0);
    let object = bench.platform.object(&object).unwrap().value;
    let new = bench.apply(&[("trip", 2)]);
    bench.in_force(new);
    let old = lies(old, serde_json::to_string(&delta).unwrap(), &object);
    let asked = Arc::clone(&old.asked);
    let address = rogue(old);
    // The store is slow, so that the rogue is heard first.
    let slow = Duration::from_millis(200);
    bench.platform.change_faults(|faults| faults.delay = slow);
    let fresh = bench.add_with(&format!("peers: ['{address}']"));
    until(
        IN_FORCE,
        || asked.load(Ordering::Relaxed) >= 2,
        || "not asked".into(),
    );
    let seen = || bench.generations()[fresh];
    until(IN_FORCE, || seen() != 0, || "nothing is in force".into());
    assert_eq!(bench.generations(), [new, new]);
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(bench.generations(), [new, new]);
    bench.stop();
}

#[test]
fn a_peer_with_a_corrupt_service_object_is_not_believed() {
    // A peer's memory is damaged: it has the root of the newest manifest, and hands out service
    // objects whose content is another. The hash tells; the store has the true ones.
    let mut bench = Bench::start(1);
    let accepted = bench.apply(&[("trip", 2)]);
    bench.in_force(accepted);
    let root = bench.daemons[0]
        .shared()
        .manifest
        .read(|a| a.delta_since(0))
        .unwrap();
    let delta = serde_json::to_string(&root).unwrap();
    let corrupt = lies(accepted, delta, "{\"name\": \"trip\"}");
    let asked = Arc::clone(&corrupt.asked);
    bench.platform.set_down(true);
    let address = rogue(corrupt);
    let new = bench.add_with(&format!("peers: ['{address}']"));
    until(
        IN_FORCE,
        || asked.load(Ordering::Relaxed) >= 2,
        || "not asked".into(),
    );
    let faults = || {
        bench.daemons[new]
            .shared()
            .metrics
            .fleet
            .manifest_faults
            .get()
    };
    until(IN_FORCE, || faults() > 0, || "no fault counted".into());
    assert_eq!(bench.generations(), [accepted, 0]);
    assert!(!bench.daemons[new].shared().ready());
    bench.platform.set_down(false);
    bench.in_force(accepted);
    bench.stop();
}

#[test]
fn a_peer_that_bends_the_root_is_not_believed() {
    let mut bench = Bench::start(1);
    let accepted = bench.apply(&[("trip", 1)]);
    bench.in_force(accepted);
    let root = Root {
        generation: accepted + 1,
        ..Root::default()
    };
    let mut delta = RootDelta::between(None, &root);
    delta.root.author = "bent".into();
    let delta = serde_json::to_string(&delta).unwrap();
    for delta in [delta, "{".into(), String::new()] {
        let bent = lies(accepted + 1, delta, "");
        let asked = Arc::clone(&bent.asked);
        let address = rogue(bent);
        bench.add_with(&format!("peers: ['{address}']"));
        until(
            IN_FORCE,
            || asked.load(Ordering::Relaxed) > 0,
            || "not asked".into(),
        );
    }
    std::thread::sleep(Duration::from_millis(50));
    assert!(bench.generations().iter().all(|g| *g <= accepted));
    bench.stop();
}

#[test]
fn garbage_and_oversized_messages_on_the_port_harm_nothing() {
    let bench = Bench::start(2);
    bench.in_force(bench.apply(&[("trip", 1)]));
    bench.live(2);
    let address = bench.peers()[0];
    let mut streams = Vec::new();
    let huge_table = [0xff_u8; 4096];
    // One segment of 4 GB, announced; then 2^31 segments; then HTTP; then zeros.
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
    // Every one of them is cut, at the latest when no greeting has come.
    for mut stream in streams {
        stream.set_read_timeout(Some(IN_FORCE)).unwrap();
        let mut sink = Vec::new();
        let read = stream.read_to_end(&mut sink);
        let timed_out = read.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!timed_out, "a connection without a greeting stays open");
    }
    bench.in_force(bench.apply(&[("trip", 2)]));
    bench.live(2);
    bench.stop();
}

#[test]
fn a_half_open_link_is_cut_and_dialled_anew() {
    // A peer's machine dies without a word: the connection stays open and nothing comes any more.
    let mut bench = Bench::start(1);
    bench.in_force(bench.apply(&[("trip", 1)]));
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for stream in silent.incoming() {
            held.push(stream);
            count.fetch_add(1, Ordering::Relaxed);
        }
    });
    bench.add_with(&format!("peers: ['{address}']"));
    let again = || accepted.load(Ordering::Relaxed) >= 2;
    until(Duration::from_secs(8), again, || {
        "the link was not dialled anew".into()
    });
    bench.in_force(bench.apply(&[("trip", 2)]));
    bench.stop();
}
