//! The memory that bodies of requests may take, over all connections.
//!
//! Failure: many callers send long bodies at once, or slowly; the VM keeps all of them, exceeds its memory
//! and is killed with every request that it has. The guard: bodies have a bounded part of the memory; one
//! that does not fit is refused as not run before it is read on.

use std::cell::Cell;
use std::rc::Rc;

/// The part of the VM's memory that bodies may take together. The rest is for answers, which are a few
/// times as many bytes, and for what the VM knows.
const VM_MEMORY_SHARE: f64 = 0.25;

/// The bytes that bodies take now.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    max_bytes: usize,
    reserved_bytes: Rc<Cell<usize>>,
}

impl BodyMemory {
    /// Begins with an empty room for a VM with so much memory.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            max_bytes: (memory_bytes as f64 * VM_MEMORY_SHARE) as usize,
            reserved_bytes: Rc::default(),
        }
    }

    /// Begins to hold a body, of no bytes yet.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation {
            memory: self.clone(),
            bytes: 0,
        }
    }

    /// Returns how many bytes are held.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.get()
    }
}

/// The bytes of one body, until it is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyReservation {
    /// Grows to so many bytes; returns whether there is room for them.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let reserved_bytes = self.memory.reserved_bytes.get() + more;
        if reserved_bytes > self.memory.max_bytes {
            return false;
        }
        self.memory.reserved_bytes.set(reserved_bytes);
        self.bytes += more;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let reserved_bytes = self.memory.reserved_bytes.get();
        self.memory
            .reserved_bytes
            .set(reserved_bytes.saturating_sub(self.bytes));
    }
}
