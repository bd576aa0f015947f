//! The network between a VM and its peers: TCP connections, or links simulated by a test.

use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A simulated connection.
pub trait Link: AsyncRead + AsyncWrite + Unpin + Debug {
    /// Reads the bytes that have arrived, without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::WouldBlock`] if none have, or the link's error.
    fn try_read(&mut self, bytes: &mut [u8]) -> io::Result<usize>;
}

/// The future of a connection that is being opened.
pub type Connecting<'a> = Pin<Box<dyn Future<Output = io::Result<Stream>> + 'a>>;

/// Opens connections to backend servers and, for single requests, to other VMs.
pub trait Network: Debug {
    /// Opens a connection to a backend server.
    fn connect(&self, address: SocketAddr) -> Connecting<'_>;

    /// Opens a connection to another VM.
    fn connect_to_vm(&self, address: SocketAddr) -> Connecting<'_> {
        self.connect(address)
    }
}

/// The network that opens TCP connections.
#[derive(Clone, Copy, Debug)]
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, address: SocketAddr) -> Connecting<'_> {
        Box::pin(async move { TcpStream::connect(address).await.map(Stream::Tcp) })
    }
}

/// An open connection.
#[derive(Debug)]
pub enum Stream {
    /// A TCP connection.
    Tcp(TcpStream),
    /// A simulated connection.
    Other(Box<dyn Link>),
}

impl Stream {
    /// Returns the TCP connection, or `None` for a simulated one.
    pub fn tcp(&self) -> Option<&TcpStream> {
        match self {
            Self::Tcp(stream) => Some(stream),
            Self::Other(_) => None,
        }
    }

    /// Reads the bytes that have arrived, without waiting.
    ///
    /// # Errors
    ///
    /// Returns [`io::ErrorKind::WouldBlock`] if none have, or the connection's error.
    pub fn try_read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        match self {
            Self::Tcp(stream) => stream.try_read(bytes),
            Self::Other(link) => link.try_read(bytes),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_read(context, buffer),
            Self::Other(link) => Pin::new(link).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_write(context, bytes),
            Self::Other(link) => Pin::new(link).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_flush(context),
            Self::Other(link) => Pin::new(link).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Tcp(stream) => Pin::new(stream).poll_shutdown(context),
            Self::Other(link) => Pin::new(link).poll_shutdown(context),
        }
    }
}
