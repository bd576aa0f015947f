//! The limits of backend servers: those that they name, which this VM has heard of or others have told it, and those of
//! servers that have just started and are cold.
//!
//! Load pattern: a zone's servers come back together and look idle, so that all VMs choose them first; each bears a few
//! requests a second, and ends under more. A cold server is dealt with like one that names what it bears, until it is warm.

use std::time::{Duration, Instant};

use super::limit_notice;
pub use super::limit_notice::LimitNotice;
use super::notice_id::NoticeId;
use super::server_limit::{LimitShare, PerSecond, ServerLimit, TURN_RETRY_DELAY, Turn};
use crate::utils::{HashMap, HashSet};
use crate::world::ids::BackendServerName;

/// How long a limit holds at least: an answer that the server gave just before it named the limit may come after it.
const HOLDS_AT_LEAST: Duration = Duration::from_millis(500);

/// What an answer of a server says that is news.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// It names a limit for the first time.
    Named(LimitNotice),
    /// It names another than before.
    Changed {
        /// What it named before.
        before: PerSecond,
    },
    /// It names none any more.
    Ended(NoticeId),
}

/// What a server has named.
#[derive(Clone, Copy, Debug)]
struct Named {
    per_s: PerSecond,
    since: Instant,
    /// Whether the store has it.
    is_stored: bool,
}

/// What a server bears while it is cold.
#[derive(Clone, Copy, Debug)]
struct Cold {
    per_s: PerSecond,
    noted: Instant,
    until: Instant,
}

/// The limit of a server, by what it has named, by being cold, or by the lesser of both.
#[derive(Clone, Debug)]
struct Known {
    limit: ServerLimit,
    named: Option<Named>,
    cold: Option<Cold>,
    /// When the next turn is that is not given, as far as is known.
    turn_at: Instant,
}

impl Known {
    fn new(now: Instant, limit: ServerLimit) -> Self {
        Self {
            limit,
            named: None,
            cold: None,
            turn_at: now,
        }
    }

    /// Returns what the server takes, if anything limits it.
    fn per_s(&self) -> Option<PerSecond> {
        let named = self.named.map(|named| named.per_s);
        let cold = self.cold.map(|cold| cold.per_s);
        named.into_iter().chain(cold).min_by(f64::total_cmp)
    }

    /// Goes by what limits the server now.
    fn renew(&mut self, now: Instant, part: impl FnOnce(PerSecond) -> LimitShare) {
        if let Some(per_s) = self.per_s() {
            self.limit.update(now, per_s, part(per_s));
        }
    }
}

/// Whether a server turned cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdChange {
    /// It was not known to be cold.
    Cold,
    /// It was, and is for longer or shorter.
    StillCold,
}

/// The limits of servers.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    known: HashMap<BackendServerName, Known>,
    /// When the VM began, if it matters.
    begun: Option<Instant>,
}

impl ServerLimits {
    /// Returns those of a VM that has just begun, and may have run before: it has saved nothing.
    pub fn started_at(now: Instant) -> Self {
        Self {
            begun: Some(now),
            ..Self::default()
        }
    }

    fn up_for(&self, now: Instant) -> Duration {
        let up_for = self.begun.map(|begun| now.saturating_duration_since(begun));
        up_for.unwrap_or(Duration::MAX)
    }

    /// Returns whether no server has a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns how many servers name one.
    pub fn len(&self) -> usize {
        let named = self.known.values().filter(|known| known.named.is_some());
        named.count()
    }

    /// Returns how many servers are cold.
    pub fn cold_count(&self) -> usize {
        let cold = self.known.values().filter(|known| known.cold.is_some());
        cold.count()
    }

    /// Returns what a server takes, if it has a limit.
    pub fn per_s(&self, server: &str) -> Option<PerSecond> {
        self.known.get(server).map(|known| known.limit.per_s())
    }

