//! One peer link: connection, TLS handshake, greeting, heartbeats and end.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use kingcuploft::decisions::membership::Neighbour;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::broadcast::{send_drains, send_heartbeats};
use super::byte_counter::CountedStream;
use super::node::{Link, Node, in_time};
use super::peer_capnp::peer;
use super::server::PeerServer;
use super::wire::{Heartbeat, read_member, write_member};

/// How long a connection, a TLS handshake or a greeting may take.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest message, in words of 8 bytes. It fits 32 service objects of usual size, or a root of 740 services, many
/// times over.
const MAX_MESSAGE_WORDS: usize = 512 * 1024;

/// The deepest nesting of a message; the schema needs 5.
const MAX_NESTING: i32 = 16;

/// The members asked for in one call.
pub(super) const MEMBERS_PER_PAGE: usize = 64;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum LinkEnd {
    /// The connection attempt failed.
    #[error("no connection: {0}")]
    Unreachable(String),
    /// The TLS handshake failed: one of the ends did not prove its identity.
    #[error("no TLS: {0}")]
    Tls(String),
    /// The other end did not send a valid greeting.
    #[error("no greeting: {0}")]
    Greeting(String),
    /// The other end is an earlier incarnation of a VM, or this VM itself.
    #[error("a later incarnation of the other end is known")]
    Replaced,
    /// The other end sent no heartbeat in time.
    #[error("no heartbeat from the other end in time")]
    Silent,
    /// The connection was lost.
    #[error("the connection was lost")]
    Lost,
    /// The other end is no longer a neighbour, or another link with it exists.
    #[error("the link is not needed any more")]
    NotNeeded,
}

impl LinkEnd {
    /// Returns the metric label.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Tls(_) => "tls",
            Self::Greeting(_) => "greeting",
            Self::Replaced => "replaced",
            Self::Silent => "silent",
            Self::Lost => "lost",
            Self::NotNeeded => "not_needed",
        }
    }

    /// Returns whether the link ended after the greeting.
    pub(super) fn was_established(&self) -> bool {
        matches!(self, Self::Silent | Self::Lost | Self::NotNeeded)
    }
}

/// Opens a link with a neighbour and keeps it until it ends.
pub(super) async fn dial(node: &Rc<Node>, neighbour: &Neighbour) -> LinkEnd {
    match open(node, neighbour).await {
        Ok(end) | Err(end) => end,
    }
}

async fn open(node: &Rc<Node>, neighbour: &Neighbour) -> Result<LinkEnd, LinkEnd> {
    let connect = TcpStream::connect(neighbour.address);
    let stream = match tokio::time::timeout(OPEN_TIMEOUT, connect).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(LinkEnd::Unreachable(error.to_string())),
        Err(_) => return Err(LinkEnd::Unreachable("timeout".into())),
    };
    drop(stream.set_nodelay(true));
    match &node.tls {
        None => run_dialled(node, stream).await,
        Some(tls) => {
            let handshake = tls.connect(neighbour.address.ip(), stream);
            match tokio::time::timeout(OPEN_TIMEOUT, handshake).await {
                Ok(Ok(stream)) => run_dialled(node, stream).await,
                Ok(Err(why)) => Err(LinkEnd::Tls(why)),
                Err(_) => Err(LinkEnd::Tls("timeout".into())),
            }
        }
    }
}

/// Serves a link that another VM opened.
pub(super) async fn accept(node: &Rc<Node>, stream: TcpStream) -> Result<(), LinkEnd> {
    drop(stream.set_nodelay(true));
    match &node.tls {
        None => run_accepted(node, stream).await,
        Some(tls) => match tokio::time::timeout(OPEN_TIMEOUT, tls.accept(stream)).await {
            Ok(Ok(stream)) => run_accepted(node, stream).await,
            Ok(Err(why)) => Err(LinkEnd::Tls(why)),
            Err(_) => Err(LinkEnd::Tls("timeout".into())),
        },
    }
}

/// A connection on which both ends offer a [`peer::Client`].
struct Connection {
    server: Rc<PeerServer>,
    peer: peer::Client,
    rpc: JoinHandle<Result<(), capnp::Error>>,
}

