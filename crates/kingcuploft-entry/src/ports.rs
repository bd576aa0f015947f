//! The ports of a VM. One that can't be had at the start is waited for, and keeps no other from being opened: an outgoing
//! connection, another process or this VM's own earlier process may hold it for a while.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use kingcuploft::entry::start::{Port, StartEvent};
use tokio::net::{TcpListener, TcpSocket};

use crate::context::Context;
use crate::peers::peer_socket::PeerSocket;
use crate::process::wait::{RETRY_INTERVAL, WaitLog};

/// The most new connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// How many ports are drawn where any port will do for links and datagrams together.
const MAX_DRAWS: u32 = 16;

/// A listener, and the address at which it listens.
#[derive(Debug)]
pub struct Bound {
    /// The listener.
    pub listener: TcpListener,
    /// Its address.
    pub address: SocketAddr,
}

/// The port for other VMs.
#[derive(Debug)]
pub struct PeerPort {
    /// Listens for links.
    pub links: Bound,
    /// Receives datagrams.
    pub datagrams: PeerSocket,
}

/// Listens at an address.
///
/// # Errors
///
/// Returns the system's error.
pub fn listen(address: SocketAddr) -> io::Result<Bound> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(LISTEN_BACKLOG)?;
    let address = listener.local_addr()?;
    Ok(Bound { listener, address })
}

/// Listens for links and datagrams of other VMs at the same address.
///
/// # Errors
///
/// Returns the system's error.
pub fn listen_to_peers(address: SocketAddr) -> io::Result<PeerPort> {
    let mut draws = match address.port() {
        0 => MAX_DRAWS,
        _ => 1,
    };
    loop {
        draws -= 1;
        let links = listen(address)?;
        match PeerSocket::open(links.address) {
            Ok(datagrams) => return Ok(PeerPort { links, datagrams }),
            Err(error) if draws == 0 => return Err(error),
            Err(_) => {}
        }
    }
}

/// Listens for other VMs at one of the spare ports if the wanted one can't be had and a spare one may be opened.
///
/// # Errors
///
/// Returns the system's error for the wanted port.
pub fn listen_to_peers_or_spare(
    wanted: SocketAddr,
    spare: &[u16],
    may_open_spare: bool,
) -> io::Result<PeerPort> {
    let opened = listen_to_peers(wanted);
    if opened.is_ok() || !may_open_spare {
        return opened;
    }
    let mut spare = spare.iter().map(|port| (wanted.ip(), *port).into());
    let Some(port) = spare.find_map(|address| listen_to_peers(address).ok()) else {
        return opened;
    };
    tracing::warn!(event = "spare_port", %wanted, opened = %port.links.address);
    Ok(port)
}

/// Waits until a port is open that could or could not be opened at first. Until then it counts among the VM's missing ports.
pub async fn wait_for<T>(
    context: &Rc<Context>,
    port: Port,
    first: io::Result<T>,
    open: impl Fn() -> io::Result<T>,
) -> T {
    let mut log = WaitLog::new(port.label());
    let mut opened = first;
    loop {
        match opened {
            Ok(found) => {
                context.apply_to_start(StartEvent::PortOpened(port));
                log.found();
                return found;
            }
            Err(error) => log.missing(&error.to_string()),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
        opened = open();
    }
}
