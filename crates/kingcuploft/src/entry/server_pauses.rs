//! Pauses that backend servers ask for when they refuse a request: the server gets nothing more from this VM until the
//! end of the pause, and a request for which only such servers are left is refused at once.
//!
//! Load pattern: servers in distress refuse whatever reaches them, and name the time for which they want nothing more.
//! They are idle and answer fast, so selection by load prefers them as soon as their failures are forgotten, or where
//! the other servers of the service are full or fail as well. Each request that reaches them then costs a repeat and
//! keeps them from recovering.

use std::time::{Duration, Instant};

use crate::utils::HashMap;
use crate::world::ids::BackendServerName;

/// What to do with a request, by the pauses of the servers that could serve it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseDecision {
    /// Select a server: one is not paused, or will not be in time.
    Select,
    /// Refuse it: no server takes it in time. The caller may retry after this time.
    Refuse(Duration),
}

/// The servers that want nothing from this VM, and until when.
///
/// They are kept by name, not with the server's connections: a server whose entry expires and comes back, as around an
/// outage of the store, is still the one that asked for the pause.
#[derive(Debug, Default)]
pub struct ServerPauses {
    until: HashMap<BackendServerName, Instant>,
}

impl ServerPauses {
    /// Records that a server wants nothing for this long; returns whether it was not paused before. A shorter pause does
    /// not end an earlier, longer one.
    pub fn record(&mut self, now: Instant, server: &BackendServerName, pause: Duration) -> bool {
        let was_paused = !self.remaining(now, server).is_zero();
        let until = self.until.entry(server.clone()).or_insert(now);
        *until = (*until).max(now + pause);
        !was_paused
    }

    /// Returns how much longer a server wants nothing; zero if it may get requests.
    pub fn remaining(&self, now: Instant, server: &str) -> Duration {
        let until = self.until.get(server);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Forgets the pauses that are over.
    pub fn expire(&mut self, now: Instant) {
        self.until.retain(|_, until| *until > now);
    }

    /// Returns how many servers are recorded.
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// Returns whether no server is recorded.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}

/// Returns the shortest of these pauses, without looking further than the first server that is not paused.
pub fn shortest(pauses: impl Iterator<Item = Duration>) -> Option<Duration> {
    let mut shortest: Option<Duration> = None;
    for pause in pauses {
        shortest = Some(shortest.map_or(pause, |known| known.min(pause)));
        if pause.is_zero() {
            break;
        }
    }
    shortest
}

/// Decides about a request that can wait for `max_wait`, by how much longer each of the servers that could serve it is
/// paused.
pub fn decide(pauses: impl Iterator<Item = Duration>, max_wait: Duration) -> PauseDecision {
    match shortest(pauses) {
        Some(shortest) if shortest > max_wait => PauseDecision::Refuse(shortest),
        Some(_) | None => PauseDecision::Select,
    }
}
