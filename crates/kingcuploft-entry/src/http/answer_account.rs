//! The account of the memory that answers of servers take, shared by all connections of the VM.

use std::cell::RefCell;
use std::rc::Rc;

use kingcuploft::entry::answer_memory::{AnswerId, AnswerMemory, Growth};
use tokio::sync::Notify;

/// An answer has no room in the account.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer has no room in the memory for answers")]
pub struct NoRoom;

#[derive(Debug)]
struct Shared {
    memory: RefCell<AnswerMemory>,
    /// Wakes answers that wait for room.
    released: Notify,
    /// Wakes answers in receipt, one of which was given up.
    given_up: Notify,
}

/// The account of the memory of answers.
#[derive(Clone, Debug)]
pub struct AnswerAccount(Rc<Shared>);

impl AnswerAccount {
    /// Creates an empty account for a VM with this much memory.
    pub fn new(vm_memory_bytes: usize) -> Self {
        Self(Rc::new(Shared {
            memory: RefCell::new(AnswerMemory::new(vm_memory_bytes)),
            released: Notify::new(),
            given_up: Notify::new(),
        }))
    }

    /// Starts the reservation of one answer.
    pub fn reserve(&self) -> AnswerReservation {
        AnswerReservation {
            id: self.0.memory.borrow_mut().begin(),
            account: self.0.clone(),
        }
    }

    /// Returns how many bytes all answers hold.
    pub fn reserved_bytes(&self) -> usize {
        self.0.memory.borrow().reserved_bytes()
    }

    /// Returns the most bytes that all answers have held at one time.
    pub fn peak_bytes(&self) -> usize {
        self.0.memory.borrow().peak_bytes()
    }
}

/// The memory reserved for one answer; released when this value is dropped.
#[derive(Debug)]
pub struct AnswerReservation {
    id: AnswerId,
    account: Rc<Shared>,
}

impl AnswerReservation {
    /// Records the announced length of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if an answer of this length never fits.
    pub fn announce(&self, length_bytes: usize) -> Result<(), NoRoom> {
        let fits = self
            .account
            .memory
            .borrow_mut()
            .announce(self.id, length_bytes);
        fits.then_some(()).ok_or(NoRoom)
    }

    /// Grows the reservation to `bytes`; waits while answers that were given up for it release their memory.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if this answer must be given up.
    pub async fn grow_to(&self, bytes: usize) -> Result<(), NoRoom> {
        loop {
            let growth = self.account.memory.borrow_mut().grow_to(self.id, bytes);
            match growth {
                Growth::Granted => return Ok(()),
                Growth::GiveUp => return Err(NoRoom),
                Growth::AwaitRelease(_) => self.account.given_up.notify_waiters(),
                Growth::AwaitEarlierRelease => {}
            }
            tokio::select! {
                () = self.account.released.notified() => {}
                () = self.given_up() => return Err(NoRoom),
            }
        }
    }

    /// Waits until this answer is given up.
    pub async fn given_up(&self) {
        while !self.account.memory.borrow().is_given_up(self.id) {
            self.account.given_up.notified().await;
        }
    }

    /// Records that the answer is complete: it is not given up any more.
    pub fn complete(&self) {
        self.account.memory.borrow_mut().complete(self.id);
    }
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        if self.account.memory.borrow_mut().release(self.id) {
            self.account.released.notify_waiters();
        }
    }
}
