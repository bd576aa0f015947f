//! This VM's gossip node: its links, the manifest generation that each peer has, and pulling newer manifests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::decisions::adoption::MissingParts;
use kingcuploft::decisions::membership::Neighbour;
use kingcuploft::dispatcher::PeerNotes;
use kingcuploft::manifest::root::ContentHash;
use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::{Generation, VmName};
use kingcuploft_platform::backoff::Backoff;

use super::broadcast::send_heartbeats;
use super::budget::ByteBudget;
use super::link::{LinkEnd, MEMBERS_PER_PAGE};
use super::peer_capnp::peer;
use super::tls::Tls;
use super::wire::{Heartbeat, read_drain, read_member};
use crate::message::Message;
use crate::shared::Shared;

/// The most membership entries on one heartbeat.
const MAX_GOSSIP_ENTRIES: usize = 4;

/// The most pages of members that are read from one peer at a time.
const MAX_MEMBER_PAGES: u32 = 64;

/// The most service objects asked for in one call.
const MAX_SERVICES_PER_CALL: usize = 32;

/// How long a call to a peer may take.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The delay before a failed pull is retried, on this link or on another link's heartbeat.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A link after the greeting.
pub(super) struct Link {
    pub(super) name: VmName,
    pub(super) peer: peer::Client,
    /// The newest generation that the other end is known to have activated.
    pub(super) known_generation: Cell<Generation>,
    /// When the other end's last heartbeat arrived.
    pub(super) last_received_at: Cell<Instant>,
}

/// The connection attempts to one address.
struct Dial {
    running: bool,
    not_before: Instant,
    backoff: Backoff,
}

/// This VM's gossip node.
pub(super) struct Node {
    pub(super) shared: Arc<Shared>,
    links: RefCell<Vec<Rc<Link>>>,
    dials: RefCell<HashMap<SocketAddr, Dial>>,
    /// The TLS keys of the links; `None` for plain TCP.
    pub(super) tls: Option<Tls>,
    pulling: Cell<bool>,
    budget: RefCell<ByteBudget>,
}

impl Node {
    pub(super) fn new(shared: Arc<Shared>, tls: Option<Tls>) -> Self {
        let budget = ByteBudget::new(&shared);
        Self {
            shared,
            links: RefCell::default(),
            dials: RefCell::default(),
            tls,
            pulling: Cell::new(false),
            budget: RefCell::new(budget),
        }
    }

    /// Returns the heartbeat to send now.
    pub(super) fn beat(&self) -> Heartbeat {
        let (generation, root_hash) = self.shared.manifest.read(|adoption| {
            let hash = adoption.root_hash().map_or(0, ContentHash::short);
            (adoption.generation(), hash)
        });
        let has_budget = self.has_budget();
        let mut membership = self.shared.fleet.membership();
        Heartbeat {
            generation,
            root_hash,
            beat: membership.next_heartbeat(),
            digest: membership.digest(),
            gossip: membership.next_gossip(if has_budget { MAX_GOSSIP_ENTRIES } else { 0 }),
        }
    }

    /// Handles a heartbeat from a link.
    pub(super) fn handle_heartbeat(self: &Rc<Self>, link: &Rc<Link>, beat: &Heartbeat) {
        let now = Instant::now();
        link.last_received_at.set(now);
        link.known_generation
            .set(link.known_generation.get().max(beat.generation));
        let mut membership = self.shared.fleet.membership();
        membership.record_heartbeat(now, &link.name, beat.beat);
        for member in &beat.gossip {
            membership.apply_gossip(now, member);
        }
        let differs = membership.needs_resync(now, beat.digest);
        drop(membership);
        if differs {
            let (node, link) = (Rc::clone(self), Rc::clone(link));
            tokio::task::spawn_local(async move { drop(node.read_fleet(&link, true).await) });
        }
        self.compare_manifests(link, beat);
    }

    /// Compares a peer's manifest with this VM's: pulls a newer one, and reports different contents of one generation.
    fn compare_manifests(self: &Rc<Self>, link: &Rc<Link>, beat: &Heartbeat) {
        let manifest = &self.shared.manifest;
        let own = manifest.read(|adoption| {
            let hash = adoption.root_hash().map_or(0, ContentHash::short);
            (adoption.generation(), hash)
        });
        if beat.generation == own.0 && beat.root_hash != own.1 {
            self.shared.metrics.fleet.manifest_faults.inc();
            let (name, generation) = (&link.name, own.0);
            tracing::error!("manifest: {name} has different contents for generation {generation}.");
        }
        if beat.generation > own.0 {
            manifest.update(&self.shared, "a peer", |adoption| {
                adoption.note_generation(beat.generation);
                Ok(kingcuploft::decisions::adoption::AdoptionStep::Unchanged)
            });
            self.pull(link);
        }
    }

