//! The VMs that follow this one, and what waits to be written to them.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use tokio::sync::mpsc;

use super::frame::Frame;

/// How many frames may wait for one follower; one that is so far behind is better off alone.
const MOST_WAITING: usize = 256;

/// What is written to several followers.
pub type Line = Rc<Vec<u8>>;

/// The VMs that follow this one.
#[derive(Debug, Default)]
pub struct Followers {
    queues: RefCell<Vec<mpsc::Sender<Line>>>,
    account: RefCell<Weak<Vec<u8>>>,
}

impl Followers {
    /// Tells all followers; one that does not keep up is dropped.
    pub fn tell(&self, frame: &Frame) {
        match frame {
            Frame::Configuration(_)
            | Frame::Server(_)
            | Frame::ServerGone(_)
            | Frame::AllServers(_) => self.forget_account(),
            Frame::Standing(_)
            | Frame::Elsewhere(_)
            | Frame::Vms(_)
            | Frame::StoreReturned
            | Frame::Told => {}
        }
        if self.is_empty() {
            return;
        }
        let line = Rc::new(frame.to_line());
        let mut queues = self.queues.borrow_mut();
        queues.retain(|queue| queue.try_send(line.clone()).is_ok());
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
        self.queues.borrow().is_empty()
    }

    /// Returns how many VMs follow.
    pub fn len(&self) -> usize {
        self.queues.borrow().len()
    }

    /// Forgets the followers without closing their links, as a VM that froze does.
    pub fn fall_silent(&self) {
        std::mem::forget(self.queues.take());
    }

    /// Takes one more follower in; what is told from now on queues up for it.
    pub fn add(&self) -> mpsc::Receiver<Line> {
        let (sender, receiver) = mpsc::channel(MOST_WAITING);
        self.queues.borrow_mut().push(sender);
        receiver
    }
}
