//! The simulated network: who can reach whom, how long bytes take, and which links are cut.

use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kingcuploft::utils::HashMap;
use kingcuploft_entry::network::{Connecting, Stream};
use kingcuploft_entry::peers::dial::Dial;
use kingcuploft_entry::peers::peer_socket::{PeerMessage, PeerSender};
use tokio::sync::mpsc::UnboundedSender;

use crate::day::ServerCut;
use crate::history::VmIndex;
use crate::link::{self, LinkEnd, Nic, Path};

/// The delay of bytes within a zone.
const DELAY_IN_ZONE: Duration = Duration::from_micros(100);

/// The delay of bytes between two zones.
const DELAY_BETWEEN_ZONES: Duration = Duration::from_micros(900);

/// The delay of bytes between callers and VMs.
const DELAY_TO_CALLERS: Duration = Duration::from_millis(3);

/// How often a connection attempt over a cut link is repeated, since its opening packets are lost.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The bandwidth of all links, which no day saturates.
const LINK_MBIT_PER_S: u32 = 1000;

/// An accepted connection, and the VM that opened it, if one did.
pub type AcceptedConnection = (LinkEnd, Option<VmIndex>);

/// A datagram and its sender's address.
pub type Datagram = (PeerMessage, SocketAddr);

/// The receiver of the connections to an address.
#[derive(Debug)]
struct Listener {
    nic: Rc<Nic>,
    zone: usize,
    connections: UnboundedSender<AcceptedConnection>,
}

/// The receiver of the datagrams to an address.
#[derive(Clone, Debug)]
struct Mailbox {
    nic: Rc<Nic>,
    datagrams: UnboundedSender<Datagram>,
}

/// The addresses at which hosts listen.
#[derive(Debug, Default)]
struct Endpoints {
    listeners: RefCell<HashMap<SocketAddr, Listener>>,
    mailboxes: RefCell<HashMap<SocketAddr, Mailbox>>,
}

/// The network.
#[derive(Clone, Debug, Default)]
pub struct Network(Rc<Endpoints>);

/// The location of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Location {
    /// In an availability zone.
    Zone(usize),
    /// Outside the zones, where the callers are.
    External,
}

/// A host's access to the network.
#[derive(Clone, Debug)]
pub struct Host {
    network: Network,
    location: Location,
    vm: Option<VmIndex>,
    /// The interface towards callers and servers.
    pub nic: Rc<Nic>,
    /// The interface towards other VMs and the store.
    pub peer_nic: Rc<Nic>,
    /// The address at which other VMs reach the host.
    pub peer_address: Cell<Option<SocketAddr>>,
    /// The paths to servers.
    server_paths: Rc<RefCell<HashMap<SocketAddr, Rc<Path>>>>,
}

impl Network {
    /// Returns a new host.
    pub fn host(&self, location: Location, vm: Option<VmIndex>) -> Host {
        Host {
            network: self.clone(),
            location,
            vm,
            nic: Rc::new(Nic::of(LINK_MBIT_PER_S)),
            peer_nic: Rc::new(Nic::of(LINK_MBIT_PER_S)),
            peer_address: Cell::new(None),
            server_paths: Rc::default(),
        }
    }

    /// Stops listening at an address.
    pub fn stop_listening(&self, address: SocketAddr) {
        self.0.listeners.borrow_mut().remove(&address);
        self.0.mailboxes.borrow_mut().remove(&address);
    }
}

impl Host {
    /// Listens at an address on the interface towards callers and servers.
    pub fn listen(&self, address: SocketAddr, connections: UnboundedSender<AcceptedConnection>) {
        self.listen_on(&self.nic, address, connections);
    }

    /// Listens at an address on the interface towards other VMs, for connections and datagrams.
    pub fn listen_to_peers(
        &self,
        address: SocketAddr,
        connections: UnboundedSender<AcceptedConnection>,
        datagrams: UnboundedSender<Datagram>,
    ) {
        self.peer_address.set(Some(address));
        self.listen_on(&self.peer_nic, address, connections);
        let mailbox = Mailbox {
            nic: self.peer_nic.clone(),
            datagrams,
        };
        let mut all = self.network.0.mailboxes.borrow_mut();
        all.insert(address, mailbox);
    }

    fn listen_on(
        &self,
        nic: &Rc<Nic>,
        address: SocketAddr,
        connections: UnboundedSender<AcceptedConnection>,
    ) {
        let zone = match self.location {
            Location::Zone(zone) => zone,
            Location::External => usize::MAX,
        };
        let listener = Listener {
            nic: nic.clone(),
            zone,
            connections,
        };
        let mut all = self.network.0.listeners.borrow_mut();
        all.insert(address, listener);
    }

