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

use super::admission::Waiting;
use crate::world::ids::Caller;

/// A request's place in the order of service: its caller's slot time before it, in µs, then the
/// order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    start_us: u64,
    arrival: u64,
}

/// The waiting requests of one priority.
#[derive(Debug)]
pub struct FairQueue {
    /// Whether callers are told apart; first come, first served where not.
    fair: bool,
    order: BTreeMap<Place, Waiting>,
    callers: BTreeMap<Caller, BTreeSet<Place>>,
    heaviest: BTreeSet<(usize, Caller)>,
    /// Where the next request of a recent caller starts.
    next_start_us: LruCache<Caller, u64>,
    /// Where the request served last started; who was idle starts here, not at zero.
    now_us: u64,
    arrivals: u64,
}

impl FairQueue {
    /// Builds an empty queue.
    pub fn new(fair: bool, callers_remembered: u32) -> Self {
        Self {
            fair,
            order: BTreeMap::new(),
            callers: BTreeMap::new(),
            heaviest: BTreeSet::new(),
            next_start_us: LruCache::new(capacity(callers_remembered)),
            now_us: 0,
            arrivals: 0,
        }
    }

    /// Goes on under new settings; what waits keeps its place.
    pub fn adopt(&mut self, fair: bool, callers_remembered: u32) {
        self.fair = fair;
        self.next_start_us.resize(capacity(callers_remembered));
    }

    /// Queues a request that will take about `cost_us` of slot time.
    pub fn push(&mut self, waiting: Waiting, cost_us: u64) -> Place {
        self.arrivals += 1;
        let caller = waiting.caller.clone();
        let place = Place {
            start_us: if self.fair { self.start(&caller) } else { 0 },
            arrival: self.arrivals,
        };
        self.next_start_us
            .put(caller.clone(), place.start_us + cost_us.max(1));
        self.order.insert(place, waiting);
        self.weigh(caller, |places| {
            places.insert(place);
        });
        place
    }

    fn start(&mut self, caller: &Caller) -> u64 {
        let next = self.next_start_us.get(caller).copied();
        next.unwrap_or_default().max(self.now_us)
    }

    /// Takes the next request off.
    pub fn pop(&mut self) -> Option<Waiting> {
        let (place, waiting) = self.order.pop_first()?;
        self.now_us = self.now_us.max(place.start_us);
        self.forget(&waiting.caller, place);
        Some(waiting)
    }

    /// Takes one request off that is not served; its caller's share is not charged for it.
    pub fn remove(&mut self, place: Place, cost_us: u64) -> Option<Waiting> {
        let waiting = self.order.remove(&place)?;
        self.forget(&waiting.caller, place);
        if let Some(next) = self.next_start_us.peek_mut(&waiting.caller) {
            *next = next.saturating_sub(cost_us.max(1));
        }
        Some(waiting)
    }

    fn forget(&mut self, caller: &Caller, place: Place) {
        self.weigh(caller.clone(), |places| {
            places.remove(&place);
        });
    }

    /// Changes what waits of a caller and keeps the order by weight.
    fn weigh(&mut self, caller: Caller, change: impl FnOnce(&mut BTreeSet<Place>)) {
        let places = self.callers.entry(caller.clone()).or_default();
        self.heaviest.remove(&(places.len(), caller.clone()));
        change(places);
        match places.len() {
            0 => drop(self.callers.remove(&caller)),
            waiting => drop(self.heaviest.insert((waiting, caller))),
        }
    }

    /// Returns the next request.
    pub fn first(&self) -> Option<&Waiting> {
        self.order.first_key_value().map(|(_, waiting)| waiting)
    }

    /// Returns the request that is served last as things stand.
    pub fn last(&self) -> Option<&Waiting> {
        self.order.last_key_value().map(|(_, waiting)| waiting)
    }

    /// Returns the last request of the caller that has most waiting, if it has more than `own`.
    pub fn heaviest_above(&self, own: usize) -> Option<&Waiting> {
        let (waiting, caller) = self.heaviest.last()?;
        if *waiting <= own {
            return None;
        }
        self.order.get(self.callers.get(caller)?.last()?)
    }

    /// Returns how many requests of a caller wait.
    pub fn of_caller(&self, caller: &Caller) -> usize {
        self.callers.get(caller).map_or(0, BTreeSet::len)
    }

    /// Returns how many requests are served before a new one of a caller, as things stand: each
    /// caller that waits has at most one served for each of this caller's, the new one included.
    pub fn ahead_of(&self, caller: &Caller) -> usize {
        if !self.fair {
            return self.order.len();
        }
        let rounds = self.of_caller(caller) + 1;
        self.order.len().min(rounds * self.callers.len())
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns how many callers are held in memory, waiting or remembered.
    pub fn callers_held(&self) -> usize {
        self.callers.len().max(self.next_start_us.len())
    }
}

fn capacity(callers_remembered: u32) -> NonZeroUsize {
    NonZeroUsize::new(callers_remembered as usize).unwrap_or(NonZeroUsize::MIN)
}
