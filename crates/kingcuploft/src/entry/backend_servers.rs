//! The backend servers that may be sent requests, by their entries in the platform's store.
//!
//! Failures: a draining server must get no new requests, and a stale entry that arrives after its draining state would
//! bring it back; entries expire while the store is unavailable though their servers are healthy. The guards: a
//! draining server, by its entry or by its own answers, stays out for good, until the platform reports a later start
//! under its name; servers whose entries
//! expire around an outage of the store stay in use for a short grace period after its return, and only then count as
//! gone.

use std::sync::Arc;
use std::time::{Duration, Instant};

pub use super::backend_server::{BackendServer, StartedAt};
use crate::planted::{self, PlantedFault};
use crate::utils::{HashMap, digest};
use crate::world::ids::BackendServerName;

/// Grace period after the store's return for servers whose entries expired around an outage: the platform restores the
/// entries of live servers within about 2 s.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1900);

/// How long after its return the store counts as just returned.
const JUST_RETURNED_PERIOD: Duration = Duration::from_millis(2000);

/// How long a removed server is remembered, so that a delayed entry does not bring it back: far longer than any delay.
const REMOVED_RETENTION: Duration = Duration::from_secs(300);

/// A change of the usable servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The server is new, or has restarted under a known name.
    Joined(BackendServerName),
    /// A property of a usable server changed.
    Updated(BackendServerName),
    /// The server gets no new requests from now on.
    Left(BackendServerName),
    /// The server's entry expired; it stays in use until the grace period ends.
    Lapsed(BackendServerName),
}

