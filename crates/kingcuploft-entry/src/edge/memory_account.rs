//! Bounds on the memory of requests, over all connections.
//!
//! Failure: many callers send long bodies at once, or slowly, or more requests than servers can take; the VM keeps all of
//! them, exceeds its memory and is killed with every request that it has. The guard: bodies, heads in receipt, and the tasks
//! that serve requests may each take a bounded share of the memory; what does not fit is refused as not run before more of
//! it is read. Heads that stall take nothing from requests that are whole.

use std::cell::Cell;
use std::rc::Rc;

/// The share of the VM's memory that request bodies may take together. Answers have a share of their own, and the rest is
/// for the VM's own state.
const BODY_SHARE: f64 = 0.25;

/// The share that long heads in receipt may take together.
const HEAD_SHARE: f64 = 0.125;

/// The share that requests without their bodies, and the tasks that serve them, may take together.
const REQUEST_SHARE: f64 = 0.125;

/// Memory that is reserved for one purpose, and its bound.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    max_bytes: usize,
    reserved_bytes: Rc<Cell<usize>>,
}

impl MemoryAccount {
    /// Creates the account of request bodies, for a VM with this much memory.
    pub fn of_bodies(vm_memory_bytes: usize) -> Self {
        Self::with_share(vm_memory_bytes, BODY_SHARE)
    }

    /// Creates the account of long heads in receipt, for a VM with this much memory.
    pub fn of_heads(vm_memory_bytes: usize) -> Self {
        Self::with_share(vm_memory_bytes, HEAD_SHARE)
    }

    /// Creates the account of requests without their bodies, for a VM with this much memory.
    pub fn of_requests(vm_memory_bytes: usize) -> Self {
        Self::with_share(vm_memory_bytes, REQUEST_SHARE)
    }

    fn with_share(vm_memory_bytes: usize, share: f64) -> Self {
        Self {
            max_bytes: (vm_memory_bytes as f64 * share) as usize,
            reserved_bytes: Rc::default(),
        }
    }

    /// Starts a reservation of zero bytes.
    pub fn reserve(&self) -> Reservation {
        Reservation {
            account: self.clone(),
            bytes: 0,
        }
    }

    /// Returns how many bytes are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.get()
    }
}

/// Bytes of an account; released when this value is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: MemoryAccount,
    bytes: usize,
}

impl Reservation {
    /// Grows the reservation to `bytes`; returns `false` if the bound does not allow it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let reserved_bytes = self.account.reserved_bytes.get() + more;
        if reserved_bytes > self.account.max_bytes {
            return false;
        }
        self.account.reserved_bytes.set(reserved_bytes);
        self.bytes += more;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reserved_bytes = self.account.reserved_bytes.get();
        self.account
            .reserved_bytes
            .set(reserved_bytes.saturating_sub(self.bytes));
    }
}