impl Connection {
    fn new<S>(node: &Rc<Node>, stream: S, side: Side, other: Side) -> Self
    where
        S: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        let stream = CountedStream::new(stream, node.shared.clone());
        let (reader, writer) = tokio::io::split(stream);
        let writer = futures::io::BufWriter::new(writer.compat_write());
        let mut options = ReaderOptions::new();
        options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
        options.nesting_limit(MAX_NESTING);
        let network = VatNetwork::new(reader.compat(), writer, side, options);
        let server = Rc::new(PeerServer::new(Rc::clone(node)));
        let own: peer::Client = capnp_rpc::new_client_from_rc(Rc::clone(&server));
        let mut rpc = RpcSystem::new(Box::new(network), Some(own.client));
        let peer: peer::Client = rpc.bootstrap(other);
        server.set_peer(peer.clone());
        Self {
            server,
            peer,
            rpc: tokio::task::spawn_local(rpc),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.rpc.abort();
        self.server.close();
    }
}

async fn run_dialled<S>(node: &Rc<Node>, stream: S) -> Result<LinkEnd, LinkEnd>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let mut connection = Connection::new(node, stream, Side::Client, Side::Server);
    let link = greet(node, &connection).await?;
    connection.server.set_link(Rc::clone(&link));
    node.add_link(Rc::clone(&link));
    if let Err(error) = node.read_fleet(&link, false).await {
        tracing::debug!(
            "peer: cannot read the members that {} knows: {error}.",
            link.name
        );
    }
    let drains = node.shared.fleet.drains();
    if !drains.is_empty() {
        send_drains(&link, &drains);
    }
    Ok(run_heartbeats(node, &link, &mut connection).await)
}

/// Exchanges greetings: sends this VM's identity and reads the other end's.
async fn greet(node: &Rc<Node>, connection: &Connection) -> Result<Rc<Link>, LinkEnd> {
    let mut request = connection.peer.hello_request();
    let own = node.shared.fleet.membership().own().clone();
    write_member(&own, request.get().init_self());
    node.beat().write(request.get().init_beat());
    let greeting = |error: capnp::Error| LinkEnd::Greeting(error.to_string());
    let answer = in_time(request.send().promise).await.map_err(greeting)?;
    let answer = answer.get().map_err(greeting)?;
    let member = answer.get_self().and_then(read_member).map_err(greeting)?;
    let beat = answer
        .get_beat()
        .and_then(Heartbeat::read)
        .map_err(greeting)?;
    let now = Instant::now();
    if !node.shared.fleet.membership().accept_peer(now, &member) {
        return Err(LinkEnd::Replaced);
    }
    let link = Rc::new(Link {
        name: member.name,
        peer: connection.peer.clone(),
        known_generation: Cell::new(beat.generation),
        last_received_at: Cell::new(now),
    });
    node.handle_heartbeat(&link, &beat);
    Ok(link)
}

/// Sends heartbeats until the link ends.
async fn run_heartbeats(node: &Rc<Node>, link: &Rc<Link>, connection: &mut Connection) -> LinkEnd {
    let settings = &node.shared.settings.peer.membership;
    loop {
        let pause = Duration::from_millis(settings.beat_ms).mul_f64(0.9 + 0.2 * fastrand::f64());
        tokio::select! {
            _ = &mut connection.rpc => return LinkEnd::Lost,
            () = tokio::time::sleep(pause) => {}
        }
        if node.is_redundant(link) {
            return LinkEnd::NotNeeded;
        }
        send_heartbeats(node, std::slice::from_ref(link)).await;
        if link.last_received_at.get().elapsed() > Duration::from_millis(settings.suspect_ms) {
            return LinkEnd::Silent;
        }
    }
}

async fn run_accepted<S>(node: &Rc<Node>, stream: S) -> Result<(), LinkEnd>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let mut connection = Connection::new(node, stream, Side::Server, Side::Client);
    let settings = &node.shared.settings.peer.membership;
    let silence = Duration::from_millis(settings.suspect_ms);
    let mut wait = OPEN_TIMEOUT;
    loop {
        tokio::select! {
            _ = &mut connection.rpc => return Err(LinkEnd::Lost),
            () = tokio::time::sleep(wait) => {}
        }
        let Some(link) = connection.server.link() else {
            return Err(LinkEnd::Greeting("timeout".into()));
        };
        let silent = link.last_received_at.get().elapsed();
        if silent > silence {
            return Err(LinkEnd::Silent);
        }
        wait = silence.saturating_sub(silent) + Duration::from_millis(1);
    }
}
