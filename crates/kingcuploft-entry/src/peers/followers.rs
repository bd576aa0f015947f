//! The followers that this VM feeds, and the queue of what is to be written to each.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use kingcuploft::entry::configuration::ConfigurationVersion;
use kingcuploft::entry::configuration_change::ConfigurationChange;
use kingcuploft::entry::dissemination::{self, Admission, FollowerLoad};
use kingcuploft::entry::vm_entry::VmEntry;
use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::{AvailabilityZone, BackendServerName, VmName};
use tokio::sync::{Notify, Semaphore, mpsc};

pub use super::follower_queue::{Line, Outgoing, Queue};
use super::frame::{
    FIRST_VERSION_WITH_EVACUATIONS, FIRST_VERSION_WITH_NOTICES, FIRST_VERSION_WITH_RETURNS,
    FIRST_VERSION_WITH_SERVERS_GONE, Frame, ProtocolVersion,
};

/// The most frames in the queue of one follower. A follower that is further behind is dropped: it syncs sooner from
/// another feeder or from the store.
const MAX_QUEUED_FRAMES: usize = 256;

/// The most bytes in the queue of one follower beside its longest entry: a table of all servers is longer than any fixed
/// bound, and must not drop all followers as soon as something follows it.
const MAX_QUEUED_BYTES: usize = 512 * 1024;

/// The most long writes at a time. Followers that are written first already feed others while the last still wait.
const MAX_LONG_WRITES: usize = 3;

/// Identifies the link to a follower.
type FollowerId = u64;

#[derive(Debug)]
struct Follower {
    id: FollowerId,
    load: FollowerLoad,
    queue: mpsc::Sender<Outgoing>,
    queued_bytes: Rc<Cell<usize>>,
    /// The bytes of the longest entry since the queue was last empty.
    longest_bytes: Cell<usize>,
}

impl Follower {
    /// Queues an entry; returns whether there was room for it.
    fn enqueue(&self, outgoing: &Outgoing) -> bool {
        let bytes = outgoing.bytes();
        let queued = self.queued_bytes.get();
        let longest = match queued {
            0 => bytes,
            _ => self.longest_bytes.get().max(bytes),
        };
        let has_room = (queued + bytes).saturating_sub(longest) <= MAX_QUEUED_BYTES;
        if !has_room || self.queue.try_send(outgoing.clone()).is_err() {
            let vm = &self.load.vm.name;
            tracing::info!(event = "follower_dropped", %vm, waiting_bytes = queued);
            return false;
        }
        self.queued_bytes.set(queued + bytes);
        self.longest_bytes.set(longest);
        true
    }
}

/// A change of the configuration, by the versions that it leads from and to.
type ChangeKey = (Option<ConfigurationVersion>, ConfigurationVersion);

/// The followers of this VM.
#[derive(Debug)]
pub struct Followers {
    all: RefCell<Vec<Follower>>,
    next_id: Cell<FollowerId>,
    server_snapshot: RefCell<Weak<Vec<u8>>>,
    server_parts: RefCell<Weak<Vec<Line>>>,
    lines_by_change: RefCell<HashMap<ChangeKey, Weak<Vec<Line>>>>,
    /// The permits for long writes.
    pub long_writes: Semaphore,
    /// Notified when a follower joins or leaves, or the number of VMs fed through one changes.
    pub changed: Notify,
}

/// The decision about a VM that asks to be fed.
pub enum Admitted {
    /// It is fed: the id of its link, and the queue of what is to be written to it from now on.
    Accepted(FollowerId, Queue),
    /// It is redirected to a follower of this VM.
    Redirected(VmEntry),
    /// It is rejected.
    Rejected,
}

impl Default for Followers {
    fn default() -> Self {
        Self {
            all: RefCell::default(),
            next_id: Cell::new(0),
            server_snapshot: RefCell::default(),
            server_parts: RefCell::default(),
            lines_by_change: RefCell::default(),
            long_writes: Semaphore::new(MAX_LONG_WRITES),
            changed: Notify::new(),
        }
    }
}

impl Followers {
    /// Sends a frame to all followers; drops those whose queue is full.
    pub fn send(&self, frame: &Frame) {
        match frame {
            Frame::Server(_)
            | Frame::Servers(_)
            | Frame::ServerGone(_)
            | Frame::ServersGone(_)
            | Frame::AllServers(_) => self.invalidate_server_snapshot(),
            _ => {}
        }
        if self.is_empty() {
            return;
        }
        self.enqueue_all(&Outgoing::Line(Rc::new(frame.to_line())));
    }