    /// Takes in what a server's answer names; `part` says which part of a limit this VM uses.
    pub fn record_named(
        &mut self,
        now: Instant,
        server: &BackendServerName,
        named: Option<PerSecond>,
        part: impl FnOnce(PerSecond) -> LimitShare,
        chance: f64,
    ) -> Option<LimitChange> {
        let Some(per_s) = named else {
            return self.names_none(now, server, part);
        };
        let cold = self.known.get(server).and_then(|known| known.cold);
        let takes = cold.map_or(per_s, |cold| cold.per_s.min(per_s));
        let part = part(takes);
        let known = self.known.entry(server.clone());
        let known =
            known.or_insert_with(|| Known::new(now, ServerLimit::new(now, takes, part, chance)));
        let before = known.named;
        known.named = Some(Named {
            per_s,
            since: before.map_or(now, |named| named.since),
            is_stored: before.is_some_and(|named| named.is_stored),
        });
        known.limit.update(now, takes, part);
        let server = server.clone();
        match before.map(|named| named.per_s) {
            None => Some(LimitChange::Named(LimitNotice { server, per_s })),
            Some(before) if before != per_s => Some(LimitChange::Changed { before }),
            Some(_) => None,
        }
    }

    fn names_none(
        &mut self,
        now: Instant,
        server: &BackendServerName,
        part: impl FnOnce(PerSecond) -> LimitShare,
    ) -> Option<LimitChange> {
        let known = self.known.get_mut(server)?;
        let named = known.named?;
        if now.saturating_duration_since(named.since) < HOLDS_AT_LEAST {
            return None;
        }
        known.named = None;
        self.settle(now, server, part);
        Some(LimitChange::Ended(limit_notice::id(server)))
    }

    /// Goes by what still limits a server, or forgets it.
    fn settle(&mut self, now: Instant, server: &str, part: impl FnOnce(PerSecond) -> LimitShare) {
        let Some(known) = self.known.get_mut(server) else {
            return;
        };
        match known.per_s() {
            Some(_) => known.renew(now, part),
            None => {
                self.known.remove(server);
            }
        }
    }

    /// Takes in that a server is cold for so long, and bears so much meanwhile.
    ///
    /// Its slots are free at first, so the VMs that keep the limit have saved a request each.
    pub fn record_cold(
        &mut self,
        now: Instant,
        server: &BackendServerName,
        per_s: PerSecond,
        lasts: Duration,
        part: impl FnOnce(PerSecond) -> LimitShare,
        chance: f64,
    ) -> ColdChange {
        let named = self.known.get(server).and_then(|known| known.named);
        let takes = named.map_or(per_s, |named| named.per_s.min(per_s));
        let part = part(takes);
        let up_for = self.up_for(now);
        let known = self.known.entry(server.clone());
        let known = known.or_insert_with(|| {
            let limit = ServerLimit::new(now, takes, part, chance);
            Known::new(now, limit.with_saved_tokens(up_for))
        });
        let before = known.cold.replace(Cold {
            per_s,
            noted: now,
            until: now + lasts,
        });
        known.limit.update(now, takes, part);
        match before {
            None => ColdChange::Cold,
            Some(_) => ColdChange::StillCold,
        }
    }

    /// Takes in that a server, asked at this moment, said that it is not cold; returns whether it was known to be.
    pub fn record_warm(
        &mut self,
        now: Instant,
        server: &str,
        asked_at: Instant,
        part: impl FnOnce(PerSecond) -> LimitShare,
    ) -> bool {
        let Some(known) = self.known.get_mut(server) else {
            return false;
        };
        // What it said before it turned cold may come after.
        if known.cold.is_none_or(|cold| cold.noted > asked_at) {
            return false;
        }
        known.cold = None;
        self.settle(now, server, part);
        true
    }

    /// Ends the limits of servers that are cold no longer; returns these.
    pub fn expire_cold(
        &mut self,
        now: Instant,
        part: impl Fn(&BackendServerName, PerSecond) -> LimitShare,
    ) -> Vec<BackendServerName> {
        let is_over = |known: &&mut Known| known.cold.is_some_and(|cold| cold.until <= now);
        let mut over = Vec::new();
        for (server, known) in &mut self.known {
            if is_over(&known) {
                known.cold = None;
                over.push(server.clone());
            }
        }
        for server in &over {
            self.settle(now, server, |per_s| part(server, per_s));
        }
        over
    }

