//! Which availability zones' backend servers are to get nothing, as the operator asks.
//!
//! Load pattern: a zone is emptied while its servers are well, and taken back seconds later. Its load moves to the other
//! zones at once, and comes back at once, to servers that may be cold by then.
//!
//! Failure: the store comes back from a copy that is older than the operator's entry. The zone stays evacuated until the
//! operator has had time to write the entry again.

use std::time::{Duration, Instant};

use crate::utils::{HashMap, HashSet};
use crate::world::ids::AvailabilityZone;

/// How long an entry may be missing from a store that came back from a copy: the operator writes it again by then.
pub const REWRITE_GRACE: Duration = Duration::from_secs(10);

/// What a piece of news changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The zone's servers get nothing from now on.
    Begun(AvailabilityZone),
    /// They may get work again.
    Ended(AvailabilityZone),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// The store has the entry.
    Stored,
    /// The store had it, and came back from a copy that has not.
    MissingUntil(Instant),
}

/// The zones that are evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: HashMap<AvailabilityZone, Standing>,
    rewound_at: Option<Instant>,
}

impl Evacuations {
    /// Returns whether a zone's servers are to get nothing.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        !self.zones.is_empty() && self.zones.contains_key(zone)
    }

    /// Returns the zones, in the order of their names.
    pub fn zones(&self) -> Vec<AvailabilityZone> {
        let mut zones: Vec<_> = self.zones.keys().cloned().collect();
        zones.sort();
        zones
    }

    /// Takes an entry in.
    pub fn add(&mut self, zone: AvailabilityZone) -> Option<Change> {
        let before = self.zones.insert(zone.clone(), Standing::Stored);
        before.is_none().then_some(Change::Begun(zone))
    }

    /// Takes in that the operator has removed an entry.
    pub fn remove(&mut self, zone: &str) -> Option<Change> {
        let (zone, _) = self.zones.remove_entry(zone)?;
        Some(Change::Ended(zone))
    }

    /// Takes in all entries that the store has.
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
                    self.zones.insert(zone, Standing::MissingUntil(until));
                }
                None => changes.extend(self.remove(&zone)),
            }
        }
        changes
    }

    /// Takes in all zones that a VM takes for evacuated which hears of the store first.
    pub fn sync_with_feeder(&mut self, zones: &HashSet<AvailabilityZone>) -> Vec<Change> {
        let begun = zones.iter().filter_map(|zone| self.add(zone.clone()));
        let mut changes: Vec<Change> = begun.collect();
        let ended = |zone: &&AvailabilityZone| !zones.contains(*zone);
        let ended: Vec<_> = self.zones.keys().filter(ended).cloned().collect();
        changes.extend(ended.iter().filter_map(|zone| self.remove(zone)));
        changes
    }

    /// Takes in that the store has come back from a copy.
    pub fn store_rewound(&mut self, now: Instant) {
        self.rewound_at = Some(now);
    }

    /// Ends the evacuations whose entries have not been written again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let over =
            |standing: &Standing| matches!(standing, Standing::MissingUntil(at) if *at <= now);
        let over = self.zones.iter().filter(|(_, standing)| over(standing));
        let over: Vec<_> = over.map(|(zone, _)| zone.clone()).collect();
        over.iter().filter_map(|zone| self.remove(zone)).collect()
    }
}
