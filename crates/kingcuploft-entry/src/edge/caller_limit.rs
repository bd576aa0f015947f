//! The bound on connections of callers.
//!
//! Failure: callers open more connections than the process may have descriptors; the VM can't open any to servers, to the
//! store and to other VMs, and does not hear the readiness check. The guard: a share of the descriptors stays for these;
//! idle connections give way to a caller beyond it, and where there are none it is refused at once, unread, and tries
//! another VM.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kingcuploft::entry::descriptors::{DescriptorAccount, DescriptorUse, Relief};

use crate::clock;
use crate::context::Context;
use crate::upstream::Upstream;

/// How often it is logged that descriptors are short.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// How many connections callers may have, and how many were refused or gave way.
#[derive(Debug)]
pub struct CallerLimit {
    account: DescriptorAccount,
    refused: Cell<u64>,
    server_connections_closed: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl CallerLimit {
    /// Creates the limit of a process that may have so many descriptors.
    pub fn new(max_descriptors: usize) -> Self {
        Self {
            account: DescriptorAccount::new(max_descriptors),
            refused: Cell::new(0),
            server_connections_closed: Cell::new(0),
            logged_at: Cell::new(None),
        }
    }

    /// Returns whether one more caller may connect, for which idle connections give way where descriptors are short; counts
    /// those who may not.
    pub fn admits(&self, context: &Context) -> bool {
        let callers = context.held_by_callers();
        if self
            .account
            .has_room(callers, context.server_connections.get())
        {
            return true;
        }
        let held = context.descriptor_use();
        let relief = self.account.relief(&held);
        if !relief.admits {
            self.refused.update(|refused| refused + 1);
        }
        self.close(context, &relief);
        self.log(context, &held);
        relief.admits
    }

    fn close(&self, context: &Context, relief: &Relief) {
        context.idle_callers.close(relief.callers);
        if relief.server_connections > 0 {
            let closed = context.close_idle_server_connections(relief.server_connections);
            self.server_connections_closed
                .update(|before| before + closed as u64);
        }
    }

    /// Returns how many descriptors connections may hold before idle ones give way.
    pub fn max_used(&self) -> usize {
        self.account.max_used()
    }

    /// Returns how many idle connections to servers were closed as descriptors were short.
    pub fn server_connections_closed(&self) -> u64 {
        self.server_connections_closed.get()
    }

    /// Returns how many callers were refused.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    fn log(&self, context: &Context, held: &DescriptorUse) {
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| clock::since(at) < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(clock::now()));
        tracing::warn!(
            event = "descriptors_short",
            callers = held.callers,
            idle_callers = held.idle_callers,
            server_connections = held.server_connections,
            idle_server_connections = held.idle_server_connections,
            refused = self.refused(),
            callers_closed = context.idle_callers.gave_way(),
            server_connections_closed = self.server_connections_closed(),
        );
    }
}

impl Context {
    /// Returns how many connections callers have; those that are giving way don't count.
    fn held_by_callers(&self) -> usize {
        let open = self.caller_connections.get();
        open.saturating_sub(self.idle_callers.giving_way())
    }

    /// Returns how many descriptors connections hold.
    pub fn descriptor_use(&self) -> DescriptorUse {
        let upstreams = self.all_upstreams().into_iter();
        DescriptorUse {
            callers: self.held_by_callers(),
            idle_callers: self.idle_callers.count(),
            server_connections: self.server_connections.get(),
            idle_server_connections: upstreams.map(|u| u.idle_connection_count()).sum(),
        }
    }

    /// Closes so many idle connections to servers, one of each server in turn and those in other zones first; returns how many
    /// there were.
    fn close_idle_server_connections(&self, wanted: usize) -> usize {
        let mut upstreams = self.all_upstreams();
        upstreams.sort_by_key(|upstream| upstream.near);
        let mut closed = 0;
        while closed < wanted {
            let open = upstreams
                .iter()
                .filter(|u| Upstream::close_idle_connection(u));
            match open.take(wanted - closed).count() {
                0 => return closed,
                more => closed += more,
            }
        }
        closed
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