    /// Starts to pull the missing manifest parts from a link, unless a pull is running.
    fn pull(self: &Rc<Self>, link: &Rc<Link>) {
        if self.pulling.replace(true) {
            return;
        }
        let (node, link) = (Rc::clone(self), Rc::clone(link));
        tokio::task::spawn_local(async move {
            if let Err(error) = node.pull_all(&link).await {
                let name = &link.name;
                tracing::warn!("manifest: a pull from {name} failed: {error}.");
                // The next heartbeat, of this link or another, retries the pull.
                tokio::time::sleep(PULL_RETRY_DELAY).await;
            }
            node.pulling.set(false);
        });
    }

    async fn pull_all(&self, link: &Link) -> capnp::Result<()> {
        loop {
            match self
                .shared
                .manifest
                .read(|adoption| adoption.missing_parts())
            {
                MissingParts::Nothing => return Ok(()),
                MissingParts::Root { since, .. } => self.pull_root(link, since).await?,
                MissingParts::Services(missing) => self.pull_services(link, &missing).await?,
            }
        }
    }

    async fn pull_root(&self, link: &Link, since: Generation) -> capnp::Result<()> {
        let mut request = link.peer.root_request();
        request.get().set_since(since);
        let answer = in_time(request.send().promise).await?;
        let text = answer.get()?.get_delta()?.to_str()?;
        let delta = serde_json::from_str(text);
        let delta = delta.map_err(|e| capnp::Error::failed(format!("not a root delta: {e}")))?;
        let source = &link.name;
        let accepted = self
            .shared
            .manifest
            .update(&self.shared, source, |adoption| adoption.root_delta(&delta));
        accepted
            .then_some(())
            .ok_or_else(|| failed("its root was not accepted"))
    }

    async fn pull_services(&self, link: &Link, missing: &[ContentHash]) -> capnp::Result<()> {
        let wanted = &missing[..missing.len().min(MAX_SERVICES_PER_CALL)];
        let mut request = link.peer.services_request();
        let mut hashes = request.get().init_hashes(wanted.len() as u32);
        for (i, hash) in wanted.iter().enumerate() {
            hashes.set(i as u32, hash.to_string());
        }
        let answer = in_time(request.send().promise).await?;
        let texts = answer.get()?.get_texts()?;
        let mut accepted = 0;
        for (hash, text) in wanted.iter().zip(texts.iter()) {
            let text = text?.to_str()?;
            if text.is_empty() {
                continue;
            }
            let source = &link.name;
            accepted += usize::from(self.shared.manifest.update(
                &self.shared,
                source,
                |adoption| adoption.service_text(hash, text),
            ));
        }
        match accepted {
            0 => Err(failed("it has none of the missing service objects")),
            _ => Ok(()),
        }
    }

    /// Reads all members and drains that the other end knows, for a VM that has just started or was partitioned.
    pub(super) async fn read_fleet(&self, link: &Link, reconcile: bool) -> capnp::Result<()> {
        let mut list = Vec::new();
        for page in 0..MAX_MEMBER_PAGES {
            let from = page * MEMBERS_PER_PAGE as u32;
            let mut request = link.peer.members_request();
            request.get().set_from(from);
            let answer = in_time(request.send().promise).await?;
            let answer = answer.get()?;
            let members = answer.get_members()?;
            for member in members {
                list.push(read_member(member)?);
            }
            for drain in answer.get_drains()? {
                self.shared
                    .fleet
                    .record_drain(&self.shared, read_drain(drain)?);
            }
            if members.len() < MEMBERS_PER_PAGE as u32 {
                break;
            }
        }
        let mut membership = self.shared.fleet.membership();
        match reconcile {
            true => membership.reconcile_list(Instant::now(), &list),
            false => membership.merge_list(Instant::now(), &list),
        }
        Ok(())
    }

    /// Adds a link after its greeting.
    pub(super) fn add_link(&self, link: Rc<Link>) {
        self.links.borrow_mut().push(link);
        self.update_link_count();
    }

    /// Removes a link.
    pub(super) fn remove_link(&self, link: &Rc<Link>) {
        let mut links = self.links.borrow_mut();
        links.retain(|other| !Rc::ptr_eq(other, link));
        let left = links.iter().any(|other| other.name == link.name);
        drop(links);
        if !left {
            self.shared.fleet.membership().record_unlinked(&link.name);
        }
        self.update_link_count();
    }

