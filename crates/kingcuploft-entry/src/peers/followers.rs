//! The VMs that this one feeds, and what waits to be written to them.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use kingcuploft::entry::feeding::{self, Admission, Fed};
use kingcuploft::entry::readers::VmEntry;
use kingcuploft::world::ids::{AvailabilityZone, VmName};
use tokio::sync::{Notify, mpsc};

use super::frame::Frame;

/// How many frames may wait for one follower; one that is so far behind is better off alone.
const MOST_WAITING: usize = 256;

/// What is written to several followers.
pub type Line = Rc<Vec<u8>>;

/// Tells one follower from the others.
type FollowerId = u64;

#[derive(Debug)]
struct Follower {
    id: FollowerId,
    fed: Fed,
    queue: mpsc::Sender<Line>,
}

/// The VMs that this one feeds.
#[derive(Debug, Default)]
pub struct Followers {
    all: RefCell<Vec<Follower>>,
    next_id: Cell<FollowerId>,
    account: RefCell<Weak<Vec<u8>>>,
    /// Wakes whoever tells how many there are.
    pub changed: Notify,
}

/// What becomes of a VM that wants to be fed.
pub enum Admitted {
    /// It is fed: this link's place among the followers, and what is told to it from now on.
    Fed(FollowerId, mpsc::Receiver<Line>),
    /// Another VM may feed it.
    Elsewhere(VmEntry),
    /// It is turned away.
    TurnedAway,
}

impl Followers {
    /// Tells all followers; one that does not keep up is dropped.
    pub fn tell(&self, frame: &Frame) {
        match frame {
            Frame::Configuration(_)
            | Frame::Server(_)
            | Frame::Servers(_)
            | Frame::ServerGone(_)
            | Frame::AllServers(_) => self.forget_account(),
            _ => {}
        }
        if self.is_empty() {
            return;
        }
        let line = Rc::new(frame.to_line());
        let mut all = self.all.borrow_mut();
        let before = all.len();
        all.retain(|follower| {
            let sent = follower.queue.try_send(line.clone()).is_ok();
            if !sent {
                tracing::info!(event = "follower_dropped", vm = %follower.fed.vm.name);
            }
            sent
        });
        if all.len() < before {
            self.changed.notify_waiters();
        }
    }

    /// Returns the account of all that the store holds, shared by the followers that join before the next
    /// change: when all VMs of a zone start together, a copy for each is more than a small VM has.
    pub fn account(&self, write: impl FnOnce() -> Vec<u8>) -> Line {
        let mut shared = self.account.borrow_mut();
        if let Some(account) = shared.upgrade() {
            return account;
        }
        let account = Rc::new(write());
        *shared = Rc::downgrade(&account);
        account
    }

    /// Takes note that the account is no longer true.
    pub fn forget_account(&self) {
        self.account.take();
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
    pub fn below(&self, zone: &AvailabilityZone) -> u32 {
        feeding::below(zone, &self.fed())
    }

    /// Returns the VMs of a zone that are fed at first hand.
    pub fn vms(&self, zone: &AvailabilityZone) -> Vec<VmEntry> {
        let all = self.all.borrow();
        let vms = all.iter().map(|follower| follower.fed.vm.clone());
        vms.filter(|vm| vm.zone == *zone).collect()
    }

    /// Forgets the followers without closing their links, as a VM that froze does.
    pub fn fall_silent(&self) {
        std::mem::forget(self.all.take());
    }

    /// Ends the links to all followers: another VM reads from now on.
    pub fn let_go(&self) {
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
        match feeding::admit(&vm, zone, path, &self.fed()) {
            Admission::Feed => self.add(vm, below),
            Admission::Elsewhere(at) => self.elsewhere(at),
            Admission::TurnAway => Admitted::TurnedAway,
        }
    }

    fn add(&self, vm: VmEntry, below: u32) -> Admitted {
        let (sender, receiver) = mpsc::channel(MOST_WAITING);
        let id = self.next_id.replace(self.next_id.get() + 1);
        let follower = Follower {
            id,
            fed: Fed {
                vm,
                below,
                sent_there: 0,
            },
            queue: sender,
        };
        self.all.borrow_mut().push(follower);
        self.changed.notify_waiters();
        Admitted::Fed(id, receiver)
    }

    fn elsewhere(&self, at: usize) -> Admitted {
        let mut all = self.all.borrow_mut();
        let Some(follower) = all.get_mut(at) else {
            return Admitted::TurnedAway;
        };
        follower.fed.sent_there += 1;
        Admitted::Elsewhere(follower.fed.vm.clone())
    }

    /// Takes in how many VMs are fed through a follower.
    pub fn has_below(&self, id: FollowerId, below: u32) {
        let mut all = self.all.borrow_mut();
        if let Some(follower) = all.iter_mut().find(|follower| follower.id == id) {
            follower.fed.below = below;
            follower.fed.sent_there = 0;
        }
        drop(all);
        self.changed.notify_waiters();
    }

    /// Takes in that the link to a follower has ended.
    pub fn left(&self, id: FollowerId) {
        self.all.borrow_mut().retain(|follower| follower.id != id);
        self.changed.notify_waiters();
    }

    fn fed(&self) -> Vec<Fed> {
        let all = self.all.borrow();
        all.iter().map(|follower| follower.fed.clone()).collect()
    }
}
