//! A TCP proxy in front of a server that injects network faults: delays, stalls and cut connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

/// What a link does with connections and bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkState {
    /// Forwards everything.
    #[default]
    Open,
    /// Forwards everything after a delay.
    Slow(Duration),
    /// Keeps connections open but forwards nothing.
    Silent,
    /// Closes all connections, and new ones immediately.
    Cut,
}

/// A proxied link to a server.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
    accept: tokio::task::AbortHandle,
}

impl Link {
    /// Opens a link to a server that listens, or will listen, at `to`.
    ///
    /// # Errors
    ///
    /// The operating system's error if no port is available.
    pub fn start(runtime: &Runtime, to: SocketAddr) -> std::io::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(LinkState::Open));
        let accept = runtime.spawn(accept_connections(listener, to, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            accept: accept.abort_handle(),
        })
    }

    /// Returns the address to which clients connect instead of the server's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the state for new and for open connections.
    pub fn set(&self, state: LinkState) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

type SharedState = Arc<Mutex<LinkState>>;

async fn accept_connections(listener: TcpListener, to: SocketAddr, state: SharedState) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            if current_state(&state) == LinkState::Cut {
                return;
            }
            let Ok(server) = TcpStream::connect(to).await else {
                return;
            };
            drop(stream.set_nodelay(true));
            drop(server.set_nodelay(true));
            let (from_client, to_client) = stream.into_split();
            let (from_server, to_server) = server.into_split();
            tokio::select! {
                () = forward(from_client, to_server, &state) => {}
                () = forward(from_server, to_client, &state) => {}
                () = wait_for_cut(&state) => {}
            }
        });
    }
}

/// Forwards bytes in one direction until either end closes or the link is cut.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, state: &SharedState) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok(amount @ 1..) = from.read(&mut bytes).await else {
            return;
        };
        match current_state(state) {
            LinkState::Open => {}
            LinkState::Slow(delay) => tokio::time::sleep(delay).await,
            LinkState::Silent => wait_until(state, |state| state != LinkState::Silent).await,
            LinkState::Cut => return,
        }
        if to.write_all(&bytes[..amount]).await.is_err() {
            return;
        }
    }
}

async fn wait_for_cut(state: &SharedState) {
    wait_until(state, |state| state == LinkState::Cut).await;
}

async fn wait_until(state: &SharedState, holds: impl Fn(LinkState) -> bool) {
    while !holds(current_state(state)) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn current_state(state: &SharedState) -> LinkState {
    *state.lock().unwrap_or_else(PoisonError::into_inner)
}