    fn update_link_count(&self) {
        let links = self.links.borrow().len();
        self.shared.metrics.fleet.peer_links.set(links as i64);
    }

    /// Returns the current links.
    pub(super) fn links(&self) -> Vec<Rc<Link>> {
        self.links.borrow().clone()
    }

    /// Returns whether there is a link with the named VM.
    fn has_link(&self, name: &VmName) -> bool {
        self.links.borrow().iter().any(|link| link.name == *name)
    }

    /// Returns whether to dial a neighbour now; if so, marks it as being dialled.
    pub(super) fn begin_dial(&self, neighbour: &Neighbour) -> bool {
        if neighbour
            .name
            .as_ref()
            .is_some_and(|name| self.has_link(name))
        {
            return false;
        }
        let now = Instant::now();
        let mut dials = self.dials.borrow_mut();
        let dial = dials.entry(neighbour.address).or_insert_with(|| Dial {
            running: false,
            not_before: now,
            backoff: Backoff::new(Duration::from_millis(200), Duration::from_secs(5)),
        });
        if dial.running || dial.not_before > now {
            return false;
        }
        dial.running = true;
        true
    }

    /// Records how a dial ended.
    pub(super) fn end_dial(&self, neighbour: &Neighbour, end: LinkEnd) {
        let now = Instant::now();
        let mut dials = self.dials.borrow_mut();
        if let Some(dial) = dials.get_mut(&neighbour.address) {
            dial.running = false;
            if end.was_established() {
                dial.backoff.reset();
            }
            dial.not_before = now + dial.backoff.next_delay(&mut fastrand::Rng::new());
        }
        // Otherwise the address of every replaced VM would stay here for ever.
        dials.retain(|_, dial| dial.running || now < dial.not_before + Duration::from_secs(60));
        drop(dials);
        if !end.was_established() {
            let mut membership = self.shared.fleet.membership();
            membership.record_unreachable(now, neighbour.address);
        }
        self.record_link_end(end);
    }

    /// Returns whether a link that this VM opened may end: the other end is no longer a neighbour, or both ends opened
    /// a link. Of two such links, both ends drop the one that the VM with the greater name opened.
    pub(super) fn is_redundant(&self, link: &Rc<Link>) -> bool {
        let twin = |other: &Rc<Link>| other.name == link.name && !Rc::ptr_eq(other, link);
        let gives_up = self.shared.vm.name > link.name;
        if gives_up && self.links.borrow().iter().any(twin) {
            return true;
        }
        let neighbours = self.shared.fleet.membership().neighbours(Instant::now());
        !neighbours
            .iter()
            .any(|n| n.name.as_ref() == Some(&link.name))
    }

    /// Forwards a peer's load notes to the dispatch thread; they are dropped if its channel is full, as the least
    /// important messages.
    pub(super) fn forward_notes(&self, notes: PeerNotes) {
        let metrics = &self.shared.metrics.fleet;
        metrics.count_notes("received", notes.notes.len());
        if self
            .shared
            .dispatch
            .try_send(Message::NotesReceived(notes))
            .is_err()
        {
            self.shared.metrics.fleet.peer_over_budget.inc();
        }
    }

    /// Counts the end of a link.
    pub(super) fn record_link_end(&self, end: LinkEnd) {
        let label = end.label();
        self.shared.metrics.fleet.count_link_end(label);
        tracing::debug!("peer: a link ended: {end}.");
    }

    /// Returns whether the byte budget allows optional messages.
    pub(super) fn has_budget(&self) -> bool {
        self.budget.borrow_mut().has_bytes(&self.shared)
    }

    /// Announces to the linked peers that this VM leaves the fleet.
    pub(super) async fn announce_leave(self: &Rc<Self>) {
        self.shared.fleet.membership().leave();
        send_heartbeats(self, &self.links()).await;
    }
}

/// Waits for a peer's answer at most [`CALL_TIMEOUT`]: a half-open connection never answers.
pub(super) async fn in_time<T>(
    promise: impl Future<Output = capnp::Result<T>>,
) -> capnp::Result<T> {
    match tokio::time::timeout(CALL_TIMEOUT, promise).await {
        Ok(answer) => answer,
        Err(_) => Err(failed("no answer in time")),
    }
}

fn failed(why: &str) -> capnp::Error {
    capnp::Error::failed(why.into())
}