    /// Tells all followers that the entries of these servers were removed.
    pub fn send_servers_gone(&self, names: &[BackendServerName]) {
        if names.is_empty() {
            return;
        }
        self.invalidate_server_snapshot();
        if self.is_empty() {
            return;
        }
        let single = |name: &BackendServerName| Frame::ServerGone(name.clone()).to_line();
        let line = match names {
            [name] => single(name),
            several => Frame::ServersGone(several.to_vec()).to_line(),
        };
        self.enqueue_all(&Outgoing::ByVersion {
            since: FIRST_VERSION_WITH_SERVERS_GONE,
            line: Rc::new(line),
            before: Rc::new(names.iter().flat_map(single).collect()),
        });
    }

    /// Sends the latest configuration to all followers, first to those through which most others are fed.
    pub fn send_configuration(&self) {
        let mut all = self.all.borrow_mut();
        all.sort_by_key(|follower| std::cmp::Reverse(follower.load.descendants));
        drop(all);
        self.enqueue_all(&Outgoing::Configuration);
    }

    /// Sends all followers a heartbeat of this VM, whose status has not changed.
    pub fn send_alive(&self, status: &Frame) {
        self.enqueue_all(&Outgoing::Alive(Rc::new(status.to_line())));
    }

    /// Sends notices to all followers that understand them.
    pub fn send_notices(&self, notices: &Frame) {
        self.send_since(FIRST_VERSION_WITH_NOTICES, notices);
    }

    /// Sends the evacuated zones to all followers that understand them.
    pub fn send_evacuations(&self, evacuations: &Frame) {
        self.send_since(FIRST_VERSION_WITH_EVACUATIONS, evacuations);
    }

    /// Sends the store's era to all followers that understand it.
    pub fn send_era(&self, era: &Frame) {
        self.send_since(FIRST_VERSION_WITH_EVACUATIONS, era);
    }

    /// Tells all followers that an outage of the store ended this long ago; those of earlier releases that it ends now.
    pub fn send_store_return(&self, ago: Duration) {
        self.enqueue_all(&Outgoing::ByVersion {
            since: FIRST_VERSION_WITH_RETURNS,
            line: Rc::new(Frame::StoreReturnedAgo(ago.as_millis() as u64).to_line()),
            before: Rc::new(Frame::StoreReturned.to_line()),
        });
    }

    fn send_since(&self, version: ProtocolVersion, frame: &Frame) {
        if !self.is_empty() {
            self.enqueue_all(&Outgoing::SinceVersion(version, Rc::new(frame.to_line())));
        }
    }

    /// Announces a newer version of the configuration to all followers.
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

    /// Returns the encoded entries of all backend servers, shared by the followers that join before the next change.
    ///
    /// Load pattern: all VMs of a zone start together. A copy for each is more memory than a small VM has.
    pub fn server_snapshot(&self, write: impl FnOnce() -> Vec<u8>) -> Line {
        let mut shared = self.server_snapshot.borrow_mut();
        if let Some(server_snapshot) = shared.upgrade() {
            return server_snapshot;
        }
        let server_snapshot = Rc::new(write());
        *shared = Rc::downgrade(&server_snapshot);
        server_snapshot
    }

    /// Returns the encoded entries of all backend servers in parts, shared like [`Self::server_snapshot`].
    pub fn server_parts(&self, write: impl FnOnce() -> Vec<Line>) -> Rc<Vec<Line>> {
        let mut shared = self.server_parts.borrow_mut();
        if let Some(parts) = shared.upgrade() {
            return parts;
        }
        let parts = Rc::new(write());
        *shared = Rc::downgrade(&parts);
        parts
    }

    /// Returns the encoded parts of a change, shared by the followers that it is sent to at the same time.
    pub fn change_lines(&self, change: &ConfigurationChange) -> Rc<Vec<Line>> {
        let mut shared = self.lines_by_change.borrow_mut();
        let key = (change.from, change.to);
        if let Some(lines) = shared.get(&key).and_then(Weak::upgrade) {
            return lines;
        }
        let parts = change.parts().into_iter();
        let lines = parts.map(|part| Rc::new(Frame::Part(Box::new(part)).to_line()));
        let lines = Rc::new(lines.collect());
        shared.retain(|_, lines| lines.strong_count() > 0);
        shared.insert(key, Rc::downgrade(&lines));
        lines
    }

