//! The bound on the memory of request bodies, over all connections.
//!
//! Failure: many callers send long bodies at once, or slowly; the VM keeps all of them, exceeds its memory and is
//! killed with every request that it has. The guard: bodies may take a bounded share of the memory; a body that does
//! not fit is refused as not run before more of it is read.

use std::cell::Cell;
use std::rc::Rc;

/// The share of the VM's memory that request bodies may take together. Answers have a share of their own, and the rest is
/// for the VM's own state.
const VM_MEMORY_SHARE: f64 = 0.25;

/// The memory that is reserved for request bodies, and its bound.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    max_bytes: usize,
    reserved_bytes: Rc<Cell<usize>>,
}

impl BodyMemory {
    /// Creates an empty account for a VM with this much memory.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            max_bytes: (memory_bytes as f64 * VM_MEMORY_SHARE) as usize,
            reserved_bytes: Rc::default(),
        }
    }

    /// Starts a reservation of zero bytes for one body.
    pub fn reserve(&self) -> BodyReservation {
        BodyReservation {
            memory: self.clone(),
            bytes: 0,
        }
    }

    /// Returns how many bytes are reserved for all bodies.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.get()
    }
}

/// The bytes reserved for one body; released when this value is dropped.
#[derive(Debug)]
pub struct BodyReservation {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyReservation {
    /// Grows the reservation to `bytes`; returns `false` if the bound does not allow it.
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