    /// Takes in a notice that the store has; returns whether it is news. What the server itself has named holds.
    pub fn add_notice(
        &mut self,
        now: Instant,
        notice: &LimitNotice,
        part: LimitShare,
        chance: f64,
    ) -> bool {
        let known = self.known.entry(notice.server.clone());
        let known = known
            .or_insert_with(|| Known::new(now, ServerLimit::new(now, notice.per_s, part, chance)));
        if let Some(named) = &mut known.named {
            return !std::mem::replace(&mut named.is_stored, true);
        }
        known.named = Some(Named {
            per_s: notice.per_s,
            since: now,
            is_stored: true,
        });
        known.renew(now, |_| part);
        true
    }

    /// Takes in that the store no longer has a notice; returns whether it was known.
    pub fn remove_notice(&mut self, id: &str) -> bool {
        let Some(server) = LimitNotice::parse_id(id) else {
            return false;
        };
        let Some(known) = self.known.get_mut(server) else {
            return false;
        };
        let was_named = known.named.take().is_some();
        // One that is cold as well goes by the same limit until it is warm.
        if known.cold.is_none() {
            self.known.remove(server);
        }
        was_named
    }

    /// Takes in all notices that the store has; returns those that it has no longer.
    pub fn remove_missing(&mut self, ids: &HashSet<NoticeId>) -> Vec<NoticeId> {
        let stored = self.stored_notices().map(|notice| notice.id());
        let gone: Vec<NoticeId> = stored.filter(|id| !ids.contains(id)).collect();
        for id in &gone {
            self.remove_notice(id);
        }
        gone
    }

    /// Returns the notices that the store has.
    pub fn stored_notices(&self) -> impl Iterator<Item = LimitNotice> {
        self.known.iter().filter_map(|(server, known)| {
            let named = known.named.filter(|named| named.is_stored)?;
            Some(LimitNotice {
                server: server.clone(),
                per_s: named.per_s,
            })
        })
    }

    /// Forgets servers that are not in use; returns the notices that the store has of them.
    pub fn retain_in_use(&mut self, is_in_use: impl Fn(&str) -> bool) -> Vec<NoticeId> {
        let stored = self
            .stored_notices()
            .filter(|notice| !is_in_use(&notice.server));
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
        known.map_or(Turn::TooLate(TURN_RETRY_DELAY), |known| {
            known.limit.give_turn(now, patience)
        })
    }

    /// Returns whether there may be a turn at a server for a request that waits so long at most.
    pub fn may_have_turn(&self, now: Instant, server: &str, patience: Duration) -> bool {
        let known = self.known.get(server);
        known.is_some_and(|known| known.turn_at <= now + patience)
    }

    /// Takes in that the next turn at a server is after this time, which was too late for a request that waits so long.
    pub fn defer_turns(&mut self, now: Instant, server: &str, after: Duration, patience: Duration) {
        let Some(known) = self.known.get_mut(server) else {
            return;
        };
        // A keeper that has not been told of the limit, or does not answer, gives no turn at all.
        known.turn_at = match after > patience {
            true => now + after,
            false => now + patience + TURN_RETRY_DELAY,
        };
    }

    /// Takes note that a request is sent to a server.
    pub fn record_sent(&mut self, now: Instant, server: &str, chance: f64) {
        if let Some(known) = self.known.get_mut(server) {
            known.limit.record_sent(now, chance);
        }
    }

    /// Takes in that it may have changed which part of the limits this VM uses.
    pub fn update_shares(
        &mut self,
        now: Instant,
        part: impl Fn(&BackendServerName, PerSecond) -> LimitShare,
    ) {
        for (server, known) in &mut self.known {
            let per_s = known.limit.per_s();
            known.limit.update(now, per_s, part(server, per_s));
        }
    }
}
