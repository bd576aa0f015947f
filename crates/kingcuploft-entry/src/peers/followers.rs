//! The VMs that this one feeds, and what waits to be written to them.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use kingcuploft::entry::configuration::ConfigurationVersion;
use kingcuploft::entry::configuration_change::ConfigurationChange;
use kingcuploft::entry::dissemination::{self, Admission, FollowerLoad};
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::{AvailabilityZone, VmName};
use tokio::sync::{Notify, Semaphore, mpsc};

use super::frame::{
    FIRST_VERSION_WITH_EVACUATIONS, FIRST_VERSION_WITH_NOTICES, Frame, ProtocolVersion,
};

/// How many frames may wait for one follower; one that is so far behind is better off alone.
const MAX_QUEUED_FRAMES: usize = 256;

/// How many bytes may.
const MAX_QUEUED_BYTES: usize = 512 * 1024;

/// How many followers are written long lines at once: the first of them tell others while the last still wait.
const MAX_LONG_WRITES: usize = 3;

/// What is written to several followers.
pub type Line = Rc<Vec<u8>>;

/// What is told to a follower next.
#[derive(Clone, Debug)]
pub enum Outgoing {
    /// A line.
    Line(Line),
    /// That this VM is alive; the line says so to one that does not understand the short word for it.
    Alive(Line),
    /// That a version of the configuration exists.
    NewerVersion(ConfigurationVersion),
    /// What leads from its configuration to the one in force.
    Configuration,
    /// A line that VMs understand from this release on.
    SinceVersion(ProtocolVersion, Line),
}

/// What waits to be told to one follower.
#[derive(Debug)]
pub struct Queue {
    waiting: mpsc::Receiver<Outgoing>,
    bytes: Rc<Cell<usize>>,
}

impl Queue {
    /// Returns what is told next, or `None` once the follower is let go.
    pub async fn next(&mut self) -> Option<Outgoing> {
        let next = self.waiting.recv().await;
        self.subtract_bytes(next.as_ref());
        next
    }

    /// Forgets all that waits.
    pub fn clear(&mut self) {
        while let Ok(outgoing) = self.waiting.try_recv() {
            self.subtract_bytes(Some(&outgoing));
        }
    }

    fn subtract_bytes(&self, outgoing: Option<&Outgoing>) {
        if let Some(
            Outgoing::Line(line) | Outgoing::Alive(line) | Outgoing::SinceVersion(_, line),
        ) = outgoing
        {
            self.bytes.set(self.bytes.get() - line.len());
        }
    }
}

/// Tells one follower from the others.
type FollowerId = u64;

#[derive(Debug)]
struct Follower {
    id: FollowerId,
    fed: FollowerLoad,
    queue: mpsc::Sender<Outgoing>,
    waiting_bytes: Rc<Cell<usize>>,
}

impl Follower {
    /// Has something told; returns whether there was room.
    fn enqueue(&self, outgoing: &Outgoing) -> bool {
        let bytes = match outgoing {
            Outgoing::Line(line) | Outgoing::Alive(line) | Outgoing::SinceVersion(_, line) => {
                line.len()
            }
            Outgoing::NewerVersion(_) | Outgoing::Configuration => 0,
        };
        let waiting = self.waiting_bytes.get();
        let has_room = waiting == 0 || waiting + bytes <= MAX_QUEUED_BYTES;
        if !has_room || self.queue.try_send(outgoing.clone()).is_err() {
            let vm = &self.fed.vm.name;
            tracing::info!(event = "follower_dropped", %vm, waiting_bytes = waiting);
            return false;
        }
        self.waiting_bytes.set(waiting + bytes);
        true
    }
}

/// A change, by the versions that it leads from and to.
type ChangeKey = (Option<ConfigurationVersion>, ConfigurationVersion);

/// The VMs that this one feeds.
#[derive(Debug)]
pub struct Followers {
    all: RefCell<Vec<Follower>>,
    next_id: Cell<FollowerId>,
    server_snapshot: RefCell<Weak<Vec<u8>>>,
    parts: RefCell<HashMap<ChangeKey, Weak<Vec<Line>>>>,
    /// Those that may be written long lines.
    pub long_writes: Semaphore,
    /// Wakes whoever tells how many there are.
    pub changed: Notify,
}

