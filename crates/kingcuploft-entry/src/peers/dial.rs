//! How VMs open links to each other: over TCP, or over a network that a test provides.

use std::future::Future;
use std::net::SocketAddr;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A network over which VMs open links.
pub trait Dial {
    /// An open link.
    type Link: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Opens a link to the VM at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the VM can't be reached.
    fn dial(&self, address: SocketAddr) -> impl Future<Output = std::io::Result<Self::Link>>;
}

/// Opens links over TCP.
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
