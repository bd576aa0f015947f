//! A fair queue: the waiting requests of one priority, shared evenly among callers.
//!
//! **Load pattern:** one caller sends ten times its share, or the long jobs among short ones. **Without it** that
//! caller takes up the queue, and the others wait or are refused for it. **Grounds:** start-time fair queueing: the
//! start tag of a request is the slot time that its caller was given before it, so callers who wait share slot time
//! evenly whatever they send, and a caller that waits alone is not held back. Every operation is logarithmic in the
//! number of waiting requests. Only callers that wait are held in memory, besides a bounded, least-recently-used cache
//! of shares.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;

use lru::LruCache;

use super::admission::QueuedRequest;
use crate::world::ids::Caller;

/// A request's position in the order of service: its start tag (its caller's slot time before it, in µs), then the
/// order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    start_us: u64,
    arrival: u64,
}

/// The slot time that recent callers were given, in all priorities together: a caller that has had its share in one
/// priority is not given as much again in the next.
#[derive(Debug)]
pub struct CallerShares {
    /// The start tag of each recent caller's next request.
    next_start_us: LruCache<Caller, u64>,
    /// The virtual time: the least start tag of the waiting requests. A caller that was idle starts here, not at zero.
    virtual_time_us: u64,
}

impl CallerShares {
    /// Creates the state in which no caller was given any slot time.
    pub fn new(callers_remembered: u32) -> Self {
        Self {
            next_start_us: LruCache::new(capacity(callers_remembered)),
            virtual_time_us: 0,
        }
    }

    /// Changes how many callers are remembered.
    pub fn resize(&mut self, callers_remembered: u32) {
        self.next_start_us.resize(capacity(callers_remembered));
    }

    /// Charges a caller for a request and returns the request's start tag.
    pub fn charge(&mut self, caller: &Caller, cost_us: u64) -> u64 {
        let next = self.next_start_us.get(caller).copied();
        let start_us = next.unwrap_or_default().max(self.virtual_time_us);
        self.next_start_us
            .put(caller.clone(), start_us + cost_us.max(1));
        start_us
    }

    /// Takes back the charge of a request that is not served.
    pub fn refund(&mut self, caller: &Caller, cost_us: u64) {
        if let Some(next) = self.next_start_us.peek_mut(caller) {
            *next = next.saturating_sub(cost_us.max(1));
        }
    }

    /// Advances the virtual time to the least start tag of the waiting requests.
    pub fn advance(&mut self, start_us: u64) {
        self.virtual_time_us = self.virtual_time_us.max(start_us);
    }

    /// Returns how many callers are remembered.
    pub fn len(&self) -> usize {
        self.next_start_us.len()
    }

    /// Returns whether no caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.next_start_us.is_empty()
    }
}

/// The waiting requests of one priority.
#[derive(Debug, Default)]
pub struct FairQueue {
    order: BTreeMap<QueuePosition, QueuedRequest>,
    callers: BTreeMap<Caller, BTreeSet<QueuePosition>>,
    callers_by_count: BTreeSet<(usize, Caller)>,
    arrivals: u64,
}

impl FairQueue {
    /// Queues a request with its start tag.
    pub fn push(&mut self, waiting: QueuedRequest, start_us: u64) -> QueuePosition {
        self.arrivals += 1;
        let caller = waiting.caller.clone();
        let position = QueuePosition {
            start_us,
            arrival: self.arrivals,
        };
        self.order.insert(position, waiting);
        self.update_caller(caller, |positions| {
            positions.insert(position);
        });
        position
    }

    /// Takes the next request off the queue and returns it with its start tag.
    pub fn pop(&mut self) -> Option<(QueuedRequest, u64)> {
        let (position, waiting) = self.order.pop_first()?;
        self.remove_from_caller(&waiting.caller, position);
        Some((waiting, position.start_us))
    }

    /// Takes a request off the queue that is not served.
    pub fn remove(&mut self, position: QueuePosition) -> Option<QueuedRequest> {
        let waiting = self.order.remove(&position)?;
        self.remove_from_caller(&waiting.caller, position);
        Some(waiting)
    }

    /// Returns the start tag of the next request.
    pub fn first_start_us(&self) -> Option<u64> {
        self.order
            .first_key_value()
            .map(|(position, _)| position.start_us)
    }

    fn remove_from_caller(&mut self, caller: &Caller, position: QueuePosition) {
        self.update_caller(caller.clone(), |positions| {
            positions.remove(&position);
        });
    }

    /// Changes the positions of a caller's requests and keeps the order of callers by number of requests.
    fn update_caller(&mut self, caller: Caller, change: impl FnOnce(&mut BTreeSet<QueuePosition>)) {
        let positions = self.callers.entry(caller.clone()).or_default();
        self.callers_by_count
            .remove(&(positions.len(), caller.clone()));
        change(positions);
        match positions.len() {
            0 => drop(self.callers.remove(&caller)),
            waiting => drop(self.callers_by_count.insert((waiting, caller))),
        }
    }

    /// Returns the next request.
    pub fn first(&self) -> Option<&QueuedRequest> {
        self.order.first_key_value().map(|(_, waiting)| waiting)
    }

    /// Returns the request that is served last in the present order.
    pub fn last(&self) -> Option<&QueuedRequest> {
        self.order.last_key_value().map(|(_, waiting)| waiting)
    }

    /// Returns the last request of the caller with the most waiting requests, if it has more than `own`.
    pub fn last_of_heaviest_above(&self, own: usize) -> Option<&QueuedRequest> {
        let (waiting, caller) = self.callers_by_count.last()?;
        if *waiting <= own {
            return None;
        }
        self.order.get(self.callers.get(caller)?.last()?)
    }

    /// Returns how many requests of a caller wait.
    pub fn waiting_of_caller(&self, caller: &Caller) -> usize {
        self.callers.get(caller).map_or(0, BTreeSet::len)
    }

    /// Returns how many requests are served before a new one of a caller in the present order.
    ///
    /// Each caller that waits has about one request served for each of this caller's, the new one included; of the last
    /// round about half start before it.
    pub fn requests_ahead_of(&self, caller: &Caller) -> usize {
        let half_rounds = 2 * self.waiting_of_caller(caller) + 1;
        self.order
            .len()
            .min((half_rounds * self.callers.len()).div_ceil(2))
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns how many callers wait.
    pub fn waiting_callers(&self) -> usize {
        self.callers.len()
    }
}

fn capacity(callers_remembered: u32) -> NonZeroUsize {
    NonZeroUsize::new(callers_remembered as usize).unwrap_or(NonZeroUsize::MIN)
}
