//! A network between one VM and the backend servers that can be cut.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use kingcuploft_entry::network::{Connecting, Link, Network, Stream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How often a cut connection looks whether it is still cut.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the servers are out of reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cut {
    /// Nothing arrives either way, on open and on new connections.
    Silent,
    /// Open connections are reset, new ones refused.
    Reset,
    /// Open connections live on, new ones are refused.
    NewRefused,
    /// Open connections live on, new ones hang.
    NewSilent,
}

/// The paths of one VM to the servers.
#[derive(Debug, Default)]
pub(crate) struct CuttableNetwork {
    cuts: Rc<RefCell<HashMap<SocketAddr, Cut>>>,
    /// How many connections were tried while they were cut.
    pub(crate) tried_while_cut: Cell<usize>,
}

impl CuttableNetwork {
    /// Cuts the paths to these servers.
    pub(crate) fn cut(&self, servers: impl IntoIterator<Item = SocketAddr>, cut: Cut) {
        let mut cuts = self.cuts.borrow_mut();
        cuts.extend(servers.into_iter().map(|server| (server, cut)));
    }

    /// Ends all cuts.
    pub(crate) fn heal(&self) {
        self.cuts.borrow_mut().clear();
    }

    fn cut_of(&self, server: SocketAddr) -> Option<Cut> {
        self.cuts.borrow().get(&server).copied()
    }
}

impl Network for CuttableNetwork {
    fn connect(&self, address: SocketAddr) -> Connecting<'_> {
        Box::pin(async move {
            if self.cut_of(address).is_some() {
                self.tried_while_cut.update(|tried| tried + 1);
            }
            loop {
                match self.cut_of(address) {
                    None => break,
                    Some(Cut::Reset | Cut::NewRefused) => {
                        return Err(Error::from(ErrorKind::ConnectionRefused));
                    }
                    Some(Cut::Silent | Cut::NewSilent) => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
            let link = CuttableLink {
                server: address,
                cuts: self.cuts.clone(),
                stream: TcpStream::connect(address).await?,
                timer: None,
            };
            Ok(Stream::Other(Box::new(link)))
        })
    }
}

/// One connection to a server.
#[derive(Debug)]
struct CuttableLink {
    server: SocketAddr,
    cuts: Rc<RefCell<HashMap<SocketAddr, Cut>>>,
    stream: TcpStream,
    timer: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl CuttableLink {
    fn cut(&self) -> Option<Cut> {
        self.cuts.borrow().get(&self.server).copied()
    }

    /// Has the task polled again soon, as a cut wakes nobody.
    fn poll_again(&mut self, context: &mut Context<'_>) {
        let mut timer = Box::pin(tokio::time::sleep(POLL_INTERVAL));
        if timer.as_mut().poll(context).is_ready() {
            context.waker().wake_by_ref();
        }
        self.timer = Some(timer);
    }
}

impl AsyncRead for CuttableLink {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.poll_again(context);
        match self.cut() {
            Some(Cut::Silent) => Poll::Pending,
            Some(Cut::Reset) => Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset))),
            Some(Cut::NewRefused | Cut::NewSilent) | None => {
                Pin::new(&mut self.stream).poll_read(context, buffer)
            }
        }
    }
}

impl AsyncWrite for CuttableLink {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        match self.cut() {
            // The kernel takes the bytes; nobody acknowledges them.
            Some(Cut::Silent) => Poll::Ready(Ok(bytes.len())),
            Some(Cut::Reset) => Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset))),
            Some(Cut::NewRefused | Cut::NewSilent) | None => {
                Pin::new(&mut self.stream).poll_write(context, bytes)
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Link for CuttableLink {
    fn try_read(&mut self, bytes: &mut [u8]) -> Result<usize> {
        match self.cut() {
            Some(Cut::Silent) => Err(Error::from(ErrorKind::WouldBlock)),
            Some(Cut::Reset) => Err(Error::from(ErrorKind::ConnectionReset)),
            Some(Cut::NewRefused | Cut::NewSilent) | None => self.stream.try_read(bytes),
        }
    }
}