impl Change {
    /// Returns the name used in logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Joined(_) => "joined",
            Self::Updated(_) => "updated",
            Self::Left(_) => "left",
            Self::Lapsed(_) => "lapsed",
        }
    }

    /// Returns the server that changed.
    pub fn server(&self) -> &BackendServerName {
        match self {
            Self::Joined(name) | Self::Updated(name) | Self::Left(name) | Self::Lapsed(name) => {
                name
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Known {
    server: Arc<BackendServer>,
    state: ServerState,
    /// The latest start that an entry has named; an entry of another writer may lack it.
    latest_start: Option<StartedAt>,
    /// When its entry was removed, if it was.
    removed_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServerState {
    InUse,
    LapsesAt(Instant),
    Draining,
    Gone,
    /// It was removed before the store was restored from a copy, which may hold its entry until this time.
    GoneBeforeRestore(Instant),
    /// It was removed before that, and the restored copy holds its entry.
    DoubtedUntil(Instant),
}

/// Entries that were removed together.
#[derive(Clone, Debug, Default)]
pub struct Removed {
    /// The servers whose entries were removed.
    pub names: Vec<BackendServerName>,
    /// What that changed.
    pub changes: Vec<Change>,
}

/// All known backend servers.
#[derive(Debug, Default)]
pub struct BackendServers {
    known: HashMap<BackendServerName, Known>,
    store_returned_at: Option<Instant>,
    /// The sum of the hashes of the servers whose entries are present.
    digest: u64,
    /// No grace or retention period ends before this time; none runs if there is none.
    next_expiry: Option<Instant>,
}

impl Known {
    /// Returns what this server adds to the digest.
    fn digest(&self) -> u64 {
        match self.removed_at {
            Some(_) => 0,
            None => digest(&*self.server),
        }
    }

    /// Returns when its grace or retention period ends.
    fn expires_at(&self) -> Option<Instant> {
        let forgotten_at = self.removed_at.map(|at| at + REMOVED_RETENTION);
        match self.state {
            ServerState::InUse => None,
            ServerState::LapsesAt(at) | ServerState::DoubtedUntil(at) => Some(at),
            ServerState::GoneBeforeRestore(at) => {
                Some(forgotten_at.map_or(at, |other| at.min(other)))
            }
            ServerState::Draining | ServerState::Gone => forgotten_at,
        }
    }
}

impl BackendServers {
    /// Records that an outage of the store ended at `returned_at`; returns whether that is news.
    ///
    /// Failure: each VM that reads the store notices its return, one after the other, and reports it. If the grace period
    /// of expired entries started over with each report, a server that left just after the return would get new requests
    /// for longer than allowed. So reports within the grace period belong to the same return.
    pub fn store_returned(&mut self, now: Instant, returned_at: Instant) -> bool {
        let is_over = now.saturating_duration_since(returned_at) >= JUST_RETURNED_PERIOD;
        if is_over || self.has_just_returned(now) {
            return false;
        }
        self.store_returned_at = Some(returned_at);
        true
    }

    /// Returns how long ago an outage of the store ended, if the store has just returned.
    pub fn returned_ago(&self, now: Instant) -> Option<Duration> {
        let ago = now.saturating_duration_since(self.store_returned_at?);
        (ago < JUST_RETURNED_PERIOD).then_some(ago)
    }

    /// Records that the store was restored from a copy, in which entries that nobody renews expire after `lapse_after`.
    ///
    /// Failures: a server that joined after the copy was made is missing, and would count as gone; one that left after
    /// the copy was made is back, and would get requests until its entry expires again. So the former stay in use until
    /// they have had time to write their entries, as after an outage, and the latter get requests only if their entries
    /// last.
    pub fn store_rewound(&mut self, now: Instant, lapse_after: Duration) {
        self.store_returned_at = Some(now);
        for known in self.known.values_mut() {
            if known.state == ServerState::Gone {
                known.state = ServerState::GoneBeforeRestore(now + lapse_after);
            }
        }
        self.expire_by(now + lapse_after);
    }

    fn has_just_returned(&self, now: Instant) -> bool {
        self.returned_ago(now).is_some()
    }

    fn expire_by(&mut self, at: Instant) {
        self.next_expiry = Some(self.next_expiry.map_or(at, |earlier| earlier.min(at)));
    }

    /// Adds or updates an entry.
    pub fn update(&mut self, server: BackendServer) -> Option<Change> {
        self.track(server.name.clone(), |servers, _| {
            servers.apply_entry(server)
        })
    }

    /// Calls `operation`, which changes only the server of this name, and keeps the digest and the next expiry in step.
    fn track<T>(
        &mut self,
        name: BackendServerName,
        operation: impl FnOnce(&mut Self, &str) -> T,
    ) -> T {
        let before = self.known.get(&name).map_or(0, Known::digest);
        let result = operation(self, &name);
        let known = self.known.get(&name);
        let after = known.map_or(0, Known::digest);
        let expires_at = known.and_then(Known::expires_at);
        self.digest = self.digest.wrapping_sub(before).wrapping_add(after);
        if let Some(at) = expires_at {
            self.expire_by(at);
        }
        result
    }

    fn apply_entry(&mut self, server: BackendServer) -> Option<Change> {
        let name = server.name.clone();
        let Some(known) = self.known.get_mut(&name) else {
            let state = state_of(&server);
            let known = Known {
                latest_start: server.started_at,
                server: Arc::new(server),
                state,
                removed_at: None,
            };
            self.known.insert(name.clone(), known);
            return (state == ServerState::InUse).then_some(Change::Joined(name));
        };
        known.removed_at = None;
        let is_later_start = server.started_at > known.latest_start;
        known.latest_start = known.latest_start.max(server.started_at);
        if known.state == ServerState::Draining && !is_later_start {
            let is_stale = known.server.draining && !server.draining;
            if !is_stale {
                known.server = Arc::new(server);
            }
            return None;
        }
        let before = known.state;
        if let ServerState::GoneBeforeRestore(until) | ServerState::DoubtedUntil(until) = before
            && !is_later_start
        {
            known.state = match state_of(&server) {
                ServerState::Draining => ServerState::Draining,
                _ => ServerState::DoubtedUntil(until),
            };
            known.server = Arc::new(server);
            return None;
        }
        let moved = known.server.address != server.address || is_later_start;
        let same = *known.server == server;
        known.state = state_of(&server);
        known.server = Arc::new(server);
        match (before, known.state) {
            (ServerState::Gone | ServerState::GoneBeforeRestore(_), ServerState::InUse) => {
                Some(Change::Joined(name))
            }
            (ServerState::DoubtedUntil(_), ServerState::InUse) => Some(Change::Joined(name)),
            (_, ServerState::InUse) if moved => Some(Change::Joined(name)),
            (ServerState::InUse, ServerState::InUse) if same => None,
            (_, ServerState::InUse) => Some(Change::Updated(name)),
            (
                ServerState::Gone
                | ServerState::GoneBeforeRestore(_)
                | ServerState::DoubtedUntil(_),
                _,
            ) => None,
            _ => Some(Change::Left(name)),
        }
    }

    /// Records that a server has said in an answer that it leaves; `started_at` is the start of the process that said so.
    ///
    /// Failure: a server that leaves while the store is away can't write that to its entry, which says `ready` as long
    /// as the store is away, and longer at VMs that are behind.
    pub fn record_leaving(&mut self, name: &str, started_at: Option<StartedAt>) -> Option<Change> {
        let known = self.known.get_mut(name)?;
        if started_at < known.latest_start {
            return None;
        }
        let before = std::mem::replace(&mut known.state, ServerState::Draining);
        let was_in_use = matches!(before, ServerState::InUse | ServerState::LapsesAt(_));
        was_in_use.then(|| Change::Left(known.server.name.clone()))
    }

    /// Removes an entry.
    pub fn remove(&mut self, now: Instant, name: &str) -> Option<Change> {
        let name = self.known.get(name)?.server.name.clone();
        self.track(name, |servers, name| servers.remove_entry(now, name))
    }

    fn remove_entry(&mut self, now: Instant, name: &str) -> Option<Change> {
        let just_returned = self.has_just_returned(now);
        let known = self.known.get_mut(name)?;
        known.removed_at.get_or_insert(now);
        match known.state {
            ServerState::InUse if just_returned => {
                let until = self.store_returned_at.unwrap_or(now) + LAPSE_GRACE;
                known.state = ServerState::LapsesAt(until);
                Some(Change::Lapsed(known.server.name.clone()))
            }
            ServerState::InUse => {
                known.state = ServerState::Gone;
                Some(Change::Left(known.server.name.clone()))
            }
            ServerState::DoubtedUntil(until) => {
                known.state = ServerState::GoneBeforeRestore(until);
                None
            }
            ServerState::LapsesAt(_)
            | ServerState::Draining
            | ServerState::Gone
            | ServerState::GoneBeforeRestore(_) => None,
        }
    }

    /// Removes the entries that are not among `names`, the full list of the store.
    pub fn remove_missing<'a>(
        &mut self,
        now: Instant,
        names: impl Iterator<Item = &'a str>,
    ) -> Removed {
        let listed: crate::utils::HashSet<&str> = names.collect();
        let present = self.present().map(|server| &server.name);
        let missing = present.filter(|name| !listed.contains(&***name));
        let missing: Vec<_> = missing.cloned().collect();
        self.remove_all(now, missing)
    }

    /// Removes these entries.
    pub fn remove_all(&mut self, now: Instant, names: Vec<BackendServerName>) -> Removed {
        let changes = names.iter().filter_map(|name| self.remove(now, name));
        Removed {
            changes: changes.collect(),
            names,
        }
    }

    /// Ends the grace periods that are over. Looks at no server before the first of them is.
    pub fn expire(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        if self.next_expiry.is_none_or(|at| now < at) {
            return changes;
        }
        for known in self.known.values_mut() {
            let name = &known.server.name;
            match known.state {
                ServerState::LapsesAt(at) if at <= now => {
                    known.state = ServerState::Gone;
                    changes.push(Change::Left(name.clone()));
                }
                ServerState::GoneBeforeRestore(at) if at <= now => known.state = ServerState::Gone,
                ServerState::DoubtedUntil(at) if at <= now => {
                    known.state = ServerState::InUse;
                    changes.push(Change::Joined(name.clone()));
                }
                _ => {}
            }
        }
        let forgotten = |at: Instant| now.saturating_duration_since(at) > REMOVED_RETENTION;
        self.known.retain(|_, known| match known.state {
            ServerState::Draining | ServerState::Gone | ServerState::GoneBeforeRestore(_) => {
                !known.removed_at.is_some_and(forgotten)
            }
            ServerState::InUse | ServerState::LapsesAt(_) | ServerState::DoubtedUntil(_) => true,
        });
        let expiries = self.known.values().filter_map(Known::expires_at);
        self.next_expiry = expiries.min();
        changes
    }

    /// Returns whether a server may be sent requests now.
    pub fn takes_work(&self, name: &str) -> bool {
        let known = self.known.get(name);
        known.is_some_and(|k| matches!(k.state, ServerState::InUse | ServerState::LapsesAt(_)))
    }

    /// Returns whether some VM may send a server requests: this one, or others that do not know yet that it leaves, as it
    /// has told this one itself and its entry does not say so.
    pub fn may_be_in_use_anywhere(&self, name: &str) -> bool {
        let left_by_own_words = |known: &Known| {
            known.state == ServerState::Draining
                && !known.server.draining
                && known.removed_at.is_none()
        };
        self.takes_work(name) || self.known.get(name).is_some_and(left_by_own_words)
    }

    /// Returns whether a server is already known exactly like this.
    pub fn is_known(&self, server: &BackendServer) -> bool {
        let known = self.known.get(&server.name);
        known.is_some_and(|known| known.removed_at.is_none() && *known.server == *server)
    }

    /// Returns a known server.
    pub fn get(&self, name: &str) -> Option<&BackendServer> {
        self.known.get(name).map(|known| &*known.server)
    }

    /// Returns a known server, to be kept.
    pub fn get_shared(&self, name: &str) -> Option<Arc<BackendServer>> {
        self.known.get(name).map(|known| known.server.clone())
    }

    /// Returns the servers whose entries are present.
    pub fn present(&self) -> impl Iterator<Item = &BackendServer> {
        let present = self
            .known
            .values()
            .filter(|known| known.removed_at.is_none());
        present.map(|known| &*known.server)
    }

    /// Returns a hash of the servers whose entries are present, independent of their order.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the number of servers that may be sent requests.
    pub fn in_use_count(&self) -> usize {
        let states = self.known.values().map(|known| known.state);
        states
            .filter(|s| matches!(s, ServerState::InUse | ServerState::LapsesAt(_)))
            .count()
    }
}

fn state_of(server: &BackendServer) -> ServerState {
    match server.draining && !planted::is_on(PlantedFault::ChoosesLeavingServers) {
        true => ServerState::Draining,
        false => ServerState::InUse,
    }
}
