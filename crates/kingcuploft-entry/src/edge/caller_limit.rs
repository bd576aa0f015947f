//! The bound on connections of callers.
//!
//! Failure: callers open more connections than the process may have descriptors; the VM can't open any to servers, to the
//! store and to other VMs, and does not hear the readiness check. The guard: a share of the descriptors stays for these;
//! a caller beyond it is refused at once, unread, and tries another VM.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::clock;
use crate::context::Context;

/// The share of the descriptors that callers may take.
const CALLER_SHARE: f64 = 0.75;

/// How often refusals are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// How many connections callers may have, and how many were refused.
#[derive(Debug)]
pub struct CallerLimit {
    max_callers: usize,
    refused: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl CallerLimit {
    /// Creates the limit of a process that may have so many descriptors.
    pub fn new(max_descriptors: usize) -> Self {
        Self {
            max_callers: (max_descriptors as f64 * CALLER_SHARE) as usize,
            refused: Cell::new(0),
            logged_at: Cell::new(None),
        }
    }

    /// Returns whether one more caller may connect while so many are connected; counts those who may not.
    pub fn admits(&self, callers: usize) -> bool {
        if callers < self.max_callers {
            return true;
        }
        self.refused.update(|refused| refused + 1);
        self.log_refusals(callers);
        false
    }

    /// Returns how many callers were refused.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    fn log_refusals(&self, callers: usize) {
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| clock::since(at) < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(clock::now()));
        let refused = self.refused();
        tracing::warn!(event = "callers_refused", callers, refused);
    }
}

/// A connection that counts among the VM's open ones until it is dropped, also by a task that panics.
#[derive(Debug)]
pub struct OpenConnection {
    context: Rc<Context>,
}

impl OpenConnection {
    /// Counts one more connection.
    pub fn count(context: &Rc<Context>) -> Self {
        context.caller_connections.update(|open| open + 1);
        Self {
            context: context.clone(),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.context.caller_connections.update(|open| open - 1);
    }
}