    /// Cuts the host off from other VMs and the store, or ends the cut.
    pub fn cut_off(&self, is_cut: bool) {
        self.peer_nic.is_cut.set(is_cut);
    }

    /// Cuts the host off from a server, or ends the cut.
    pub fn cut_from_server(&self, server: SocketAddr, cut: Option<ServerCut>) {
        self.path_to(server).set_cut(cut);
    }

    fn path_to(&self, server: SocketAddr) -> Rc<Path> {
        let mut paths = self.server_paths.borrow_mut();
        paths.entry(server).or_default().clone()
    }

    /// Takes the power away for good; the host that starts when power is back is a new one.
    pub fn lose_power(&self) {
        self.nic.is_powered_off.set(true);
        self.peer_nic.is_powered_off.set(true);
    }

    /// Returns whether the host is cut off from other VMs and the store.
    pub fn is_cut_off(&self) -> bool {
        self.peer_nic.is_cut.get() || self.peer_nic.is_powered_off.get()
    }

    fn delay(&self, zone: usize) -> Duration {
        match self.location {
            Location::External => DELAY_TO_CALLERS,
            Location::Zone(own) if own == zone => DELAY_IN_ZONE,
            Location::Zone(_) => DELAY_BETWEEN_ZONES,
        }
    }

    async fn open(
        &self,
        own: &Rc<Nic>,
        address: SocketAddr,
        path: Option<&Rc<Path>>,
    ) -> std::io::Result<LinkEnd> {
        loop {
            let refused = || Error::from(ErrorKind::ConnectionRefused);
            match path.and_then(|path| path.cut()) {
                None => {}
                Some(ServerCut::Silent | ServerCut::NewSilent) => {
                    tokio::time::sleep(CONNECT_RETRY_INTERVAL).await;
                    continue;
                }
                Some(ServerCut::Reset | ServerCut::NewRefused) => {
                    tokio::time::sleep(2 * DELAY_BETWEEN_ZONES).await;
                    return Err(refused());
                }
            }
            let found = {
                let listeners = self.network.0.listeners.borrow();
                let found = listeners.get(&address);
                found.map(|to| (to.nic.clone(), to.connections.clone(), self.delay(to.zone)))
            };
            let Some((nic, connections, delay)) = found else {
                tokio::time::sleep(2 * DELAY_BETWEEN_ZONES).await;
                return Err(refused());
            };
            let is_blocked = |nic: &Nic| nic.is_cut.get() || nic.is_powered_off.get();
            if is_blocked(own) || is_blocked(&nic) {
                tokio::time::sleep(CONNECT_RETRY_INTERVAL).await;
                continue;
            }
            tokio::time::sleep(2 * delay).await;
            let (here, there) = link::connect_along(own, &nic, delay, path);
            connections.send((there, self.vm)).map_err(|_| refused())?;
            return Ok(here);
        }
    }
}

impl kingcuploft_entry::network::Network for Host {
    fn connect(&self, address: SocketAddr) -> Connecting<'_> {
        Box::pin(async move {
            let path = self.path_to(address);
            let end = self.open(&self.nic, address, Some(&path)).await?;
            Ok(Stream::Other(Box::new(end)))
        })
    }

    fn connect_to_vm(&self, address: SocketAddr) -> Connecting<'_> {
        Box::pin(async move {
            let end = self.open(&self.peer_nic, address, None).await?;
            Ok(Stream::Other(Box::new(end)))
        })
    }
}

impl Dial for Host {
    type Link = LinkEnd;

    async fn dial(&self, address: SocketAddr) -> std::io::Result<LinkEnd> {
        self.open(&self.peer_nic, address, None).await
    }
}

impl PeerSender for Host {
    fn send(&self, message: &PeerMessage, addresses: &[SocketAddr]) {
        let Some(from) = self.peer_address.get() else {
            return;
        };
        for address in addresses {
            let found = self.network.0.mailboxes.borrow().get(address).cloned();
            let Some(Mailbox { nic, datagrams }) = found else {
                continue;
            };
            let is_blocked = |nic: &Nic| nic.is_cut.get() || nic.is_powered_off.get();
            if is_blocked(&self.peer_nic) || is_blocked(&nic) {
                continue;
            }
            let message = message.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(DELAY_BETWEEN_ZONES).await;
                let _ = datagrams.send((message, from));
            });
        }
    }
}
