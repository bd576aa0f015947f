//! The interface that this VM offers to the other end of a link, whichever end opened it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use kingcuploft::manifest::root::ContentHash;

use super::link::MEMBERS_PER_PAGE;
use super::node::{Link, Node};
use super::peer_capnp::peer;
use super::wire::{Heartbeat, read_drain, read_member, read_notes, write_drain, write_member};

/// The most bytes of service objects in one answer; the caller requests the rest again.
const MAX_SERVICES_BYTES: usize = 1024 * 1024;

/// This VM's end of one link.
pub(super) struct PeerServer {
    node: Rc<Node>,
    peer: RefCell<Option<peer::Client>>,
    link: RefCell<Option<Rc<Link>>>,
}

impl PeerServer {
    pub(super) fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            peer: RefCell::default(),
            link: RefCell::default(),
        }
    }

    /// Sets the other end's interface.
    pub(super) fn set_peer(&self, peer: peer::Client) {
        self.peer.replace(Some(peer));
    }

    /// Sets the link after the greeting.
    pub(super) fn set_link(&self, link: Rc<Link>) {
        self.link.replace(Some(link));
    }

    /// Returns the link; `None` before the greeting.
    pub(super) fn link(&self) -> Option<Rc<Link>> {
        self.link.borrow().clone()
    }

    /// Removes the link and drops the reference to the other end, which refers back to this one.
    pub(super) fn close(&self) {
        self.peer.replace(None);
        if let Some(link) = self.link.replace(None) {
            self.node.remove_link(&link);
        }
    }

    fn require_greeting(&self) -> Result<Rc<Link>, capnp::Error> {
        self.link().ok_or_else(|| refused("a greeting comes first"))
    }
}

impl peer::Server for PeerServer {
    async fn hello(
        self: Rc<Self>,
        params: peer::HelloParams,
        mut results: peer::HelloResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let member = read_member(params.get_self()?)?;
        let beat = Heartbeat::read(params.get_beat()?)?;
        let peer = self.peer.borrow().clone();
        let (None, Some(peer)) = (self.link(), peer) else {
            return Err(refused("the greeting was said"));
        };
        let now = Instant::now();
        let node = &self.node;
        if !node.shared.fleet.membership().accept_peer(now, &member) {
            return Err(refused("a later life of this VM is known"));
        }
        let link = Rc::new(Link {
            name: member.name,
            peer,
            known_generation: Cell::new(beat.generation),
            last_received_at: Cell::new(now),
        });
        self.set_link(Rc::clone(&link));
        node.add_link(Rc::clone(&link));
        let own = node.shared.fleet.membership().own().clone();
        write_member(&own, results.get().init_self());
        node.beat().write(results.get().init_beat());
        node.handle_heartbeat(&link, &beat);
        Ok(())
    }

    async fn beat(
        self: Rc<Self>,
        params: peer::BeatParams,
        mut results: peer::BeatResults,
    ) -> Result<(), capnp::Error> {
        let link = self.require_greeting()?;
        let beat = Heartbeat::read(params.get()?.get_beat()?)?;
        self.node.beat().write(results.get().init_beat());
        self.node.handle_heartbeat(&link, &beat);
        Ok(())
    }

    async fn root(
        self: Rc<Self>,
        params: peer::RootParams,
        mut results: peer::RootResults,
    ) -> Result<(), capnp::Error> {
        self.require_greeting()?;
        let since = params.get()?.get_since();
        let manifest = &self.node.shared.manifest;
        let delta = manifest.read(|adoption| adoption.delta_since(since));
        let text = delta.map(|delta| serde_json::to_string(&delta));
        let text = text.transpose().map_err(|_| refused("no text"))?;
        results.get().set_delta(text.unwrap_or_default());
        Ok(())
    }

    async fn services(
        self: Rc<Self>,
        params: peer::ServicesParams,
        mut results: peer::ServicesResults,
    ) -> Result<(), capnp::Error> {
        self.require_greeting()?;
        let hashes = params.get()?.get_hashes()?;
        let mut texts = results.get().init_texts(hashes.len());
        let mut bytes = 0;
        for (i, hash) in hashes.iter().enumerate() {
            let Some(hash) = ContentHash::parse(hash?.to_str()?) else {
                return Err(refused("a hash is malformed"));
            };
            let manifest = &self.node.shared.manifest;
            let Some(text) = manifest.read(|adoption| adoption.service(&hash).cloned()) else {
                continue;
            };
            if bytes > 0 && bytes + text.len() > MAX_SERVICES_BYTES {
                break;
            }
            bytes += text.len();
            texts.set(i as u32, &*text);
        }
        Ok(())
    }

    async fn drains(
        self: Rc<Self>,
        params: peer::DrainsParams,
        _: peer::DrainsResults,
    ) -> Result<(), capnp::Error> {
        self.require_greeting()?;
        let shared = &self.node.shared;
        for drain in params.get()?.get_drains()? {
            shared.fleet.record_drain(shared, read_drain(drain)?);
        }
        Ok(())
    }

    async fn notes(
        self: Rc<Self>,
        params: peer::NotesParams,
        _: peer::NotesResults,
    ) -> Result<(), capnp::Error> {
        self.require_greeting()?;
        let notes = read_notes(params.get()?)?;
        self.node.forward_notes(notes);
        Ok(())
    }

    async fn members(
        self: Rc<Self>,
        params: peer::MembersParams,
        mut results: peer::MembersResults,
    ) -> Result<(), capnp::Error> {
        self.require_greeting()?;
        let from = params.get()?.get_from();
        let members = self.node.shared.fleet.members();
        let page = members.iter().skip(from as usize).take(MEMBERS_PER_PAGE);
        let page: Vec<_> = page.collect();
        let mut list = results.get().init_members(page.len() as u32);
        for (i, member) in page.into_iter().enumerate() {
            write_member(member, list.reborrow().get(i as u32));
        }
        if from > 0 {
            return Ok(());
        }
        let drains = self.node.shared.fleet.drains();
        let mut list = results.get().init_drains(drains.len() as u32);
        for (i, notice) in drains.iter().enumerate() {
            write_drain(notice, list.reborrow().get(i as u32));
        }
        Ok(())
    }
}

fn refused(why: &str) -> capnp::Error {
    capnp::Error::failed(why.into())
}