    /// Returns how many bytes the longest queue of a follower holds.
    pub fn max_queued_bytes(&self) -> usize {
        let all = self.all.borrow();
        let queued = all.iter().map(|follower| follower.queued_bytes.get());
        queued.max().unwrap_or(0)
    }

    /// Drops the encoded entries of the backend servers, as they have changed.
    pub fn invalidate_server_snapshot(&self) {
        self.server_snapshot.take();
        self.server_parts.take();
    }

    /// Returns whether this VM has no followers.
    pub fn is_empty(&self) -> bool {
        self.all.borrow().is_empty()
    }

    /// Returns how many followers this VM has.
    pub fn len(&self) -> usize {
        self.all.borrow().len()
    }

    /// Returns how many VMs of a zone are fed through this one, directly or indirectly.
    pub fn descendants(&self, zone: &AvailabilityZone) -> u32 {
        dissemination::descendants(zone, &self.follower_loads())
    }

    /// Returns the followers that are VMs of a zone.
    pub fn vms(&self, zone: &AvailabilityZone) -> Vec<VmEntry> {
        let all = self.all.borrow();
        let vms = all.iter().map(|follower| follower.load.vm.clone());
        vms.filter(|vm| vm.zone == *zone).collect()
    }

    /// Forgets the followers without closing their links, as if this VM had frozen.
    pub fn forget_without_closing(&self) {
        std::mem::forget(self.all.take());
    }

    /// Closes the links to all followers, as another VM reads the store from now on.
    pub fn disconnect_all(&self) {
        self.all.take();
        self.changed.notify_waiters();
    }

    /// Decides about a VM that asks to be fed, and through which `descendants` VMs are fed already. For one that is
    /// admitted, all that is sent from now on is queued.
    pub fn admit(
        &self,
        vm: VmEntry,
        descendants: u32,
        zone: &AvailabilityZone,
        path: &[VmName],
    ) -> Admitted {
        // A VM whose link broke may reconnect before the end of its old link is noticed.
        self.all
            .borrow_mut()
            .retain(|follower| follower.load.vm.name != vm.name);
        match dissemination::admit(&vm, zone, path, &self.follower_loads()) {
            Admission::Accept => self.add(vm, descendants),
            Admission::Redirect(index) => self.redirect(index),
            Admission::Reject => Admitted::Rejected,
        }
    }

    fn add(&self, vm: VmEntry, descendants: u32) -> Admitted {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let queued_bytes = Rc::new(Cell::new(0));
        let id = self.next_id.replace(self.next_id.get() + 1);
        let follower = Follower {
            id,
            load: FollowerLoad {
                vm,
                descendants,
                redirected: 0,
            },
            queue: sender,
            queued_bytes: queued_bytes.clone(),
            longest_bytes: Cell::new(0),
        };
        self.all.borrow_mut().push(follower);
        self.changed.notify_waiters();
        let queue = Queue {
            receiver,
            queued_bytes,
        };
        Admitted::Accepted(id, queue)
    }

    fn redirect(&self, index: usize) -> Admitted {
        let mut all = self.all.borrow_mut();
        let Some(follower) = all.get_mut(index) else {
            return Admitted::Rejected;
        };
        follower.load.redirected += 1;
        Admitted::Redirected(follower.load.vm.clone())
    }

    /// Records how many VMs are fed through a follower.
    pub fn set_descendants(&self, id: FollowerId, descendants: u32) {
        let mut all = self.all.borrow_mut();
        if let Some(follower) = all.iter_mut().find(|follower| follower.id == id) {
            follower.load.descendants = descendants;
            follower.load.redirected = 0;
        }
        drop(all);
        self.changed.notify_waiters();
    }

    /// Removes a follower whose link has ended.
    pub fn remove(&self, id: FollowerId) {
        self.all.borrow_mut().retain(|follower| follower.id != id);
        self.changed.notify_waiters();
    }

    fn follower_loads(&self) -> Vec<FollowerLoad> {
        let all = self.all.borrow();
        all.iter().map(|follower| follower.load.clone()).collect()
    }
}
