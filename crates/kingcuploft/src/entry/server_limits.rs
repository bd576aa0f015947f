//! The limits that backend servers name: those that this VM has heard of, and those that others have told it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::notice_id::NoticeId;
use super::server_limit::{ASK_AGAIN, Part, PerSecond, ServerLimit, Turn};
use crate::utils::{HashMap, HashSet};
use crate::world::ids::BackendServerName;

/// How long a limit holds at least: an answer that the server gave just before it named the limit may come after it.
const HOLDS_AT_LEAST: Duration = Duration::from_millis(500);

/// What the names of notices of limits begin with.
const PREFIX: &str = "limit.";

/// A server names a limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// The server.
    pub server: BackendServerName,
    /// What it takes from all VMs together.
    pub per_s: PerSecond,
}

impl LimitNotice {
    /// Returns the notice's name in the store.
    pub fn id(&self) -> NoticeId {
        id(&self.server)
    }

    /// Reads a notice's name.
    pub fn parse_id(id: &str) -> Option<&str> {
        id.strip_prefix(PREFIX)
    }
}

fn id(server: &str) -> NoticeId {
    format!("{PREFIX}{server}")
}

/// What an answer of a server says that is news.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// It names a limit for the first time.
    Named(LimitNotice),
    /// It names none any more.
    Ended(NoticeId),
}

#[derive(Clone, Debug)]
struct Known {
    limit: ServerLimit,
    since: Instant,
    /// When the next turn is that is not given, as far as is known.
    turn_at: Instant,
    /// Whether the store has it.
    is_stored: bool,
}

/// The limits that servers name.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    known: HashMap<BackendServerName, Known>,
}

impl ServerLimits {
    /// Returns whether no server names a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns how many servers name one.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns what a server named last, if anything.
    pub fn per_s(&self, server: &str) -> Option<PerSecond> {
        self.known.get(server).map(|known| known.limit.per_s())
    }

    /// Takes in what a server's answer names; `part` says which part of a limit this VM uses.
    pub fn heard(
        &mut self,
        now: Instant,
        server: &BackendServerName,
        named: Option<PerSecond>,
        part: impl FnOnce(PerSecond) -> Part,
        chance: f64,
    ) -> Option<News> {
        let known = self.known.get_mut(server);
        match (named, known) {
            (None, None) => None,
            (None, Some(known)) => {
                if now.saturating_duration_since(known.since) < HOLDS_AT_LEAST {
                    return None;
                }
                self.known.remove(server);
                Some(News::Ended(id(server)))
            }
            (Some(per_s), Some(known)) => {
                known.limit.renew(now, per_s, part(per_s));
                None
            }
            (Some(per_s), None) => {
                let limit = ServerLimit::new(now, per_s, part(per_s), chance);
                self.insert(now, server.clone(), limit, false);
                let server = server.clone();
                Some(News::Named(LimitNotice { server, per_s }))
            }
        }
    }

    /// Takes in a notice that the store has; returns whether it is news. What the server itself has named holds.
    pub fn told(&mut self, now: Instant, notice: &LimitNotice, part: Part, chance: f64) -> bool {
        if let Some(known) = self.known.get_mut(&notice.server) {
            return !std::mem::replace(&mut known.is_stored, true);
        }
        let limit = ServerLimit::new(now, notice.per_s, part, chance);
        self.insert(now, notice.server.clone(), limit, true);
        true
    }

    fn insert(
        &mut self,
        now: Instant,
        server: BackendServerName,
        limit: ServerLimit,
        is_stored: bool,
    ) {
        let known = Known {
            limit,
            since: now,
            turn_at: now,
            is_stored,
        };
        self.known.insert(server, known);
    }

    /// Takes in that the store no longer has a notice; returns whether it was known.
    pub fn withdrawn(&mut self, id: &str) -> bool {
        let server = LimitNotice::parse_id(id);
        server.is_some_and(|server| self.known.remove(server).is_some())
    }

    /// Takes in all notices that the store has; returns those that it has no longer.
    pub fn all_told(&mut self, ids: &HashSet<NoticeId>) -> Vec<NoticeId> {
        let stored = self.stored().map(|notice| notice.id());
        let gone: Vec<NoticeId> = stored.filter(|id| !ids.contains(id)).collect();
        for id in &gone {
            self.withdrawn(id);
        }
        gone
    }

    /// Returns the notices that the store has.
    pub fn stored(&self) -> impl Iterator<Item = LimitNotice> {
        let stored = self.known.iter().filter(|(_, known)| known.is_stored);
        stored.map(|(server, known)| LimitNotice {
            server: server.clone(),
            per_s: known.limit.per_s(),
        })
    }

    /// Forgets servers that are not in use; returns the notices that the store has of them.
    pub fn forget_gone(&mut self, is_in_use: impl Fn(&str) -> bool) -> Vec<NoticeId> {
        let stored = self.stored().filter(|notice| !is_in_use(&notice.server));
        let gone = stored.map(|notice| notice.id()).collect();
        self.known.retain(|server, _| is_in_use(server));
        gone
    }

    /// Returns when the next request may be sent to a server: at once if that is zero.
    pub fn wait(&mut self, now: Instant, server: &str, chance: f64) -> Duration {
        let known = self.known.get_mut(server);
        known.map_or(Duration::ZERO, |known| known.limit.wait(now, chance))
    }

    /// Gives a turn at a server to a request that waits so long at most.
    pub fn give_turn(&mut self, now: Instant, server: &str, patience: Duration) -> Turn {
        let known = self.known.get_mut(server);
        known.map_or(Turn::TooLate(ASK_AGAIN), |known| {
            known.limit.give_turn(now, patience)
        })
    }

    /// Returns whether there may be a turn at a server for a request that waits so long at most.
    pub fn may_have_turn(&self, now: Instant, server: &str, patience: Duration) -> bool {
        let known = self.known.get(server);
        known.is_some_and(|known| known.turn_at <= now + patience)
    }

    /// Takes in that the next turn at a server is after this time, which was too late for a request that waits so long.
    pub fn no_turn_before(
        &mut self,
        now: Instant,
        server: &str,
        after: Duration,
        patience: Duration,
    ) {
        let Some(known) = self.known.get_mut(server) else {
            return;
        };
        // A keeper that has not been told of the limit, or does not answer, gives no turn at all.
        known.turn_at = match after > patience {
            true => now + after,
            false => now + patience + ASK_AGAIN,
        };
    }

    /// Takes note that a request is sent to a server.
    pub fn sent(&mut self, now: Instant, server: &str, chance: f64) {
        if let Some(known) = self.known.get_mut(server) {
            known.limit.sent(now, chance);
        }
    }

    /// Takes in that it may have changed which part of the limits this VM uses.
    pub fn divide(&mut self, now: Instant, part: impl Fn(&BackendServerName, PerSecond) -> Part) {
        for (server, known) in &mut self.known {
            let per_s = known.limit.per_s();
            known.limit.renew(now, per_s, part(server, per_s));
        }
    }
}
