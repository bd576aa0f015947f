//! The waiting requests of one priority, each caller in its turn.
//!
//! **Load pattern:** one caller sends ten times its share, or the long jobs among short ones.
//! **Without it** the queue is that caller's, and the others wait or are refused for it.
//! **Grounds:** start-time fair queueing: a request's place is the slot time that its caller has
//! been given before it, so callers who wait share slot time evenly whatever they send, and a
//! caller that waits alone is not held back. Every operation is logarithmic in what waits. Only
//! callers that wait are held, besides a bounded, least-recently-used memory of shares.

use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;

use lru::LruCache;

use super::admission::QueuedRequest;
use crate::world::ids::Caller;

/// A request's place in the order of service: its caller's slot time before it, in µs, then the
/// order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    start_us: u64,
    arrival: u64,
}

/// The slot time that recent callers were given, in all priorities together: a caller that has
/// its fill of one priority is not given as much again of the next.
#[derive(Debug)]
pub struct CallerShares {
    /// Where the next request of a recent caller starts.
    next_start_us: LruCache<Caller, u64>,
    /// Where the first of those that wait starts; who was idle starts here, not at zero.
    now_us: u64,
}

impl CallerShares {
    /// Begins with nobody having been given anything.
    pub fn new(callers_remembered: u32) -> Self {
        Self {
            next_start_us: LruCache::new(capacity(callers_remembered)),
            now_us: 0,
        }
    }

    /// Goes on under new settings.
    pub fn resize(&mut self, callers_remembered: u32) {
        self.next_start_us.resize(capacity(callers_remembered));
    }

    /// Charges a caller for a request and returns where that starts.
    pub fn charge(&mut self, caller: &Caller, cost_us: u64) -> u64 {
        let next = self.next_start_us.get(caller).copied();
        let start_us = next.unwrap_or_default().max(self.now_us);
        self.next_start_us
            .put(caller.clone(), start_us + cost_us.max(1));
        start_us
    }

    /// Takes a charge back for a request that is not served.
    pub fn refund(&mut self, caller: &Caller, cost_us: u64) {
        if let Some(next) = self.next_start_us.peek_mut(caller) {
            *next = next.saturating_sub(cost_us.max(1));
        }
    }

    /// Notes where the first of those that wait starts.
    pub fn advance(&mut self, start_us: u64) {
        self.now_us = self.now_us.max(start_us);
    }

    /// Returns how many callers are remembered.
    pub fn len(&self) -> usize {
        self.next_start_us.len()
    }

    /// Tells whether no caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.next_start_us.is_empty()
    }
}

/// The waiting requests of one priority.
#[derive(Debug, Default)]
pub struct FairQueue {
    order: BTreeMap<QueuePosition, QueuedRequest>,
    callers: BTreeMap<Caller, BTreeSet<QueuePosition>>,
    heaviest: BTreeSet<(usize, Caller)>,
    arrivals: u64,
}

impl FairQueue {
    /// Queues a request that starts at a caller's share.
    pub fn push(&mut self, waiting: QueuedRequest, start_us: u64) -> QueuePosition {
        self.arrivals += 1;
        let caller = waiting.caller.clone();
        let place = QueuePosition {
            start_us,
            arrival: self.arrivals,
        };
        self.order.insert(place, waiting);
        self.weigh(caller, |places| {
            places.insert(place);
        });
        place
    }

    /// Takes the next request off, and where it starts.
    pub fn pop(&mut self) -> Option<(QueuedRequest, u64)> {
        let (place, waiting) = self.order.pop_first()?;
        self.forget(&waiting.caller, place);
        Some((waiting, place.start_us))
    }

    /// Takes one request off that is not served.
    pub fn remove(&mut self, place: QueuePosition) -> Option<QueuedRequest> {
        let waiting = self.order.remove(&place)?;
        self.forget(&waiting.caller, place);
        Some(waiting)
    }

    /// Returns where the next request starts.
    pub fn first_start_us(&self) -> Option<u64> {
        self.order
            .first_key_value()
            .map(|(place, _)| place.start_us)
    }

    fn forget(&mut self, caller: &Caller, place: QueuePosition) {
        self.weigh(caller.clone(), |places| {
            places.remove(&place);
        });
    }

    /// Changes what waits of a caller and keeps the order by weight.
    fn weigh(&mut self, caller: Caller, change: impl FnOnce(&mut BTreeSet<QueuePosition>)) {
        let places = self.callers.entry(caller.clone()).or_default();
        self.heaviest.remove(&(places.len(), caller.clone()));
        change(places);
        match places.len() {
            0 => drop(self.callers.remove(&caller)),
            waiting => drop(self.heaviest.insert((waiting, caller))),
        }
    }

    /// Returns the next request.
    pub fn first(&self) -> Option<&QueuedRequest> {
        self.order.first_key_value().map(|(_, waiting)| waiting)
    }

    /// Returns the request that is served last as things stand.
    pub fn last(&self) -> Option<&QueuedRequest> {
        self.order.last_key_value().map(|(_, waiting)| waiting)
    }

    /// Returns the last request of the caller that has most waiting, if it has more than `own`.
    pub fn last_of_heaviest_above(&self, own: usize) -> Option<&QueuedRequest> {
        let (waiting, caller) = self.heaviest.last()?;
        if *waiting <= own {
            return None;
        }
        self.order.get(self.callers.get(caller)?.last()?)
    }

    /// Returns how many requests of a caller wait.
    pub fn waiting_of_caller(&self, caller: &Caller) -> usize {
        self.callers.get(caller).map_or(0, BTreeSet::len)
    }

    /// Returns how many requests are served before a new one of a caller, as things stand.
    ///
    /// Each caller that waits has about one served for each of this caller's, the new one
    /// included; of the last round about half start before it.
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

    /// Tells whether nothing waits.
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
