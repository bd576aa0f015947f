//! The state of the simulated platform store: objects with their revisions, recent changes, VM lists and call counts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use kingcuploft_platform::{Change, Changes, ListedVm, Object, Version};

use super::faults::Faults;

/// The number of calls of each kind; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads of one object.
    pub gets: u64,
    /// Conditional writes, including those whose condition did not hold.
    pub puts: u64,
    /// Conditional deletions, including those whose condition did not hold.
    pub deletes: u64,
    /// Listings.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Writes and deletions whose condition did not hold, also counted in `puts` or `deletes`.
    pub conflicts: u64,
    /// Calls refused by an outage or a rate limit, not counted elsewhere.
    pub refused: u64,
}

impl Calls {
    /// Returns the writes and deletions, including those whose condition did not hold.
    pub fn writes(&self) -> u64 {
        self.puts + self.deletes
    }

    /// Returns every call that the platform bills.
    pub fn all(&self) -> u64 {
        self.writes() + self.gets + self.lists + self.watches + self.vms + self.refused
    }
}

/// The condition of a write.
#[derive(Clone, Copy, Debug)]
pub(super) enum Condition {
    Absent,
    Version(Version),
}

/// The calls in the current second, for the rate limits.
#[derive(Debug, Default)]
pub(super) struct Rate {
    second: Option<Instant>,
    writes: u32,
    reads: u32,
}

/// The state of the store.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) revision: Version,
    pub(super) objects: BTreeMap<String, Object>,
    /// The earlier revisions of each object, newest last, for stale reads.
    earlier: BTreeMap<String, Vec<Option<Object>>>,
    history: VecDeque<Change>,
    /// The greatest revision that is no longer in the history.
    compacted_until: Version,
    vms: VecDeque<(Instant, Vec<ListedVm>)>,
    pub(super) calls: Calls,
    pub(super) faults: Faults,
    pub(super) rng: fastrand::Rng,
    rate: Rate,
}

/// The number of earlier revisions of an object that are kept for stale reads.
const MAX_EARLIER_REVISIONS: usize = 8;

impl State {
    /// Checks the condition of a write; if it does not hold, returns the current version of the object, if any.
    pub(super) fn check(&self, key: &str, condition: Condition) -> Result<(), Option<Version>> {
        let found = self.objects.get(key).map(|object| object.version);
        match condition {
            Condition::Absent if found.is_none() => Ok(()),
            Condition::Version(version) if found == Some(version) => Ok(()),
            _ => Err(found),
        }
    }

    /// Writes or deletes an object and returns its revision.
    pub(super) fn change(&mut self, key: &str, value: Option<String>) -> Version {
        self.revision += 1;
        let version = self.revision;
        let before = match &value {
            Some(value) => {
                let object = Object {
                    key: key.into(),
                    version,
                    value: value.clone(),
                };
                self.objects.insert(key.into(), object)
            }
            None => self.objects.remove(key),
        };
        let earlier = self.earlier.entry(key.into()).or_default();
        earlier.push(before);
        if earlier.len() > MAX_EARLIER_REVISIONS {
            earlier.remove(0);
        }
        self.history.push_back(Change {
            key: key.into(),
            version,
            value,
        });
        self.trim();
        version
    }

    /// Drops the changes beyond the history limit.
    fn trim(&mut self) {
        while self.history.len() > self.faults.history {
            let removed = self.history.pop_front();
            self.compacted_until = removed.map_or(self.compacted_until, |change| change.version);
        }
    }

    /// Reads an object; with probability `stale_read_share`, returns an earlier revision.
    pub(super) fn read(&mut self, key: &str) -> Option<Object> {
        let stale =
            self.faults.stale_read_share > 0.0 && self.rng.f64() < self.faults.stale_read_share;
        if stale && let Some(earlier) = self.earlier.get(key) {
            let at = earlier.len().saturating_sub(self.faults.stale_by);
            return earlier.get(at).cloned().flatten();
        }
        self.objects.get(key).cloned()
    }

    /// Lists the objects with a prefix.
    pub(super) fn list(&self, prefix: &str) -> Changes {
        let found = self.objects.range(prefix.to_owned()..);
        let found = found.take_while(|(key, _)| key.starts_with(prefix));
        let changes = found.map(|(key, object)| Change {
            key: key.clone(),
            version: object.version,
            value: Some(object.value.clone()),
        });
        Changes {
            changes: changes.collect(),
            version: self.revision,
        }
    }

    /// Returns the changes after a revision; `None` if the history no longer holds them all.
    pub(super) fn since(&self, prefix: &str, after: Version) -> Option<Changes> {
        if after < self.compacted_until || self.faults.expired_watch {
            return None;
        }
        let newer = self.history.iter().rev();
        let newer = newer.take_while(|change| change.version > after);
        let matching = newer.filter(|change| change.key.starts_with(prefix));
        let mut changes: Vec<Change> = matching.cloned().collect();
        changes.reverse();
        Some(Changes {
            version: self.revision,
            changes,
        })
    }

    /// Replaces the VM list from now on.
    pub(super) fn set_vms(&mut self, vms: Vec<ListedVm>) {
        self.vms.push_back((Instant::now(), vms));
    }

    /// Returns the VM list as it was `vms_lag` ago.
    pub(super) fn vms(&self) -> Vec<ListedVm> {
        let lag = self.faults.vms_lag;
        let old_enough = self.vms.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old_enough.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// Counts a call against the rate limit and returns whether it is within the limit.
    pub(super) fn try_admit(&mut self, write: bool) -> bool {
        let now = Instant::now();
        let over = |at: Instant| now.duration_since(at).as_secs() >= 1;
        if self.rate.second.is_none_or(over) {
            self.rate = Rate {
                second: Some(now),
                ..Rate::default()
            };
        }
        let (count, limit) = match write {
            true => (&mut self.rate.writes, self.faults.writes_per_s),
            false => (&mut self.rate.reads, self.faults.reads_per_s),
        };
        *count += 1;
        limit.is_none_or(|limit| *count <= limit)
    }
}
