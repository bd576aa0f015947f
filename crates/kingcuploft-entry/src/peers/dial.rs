//! How the VMs reach each other.

use std::future::Future;
use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A network that links VMs.
pub trait Dial {
    /// An open link.
    type Link: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Opens a link.
    ///
    /// # Errors
    ///
    /// Returns an error if the other side can't be reached.
    fn dial(&self, address: SocketAddr) -> impl Future<Output = std::io::Result<Self::Link>>;
}

/// Links over TCP.
#[derive(Clone, Copy, Debug)]
pub struct Tcp;

impl Dial for Tcp {
    type Link = TcpStream;

    async fn dial(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