/// What becomes of a VM that wants to be fed.
pub enum Admitted {
    /// It is fed: this link's place among the followers, and what is told to it from now on.
    Accepted(FollowerId, Queue),
    /// Another VM may feed it.
    Redirected(VmEntry),
    /// It is turned away.
    Rejected,
}

impl Default for Followers {
    fn default() -> Self {
        Self {
            all: RefCell::default(),
            next_id: Cell::new(0),
            server_snapshot: RefCell::default(),
            parts: RefCell::default(),
            long_writes: Semaphore::new(MAX_LONG_WRITES),
            changed: Notify::new(),
        }
    }
}

impl Followers {
    /// Tells all followers; one that does not keep up is dropped.
    pub fn send(&self, frame: &Frame) {
        match frame {
            Frame::Server(_) | Frame::Servers(_) | Frame::ServerGone(_) | Frame::AllServers(_) => {
                self.invalidate_server_snapshot()
            }
            _ => {}
        }
        if self.is_empty() {
            return;
        }
        self.enqueue_all(&Outgoing::Line(Rc::new(frame.to_line())));
    }

    /// Tells all followers what leads to the configuration in force, first those that tell most others.
    pub fn send_configuration(&self) {
        let mut all = self.all.borrow_mut();
        all.sort_by_key(|follower| std::cmp::Reverse(follower.fed.descendants));
        drop(all);
        self.enqueue_all(&Outgoing::Configuration);
    }

    /// Tells all followers that this VM is alive and stands where it did.
    pub fn send_alive(&self, standing: &Frame) {
        self.enqueue_all(&Outgoing::Alive(Rc::new(standing.to_line())));
    }

    /// Tells all followers that understand it of notices.
    pub fn send_notices(&self, notices: &Frame) {
        self.send_since(FIRST_VERSION_WITH_NOTICES, notices);
    }

    /// Tells all followers that understand it which zones are evacuated.
    pub fn send_evacuations(&self, evacuations: &Frame) {
        self.send_since(FIRST_VERSION_WITH_EVACUATIONS, evacuations);
    }

    /// Tells all followers that understand it of the store's era.
    pub fn send_era(&self, era: &Frame) {
        self.send_since(FIRST_VERSION_WITH_EVACUATIONS, era);
    }

    fn send_since(&self, release: ProtocolVersion, frame: &Frame) {
        if !self.is_empty() {
            self.enqueue_all(&Outgoing::SinceVersion(release, Rc::new(frame.to_line())));
        }
    }

    /// Tells all followers that a version of the configuration exists.
    pub fn send_newer_version(&self, version: ConfigurationVersion) {
        self.enqueue_all(&Outgoing::NewerVersion(version));
    }

    fn enqueue_all(&self, outgoing: &Outgoing) {
        let mut all = self.all.borrow_mut();
        let before = all.len();
        all.retain(|follower| follower.enqueue(outgoing));
        if all.len() < before {
            self.changed.notify_waiters();
        }
    }

    /// Returns the account of all backend servers, shared by the followers that join before the next
    /// change: when all VMs of a zone start together, a copy for each is more than a small VM has.
    pub fn server_snapshot(&self, write: impl FnOnce() -> Vec<u8>) -> Line {
        let mut shared = self.server_snapshot.borrow_mut();
        if let Some(server_snapshot) = shared.upgrade() {
            return server_snapshot;
        }
        let server_snapshot = Rc::new(write());
        *shared = Rc::downgrade(&server_snapshot);
        server_snapshot
    }

    /// Returns the lines that tell a change, shared by the followers that are told it together.
    pub fn change_lines(&self, change: &ConfigurationChange) -> Rc<Vec<Line>> {
        let mut shared = self.parts.borrow_mut();
        let key = (change.from, change.to);
        if let Some(parts) = shared.get(&key).and_then(Weak::upgrade) {
            return parts;
        }
        let parts = change.parts().into_iter();
        let lines = parts.map(|part| Rc::new(Frame::Part(Box::new(part)).to_line()));
        let lines = Rc::new(lines.collect());
        shared.retain(|_, parts| parts.strong_count() > 0);
        shared.insert(key, Rc::downgrade(&lines));
        lines
    }

