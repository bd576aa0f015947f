//! Connections of callers that wait for a request. Those that have had none for longest can give way to others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::connection_state::ConnectionState;
use crate::clock;
use crate::context::Context;

/// How long a connection must be idle before it gives way: a request that its caller has sent has arrived by then.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// Connections of callers that wait for a request.
#[derive(Debug, Default)]
pub struct IdleCallers {
    waiting: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_id: Cell<u64>,
    /// How many have been told to give way and are not closed yet.
    giving_way: Cell<usize>,
    gave_way: Cell<u64>,
}

impl IdleCallers {
    /// Returns how many connections may give way.
    pub fn count(&self) -> usize {
        let waiting = self.waiting.borrow();
        idle_since(&waiting, clock::now()).count()
    }

    /// Returns how many connections have been told to give way and are not closed yet.
    pub fn giving_way(&self) -> usize {
        self.giving_way.get()
    }

    /// Returns how many connections have given way.
    pub fn gave_way(&self) -> u64 {
        self.gave_way.get()
    }

    /// Has the connections that have been idle for longest give way, so many of them.
    pub fn close(&self, count: usize) {
        for _ in 0..count {
            let longest = idle_since(&self.waiting.borrow(), clock::now()).min();
            let Some((_, id)) = longest else {
                return;
            };
            let Some(state) = self.waiting.borrow_mut().remove(&id) else {
                return;
            };
            self.giving_way.update(|count| count + 1);
            self.gave_way.update(|count| count + 1);
            state.give_way();
        }
    }
}

/// Returns the connections that may give way, and since when each has been idle.
fn idle_since(
    waiting: &BTreeMap<u64, Rc<ConnectionState>>,
    now: Instant,
) -> impl Iterator<Item = (Instant, u64)> {
    waiting.iter().filter_map(move |(id, state)| {
        let since = state.idle_since()?;
        let may_give_way = now.saturating_duration_since(since) >= MIN_IDLE;
        may_give_way.then_some((since, *id))
    })
}

/// A connection that waits for a request until this value is dropped.
#[derive(Debug)]
pub(super) struct IdleGuard {
    context: Rc<Context>,
    id: u64,
}

impl IdleGuard {
    /// Counts a connection among those that wait for a request.
    pub(super) fn count(context: &Rc<Context>, state: &Rc<ConnectionState>) -> Self {
        let callers = &context.idle_callers;
        let id = callers.next_id.get();
        callers.next_id.set(id + 1);
        callers.waiting.borrow_mut().insert(id, state.clone());
        Self {
            context: context.clone(),
            id,
        }
    }
}

impl Drop for IdleGuard {
    fn drop(&mut self) {
        let callers = &self.context.idle_callers;
        let was_waiting = callers.waiting.borrow_mut().remove(&self.id).is_some();
        if !was_waiting {
            callers.giving_way.update(|count| count - 1);
        }
    }
}
