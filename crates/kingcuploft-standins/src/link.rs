//! A link to a server that can be cut, delayed or made to swallow everything.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

/// How a link treats what passes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkState {
    /// Everything passes.
    #[default]
    Open,
    /// Everything passes after a delay.
    Slow(Duration),
    /// Connections stay open, and nothing passes.
    Silent,
    /// Connections are closed, new ones at once.
    Cut,
}

/// A link to a server.
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
    /// The system's error where no port is to be had.
    pub fn start(runtime: &Runtime, to: SocketAddr) -> std::io::Result<Self> {
        let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(LinkState::Open));
        let accept = runtime.spawn(accept(listener, to, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            accept: accept.abort_handle(),
        })
    }

    /// Returns the address that stands for the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the link treats what passes from now on.
    pub fn set(&self, state: LinkState) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

type Shared = Arc<Mutex<LinkState>>;

async fn accept(listener: TcpListener, to: SocketAddr, state: Shared) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            if now(&state) == LinkState::Cut {
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
                () = pass(from_client, to_server, &state) => {}
                () = pass(from_server, to_client, &state) => {}
                () = cut(&state) => {}
            }
        });
    }
}

/// Passes bytes one way until an end closes.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, state: &Shared) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let Ok(amount @ 1..) = from.read(&mut bytes).await else {
            return;
        };
        match now(state) {
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

async fn cut(state: &Shared) {
    wait_until(state, |state| state == LinkState::Cut).await;
}

async fn wait_until(state: &Shared, holds: impl Fn(LinkState) -> bool) {
    while !holds(now(state)) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn now(state: &Shared) -> LinkState {
    *state.lock().unwrap_or_else(PoisonError::into_inner)
}
