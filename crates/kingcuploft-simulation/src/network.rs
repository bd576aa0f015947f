//! The played network: who reaches whom, how long it takes, what is cut.

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

use crate::link::{self, End, Nic};
use crate::seen::VmIndex;

/// How long bytes take within a zone, to another one, and between callers and VMs.
const IN_ZONE: Duration = Duration::from_micros(100);
const TO_OTHER_ZONE: Duration = Duration::from_micros(900);
const TO_CALLER: Duration = Duration::from_millis(3);

/// How often a connection that can't be opened is tried again: opening packets are lost.
const TRY_AGAIN: Duration = Duration::from_millis(50);

/// The speed of all links, which none of the days fills.
const MBIT_PER_S: u32 = 1000;

/// A connection that was opened, and the VM that opened it.
pub type Accepted = (End, Option<VmIndex>);

/// A datagram, and where it comes from.
pub type Datagram = (PeerMessage, SocketAddr);

#[derive(Debug)]
struct Listener {
    nic: Rc<Nic>,
    zone: usize,
    accepts: UnboundedSender<Accepted>,
}

/// Where datagrams to an address go.
#[derive(Clone, Debug)]
struct Mailbox {
    nic: Rc<Nic>,
    receives: UnboundedSender<Datagram>,
}

#[derive(Debug, Default)]
struct Inner {
    listeners: RefCell<HashMap<SocketAddr, Listener>>,
    mailboxes: RefCell<HashMap<SocketAddr, Mailbox>>,
}

/// The network.
#[derive(Clone, Debug, Default)]
pub struct Network(Rc<Inner>);

/// Where a host is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// In a zone.
    Zone(usize),
    /// With the callers.
    Outside,
}

/// The network as one host reaches it.
#[derive(Clone, Debug)]
pub struct Host {
    network: Network,
    place: Place,
    vm: Option<VmIndex>,
    /// Its way to callers and servers.
    pub nic: Rc<Nic>,
    /// Its way to other VMs and the store.
    pub inner_nic: Rc<Nic>,
    /// Where other VMs reach it.
    pub peer_address: Cell<Option<SocketAddr>>,
}

impl Network {
    /// Returns a new host.
    pub fn host(&self, place: Place, vm: Option<VmIndex>) -> Host {
        Host {
            network: self.clone(),
            place,
            vm,
            nic: Rc::new(Nic::of(MBIT_PER_S)),
            inner_nic: Rc::new(Nic::of(MBIT_PER_S)),
            peer_address: Cell::new(None),
        }
    }

    /// Stops listening at an address.
    pub fn close(&self, address: SocketAddr) {
        self.0.listeners.borrow_mut().remove(&address);
        self.0.mailboxes.borrow_mut().remove(&address);
    }
}

impl Host {
    /// Listens at an address, on its way to callers and servers.
    pub fn listen(&self, address: SocketAddr, accepts: UnboundedSender<Accepted>) {
        self.listen_on(&self.nic, address, accepts);
    }

    /// Listens at an address, on its way to other VMs.
    pub fn listen_to_others(
        &self,
        address: SocketAddr,
        accepts: UnboundedSender<Accepted>,
        datagrams: UnboundedSender<Datagram>,
    ) {
        self.peer_address.set(Some(address));
        self.listen_on(&self.inner_nic, address, accepts);
        let mailbox = Mailbox {
            nic: self.inner_nic.clone(),
            receives: datagrams,
        };
        let mut all = self.network.0.mailboxes.borrow_mut();
        all.insert(address, mailbox);
    }

    fn listen_on(&self, nic: &Rc<Nic>, address: SocketAddr, accepts: UnboundedSender<Accepted>) {
        let zone = match self.place {
            Place::Zone(zone) => zone,
            Place::Outside => usize::MAX,
        };
        let listener = Listener {
            nic: nic.clone(),
            zone,
            accepts,
        };
        let mut all = self.network.0.listeners.borrow_mut();
        all.insert(address, listener);
    }

    /// Cuts the host off from other VMs and the store, or ends that.
    pub fn cut_off(&self, is_cut: bool) {
        self.inner_nic.is_cut.set(is_cut);
    }

    /// Takes its power away; a host that has it again is another one.
    pub fn lose_power(&self) {
        self.nic.is_dark.set(true);
        self.inner_nic.is_dark.set(true);
    }

    /// Returns whether it reaches other VMs and the store.
    pub fn is_cut_off(&self) -> bool {
        self.inner_nic.is_cut.get() || self.inner_nic.is_dark.get()
    }

    fn delay(&self, zone: usize) -> Duration {
        match self.place {
            Place::Outside => TO_CALLER,
            Place::Zone(own) if own == zone => IN_ZONE,
            Place::Zone(_) => TO_OTHER_ZONE,
        }
    }

    async fn open(&self, own: &Rc<Nic>, address: SocketAddr) -> std::io::Result<End> {
        loop {
            let refused = || Error::from(ErrorKind::ConnectionRefused);
            let found = {
                let listeners = self.network.0.listeners.borrow();
                let found = listeners.get(&address);
                found.map(|to| (to.nic.clone(), to.accepts.clone(), self.delay(to.zone)))
            };
            let Some((nic, accepts, delay)) = found else {
                tokio::time::sleep(2 * TO_OTHER_ZONE).await;
                return Err(refused());
            };
            let stops = |nic: &Nic| nic.is_cut.get() || nic.is_dark.get();
            if stops(own) || stops(&nic) {
                tokio::time::sleep(TRY_AGAIN).await;
                continue;
            }
            tokio::time::sleep(2 * delay).await;
            let (here, there) = link::link(own, &nic, delay);
            accepts.send((there, self.vm)).map_err(|_| refused())?;
            return Ok(here);
        }
    }
}

impl kingcuploft_entry::network::Network for Host {
    fn connect(&self, address: SocketAddr) -> Connecting<'_> {
        Box::pin(async move {
            let end = self.open(&self.nic, address).await?;
            Ok(Stream::Other(Box::new(end)))
        })
    }
}

impl Dial for Host {
    type Link = End;

    async fn dial(&self, address: SocketAddr) -> std::io::Result<End> {
        self.open(&self.inner_nic, address).await
    }
}

impl PeerSender for Host {
    fn send(&self, told: &PeerMessage, others: &[SocketAddr]) {
        let Some(from) = self.peer_address.get() else {
            return;
        };
        for other in others {
            let found = self.network.0.mailboxes.borrow().get(other).cloned();
            let Some(Mailbox { nic, receives }) = found else {
                continue;
            };
            let stops = |nic: &Nic| nic.is_cut.get() || nic.is_dark.get();
            if stops(&self.inner_nic) || stops(&nic) {
                continue;
            }
            let told = told.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(TO_OTHER_ZONE).await;
                let _ = receives.send((told, from));
            });
        }
    }
}