    /// Returns the most bytes that wait for one follower.
    pub fn max_queued_bytes(&self) -> usize {
        let all = self.all.borrow();
        let waiting = all.iter().map(|follower| follower.waiting_bytes.get());
        waiting.max().unwrap_or(0)
    }

    /// Takes note that the account is no longer true.
    pub fn invalidate_server_snapshot(&self) {
        self.server_snapshot.take();
    }

    /// Returns whether nobody follows.
    pub fn is_empty(&self) -> bool {
        self.all.borrow().is_empty()
    }

    /// Returns how many VMs are fed at first hand.
    pub fn len(&self) -> usize {
        self.all.borrow().len()
    }

    /// Returns how many VMs of a zone are fed at first or second hand.
    pub fn descendants(&self, zone: &AvailabilityZone) -> u32 {
        dissemination::descendants(zone, &self.fed())
    }

    /// Returns the VMs of a zone that are fed at first hand.
    pub fn vms(&self, zone: &AvailabilityZone) -> Vec<VmEntry> {
        let all = self.all.borrow();
        let vms = all.iter().map(|follower| follower.fed.vm.clone());
        vms.filter(|vm| vm.zone == *zone).collect()
    }

    /// Forgets the followers without closing their links, as a VM that froze does.
    pub fn forget_without_closing(&self) {
        std::mem::forget(self.all.take());
    }

    /// Ends the links to all followers: another VM reads from now on.
    pub fn disconnect_all(&self) {
        self.all.take();
        self.changed.notify_waiters();
    }

    /// Decides about a VM that wants to be fed, of which so many are fed already. What is told from now on queues up
    /// for one that is taken in.
    pub fn admit(
        &self,
        vm: VmEntry,
        below: u32,
        zone: &AvailabilityZone,
        path: &[VmName],
    ) -> Admitted {
        // A VM whose link broke comes back before its old link is seen to have ended.
        self.all
            .borrow_mut()
            .retain(|follower| follower.fed.vm.name != vm.name);
        match dissemination::admit(&vm, zone, path, &self.fed()) {
            Admission::Accept => self.add(vm, below),
            Admission::Redirect(at) => self.redirect(at),
            Admission::Reject => Admitted::Rejected,
        }
    }

    fn add(&self, vm: VmEntry, below: u32) -> Admitted {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let waiting_bytes = Rc::new(Cell::new(0));
        let id = self.next_id.replace(self.next_id.get() + 1);
        let follower = Follower {
            id,
            fed: FollowerLoad {
                vm,
                descendants: below,
                redirected: 0,
            },
            queue: sender,
            waiting_bytes: waiting_bytes.clone(),
        };
        self.all.borrow_mut().push(follower);
        self.changed.notify_waiters();
        let queue = Queue {
            waiting: receiver,
            bytes: waiting_bytes,
        };
        Admitted::Accepted(id, queue)
    }

    fn redirect(&self, at: usize) -> Admitted {
        let mut all = self.all.borrow_mut();
        let Some(follower) = all.get_mut(at) else {
            return Admitted::Rejected;
        };
        follower.fed.redirected += 1;
        Admitted::Redirected(follower.fed.vm.clone())
    }

    /// Takes in how many VMs are fed through a follower.
    pub fn set_descendants(&self, id: FollowerId, below: u32) {
        let mut all = self.all.borrow_mut();
        if let Some(follower) = all.iter_mut().find(|follower| follower.id == id) {
            follower.fed.descendants = below;
            follower.fed.redirected = 0;
        }
        drop(all);
        self.changed.notify_waiters();
    }

    /// Takes in that the link to a follower has ended.
    pub fn remove(&self, id: FollowerId) {
        self.all.borrow_mut().retain(|follower| follower.id != id);
        self.changed.notify_waiters();
    }

    fn fed(&self) -> Vec<FollowerLoad> {
        let all = self.all.borrow();
        all.iter().map(|follower| follower.fed.clone()).collect()
    }
}
