//! The peer thread: gossip links with a few other entry VMs.
//!
//! A link carries heartbeats, membership gossip, the root and service objects of a manifest, drains and load notes.
//! Both sides of a link offer the same interface, so whichever side has new information sends it to the other.
//!
//! Failure: corrupt or hostile messages. Sizes and nesting are bounded, service objects are checked against their
//! hashes, and generations only grow, so a message can neither exhaust memory nor move a VM back to an older manifest.

mod budget;
mod byte_counter;
mod link;
mod node;
#[expect(
    missing_docs,
    clippy::pedantic,
    reason = "generated from schema/peer.capnp, see docs/features/peer_link.md"
)]
#[rustfmt::skip]
pub mod peer_capnp;
mod broadcast;
mod server;
pub mod settings;
mod tls;
pub mod wire;

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;
use tokio::task::LocalSet;

use crate::shared::Shared;
use node::Node;
pub use settings::PeerSettings;
use tls::Tls;

/// How often the loops check whether to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How often the neighbours are chosen.
const NEIGHBOUR_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How often members are checked for missing heartbeats.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The most links that other VMs may open to this VM; with 200 VMs and 3 neighbours each, only a handful do.
const MAX_ACCEPTED_LINKS: usize = 128;

/// The TLS keys of the links, read at start.
#[derive(Debug)]
pub struct Keys(Option<Tls>);

impl Keys {
    /// Reads the files that the settings name.
    ///
    /// # Errors
    ///
    /// Returns which file cannot be used and why.
    pub fn read(settings: &PeerSettings) -> Result<Self, String> {
        Ok(Self(settings.tls.clone().map(Tls::new).transpose()?))
    }
}

/// Runs the peer thread until the daemon ends.
///
/// # Panics
///
/// Panics where the system gives no event queue at start.
pub fn run(shared: &Arc<Shared>, listener: TcpListener, keys: Keys) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("an event queue at start");
    LocalSet::new().block_on(&runtime, serve(shared, listener, keys));
}

async fn serve(shared: &Arc<Shared>, listener: TcpListener, keys: Keys) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listening socket");
    let node = Rc::new(Node::new(Arc::clone(shared), keys.0));
    let seeds = shared.settings.peer.peers.clone();
    shared
        .fleet
        .membership()
        .add_candidates(Instant::now(), seeds);
    tokio::task::spawn_local(broadcast::send_updates(Rc::clone(&node)));
    tokio::task::spawn_local(broadcast::announce_manifest(Rc::clone(&node)));
    tokio::task::spawn_local(choose_links(Rc::clone(&node)));
    tokio::task::spawn_local(detect_silent_members(Rc::clone(&node)));
    let accepted_links = Arc::new(Semaphore::new(MAX_ACCEPTED_LINKS));
    while !shared.ended() {
        let accepted = tokio::time::timeout(STOP_CHECK_INTERVAL, listener.accept()).await;
        let Ok(Ok((stream, _))) = accepted else {
            continue;
        };
        let Ok(permit) = Arc::clone(&accepted_links).try_acquire_owned() else {
            shared.metrics.fleet.count_link_end("too_many");
            continue;
        };
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            if let Err(end) = link::accept(&node, stream).await {
                node.record_link_end(end);
            }
            drop(permit);
        });
    }
    node.announce_leave().await;
}

/// Runs the failure detector: marks members without recent heartbeats as suspect, then as gone.
async fn detect_silent_members(node: Rc<Node>) {
    let fleet = &node.shared.fleet;
    while !node.shared.ended() {
        let changed = fleet.membership().tick(Instant::now());
        if changed {
            tracing::info!("membership: the view of the fleet changed.");
        }
        fleet.update_metrics(&node.shared);
        tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
    }
}

/// Keeps a link to each neighbour that the membership selects.
async fn choose_links(node: Rc<Node>) {
    while !node.shared.ended() {
        let neighbours = node.shared.fleet.membership().neighbours(Instant::now());
        for neighbour in neighbours {
            if node.begin_dial(&neighbour) {
                let node = Rc::clone(&node);
                tokio::task::spawn_local(async move {
                    let end = link::dial(&node, &neighbour).await;
                    node.end_dial(&neighbour, end);
                });
            }
        }
        tokio::time::sleep(NEIGHBOUR_CHECK_INTERVAL).await;
    }
}
