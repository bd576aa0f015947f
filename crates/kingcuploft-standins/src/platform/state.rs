//! The objects, their history and the call counters of the platform stand-in.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use kingcuploft_platform::{Change, Changes, ListedVm, Object, Version};

use super::faults::Faults;

/// How often each kind of call was made; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Calls {
    /// Reads of one object.
    pub gets: u64,
    /// Conditional writes, those that lost included.
    pub puts: u64,
    /// Conditional deletions, those that lost included.
    pub deletes: u64,
    /// Listings.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Readings of the VM list.
    pub vms: u64,
    /// Writes whose condition did not hold, counted in `puts` or `deletes` too.
    pub conflicts: u64,
    /// Calls that met an outage or a rate limit, not counted elsewhere.
    pub refused: u64,
}

impl Calls {
    /// Returns the writes of all kinds, those that lost included.
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

/// Calls in the current second, for the rate limits.
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
    /// Earlier revisions of each object, newest last, for stale reads.
    earlier: BTreeMap<String, Vec<Option<Object>>>,
    history: VecDeque<Change>,
    /// The greatest revision that is not in the history any more.
    compacted_until: Version,
    vms: VecDeque<(Instant, Vec<ListedVm>)>,
    pub(super) calls: Calls,
    pub(super) faults: Faults,
    pub(super) rng: fastrand::Rng,
    rate: Rate,
}

/// How many earlier revisions of an object are kept for stale reads.
const MAX_EARLIER_REVISIONS: usize = 8;

impl State {
    /// Tells whether the condition of a write holds; else returns what was found.
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

    fn trim(&mut self) {
        while self.history.len() > self.faults.history {
            let forgotten = self.history.pop_front();
            self.compacted_until = forgotten.map_or(self.compacted_until, |change| change.version);
        }
    }

    /// Reads an object, with the chance of a stale revision that the faults give.
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

    /// Returns the changes after a revision; `None` where they are forgotten.
    pub(super) fn since(&self, prefix: &str, after: Version) -> Option<Changes> {
        if after < self.compacted_until || self.faults.expired_watch {
            return None;
        }
        let newer = self.history.iter().rev();
        let newer = newer.take_while(|change| change.version > after);
        let fitting = newer.filter(|change| change.key.starts_with(prefix));
        let mut changes: Vec<Change> = fitting.cloned().collect();
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

    /// Returns the VM list as it stood before the lag.
    pub(super) fn vms(&self) -> Vec<ListedVm> {
        let lag = self.faults.vms_lag;
        let old_enough = self.vms.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old_enough.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// Counts a call against the rate limits; tells whether it fits.
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
