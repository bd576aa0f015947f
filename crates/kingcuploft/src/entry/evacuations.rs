//! The availability zones that the operator has evacuated: their backend servers get no requests.
//!
//! Load pattern: a zone is evacuated while its servers are healthy, and taken back seconds later. Its load moves to the
//! other zones at once, and comes back at once, to servers that may be cold by then.
//!
//! Failure: the store is restored from a copy that is older than the operator's entry. The zone stays evacuated until
//! the operator has had time to write the entry again.

use std::time::{Duration, Instant};

use crate::utils::{HashMap, HashSet};
use crate::world::ids::AvailabilityZone;

/// How long an entry may be missing from a store that was restored from a copy: the operator writes it again by then.
pub const REWRITE_GRACE: Duration = Duration::from_secs(10);

/// A change of the evacuated zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The zone's servers get no requests from now on.
    Begun(AvailabilityZone),
    /// The zone's servers may get requests again.
    Ended(AvailabilityZone),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EntryState {
    /// The store has the entry.
    Stored,
    /// The store had the entry, and was restored from a copy without it.
    MissingUntil(Instant),
}

/// The zones that are evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: HashMap<AvailabilityZone, EntryState>,
    rewound_at: Option<Instant>,
}

impl Evacuations {
    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        !self.zones.is_empty() && self.zones.contains_key(zone)
    }

    /// Returns the evacuated zones, ordered by name.
    pub fn zones(&self) -> Vec<AvailabilityZone> {
        let mut zones: Vec<_> = self.zones.keys().cloned().collect();
        zones.sort();
        zones
    }

    /// Adds an entry.
    pub fn add(&mut self, zone: AvailabilityZone) -> Option<Change> {
        let before = self.zones.insert(zone.clone(), EntryState::Stored);
        before.is_none().then_some(Change::Begun(zone))
    }

    /// Removes an entry that the operator has removed.
    pub fn remove(&mut self, zone: &str) -> Option<Change> {
        let (zone, _) = self.zones.remove_entry(zone)?;
        Some(Change::Ended(zone))
    }

    /// Applies the full list of entries that the store has.
    pub fn sync_with_store(
        &mut self,
        now: Instant,
        zones: &HashSet<AvailabilityZone>,
    ) -> Vec<Change> {
        let begun = zones.iter().filter_map(|zone| self.add(zone.clone()));
        let mut changes: Vec<Change> = begun.collect();
        let until = self.rewound_at.map(|at| at + REWRITE_GRACE);
        let missing = |zone: &&AvailabilityZone| !zones.contains(*zone);
        let missing: Vec<_> = self.zones.keys().filter(missing).cloned().collect();
        for zone in missing {
            match until.filter(|until| *until > now) {
                Some(until) => {
                    self.zones.insert(zone, EntryState::MissingUntil(until));
                }
                None => changes.extend(self.remove(&zone)),
            }
        }
        changes
    }

    /// Applies the full list of evacuated zones that the feeder sends.
    pub fn sync_with_feeder(&mut self, zones: &HashSet<AvailabilityZone>) -> Vec<Change> {
        let begun = zones.iter().filter_map(|zone| self.add(zone.clone()));
        let mut changes: Vec<Change> = begun.collect();
        let ended = |zone: &&AvailabilityZone| !zones.contains(*zone);
        let ended: Vec<_> = self.zones.keys().filter(ended).cloned().collect();
        changes.extend(ended.iter().filter_map(|zone| self.remove(zone)));
        changes
    }

    /// Records that the store was restored from a copy.
    pub fn store_rewound(&mut self, now: Instant) {
        self.rewound_at = Some(now);
    }

    /// Ends the evacuations whose entries have not been written again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let over = |state: &EntryState| matches!(state, EntryState::MissingUntil(at) if *at <= now);
        let over = self.zones.iter().filter(|(_, state)| over(state));
        let over: Vec<_> = over.map(|(zone, _)| zone.clone()).collect();
        over.iter().filter_map(|zone| self.remove(zone)).collect()
    }
}
