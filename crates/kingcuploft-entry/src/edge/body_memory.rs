//! The memory that bodies of requests may take, over all connections.
//!
//! Failure: many callers send long bodies at once, or slowly; the VM keeps all of them, exceeds its memory
//! and is killed with every request that it has. The guard: bodies have a bounded part of the memory; one
//! that does not fit is refused as not run before it is read on.

use std::cell::Cell;
use std::rc::Rc;

/// The part of the VM's memory that bodies may take together. The rest is for answers, which are a few
/// times as many bytes, and for what the VM knows.
const PART: f64 = 0.25;

/// The bytes that bodies take now.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    most: usize,
    taken: Rc<Cell<usize>>,
}

impl BodyMemory {
    /// Begins with an empty room for a VM with so much memory.
    pub fn of(memory_bytes: usize) -> Self {
        Self {
            most: (memory_bytes as f64 * PART) as usize,
            taken: Rc::default(),
        }
    }

    /// Begins to hold a body, of no bytes yet.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation {
            room: self.clone(),
            bytes: 0,
        }
    }

    /// Returns how many bytes are held.
    pub fn reserved_bytes(&self) -> usize {
        self.taken.get()
    }
}

/// The bytes of one body, until it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    room: BodyMemory,
    bytes: usize,
}

impl BodyReservation {
    /// Grows to so many bytes; returns whether there is room for them.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let taken = self.room.taken.get() + more;
        if taken > self.room.most {
            return false;
        }
        self.room.taken.set(taken);
        self.bytes += more;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let taken = self.room.taken.get();
        self.room.taken.set(taken.saturating_sub(self.bytes));
    }
}
