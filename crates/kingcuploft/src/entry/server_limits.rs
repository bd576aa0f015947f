//! The rate limits of backend servers: those that they name themselves, as heard by this VM or reported by others, and
//! those of servers that have just started and are cold.
//!
//! Load pattern: a zone's servers restart together and look idle, so that all VMs choose them first; each accepts a few
//! requests a second, and crashes under more. A cold server is treated like one that names a limit, until it is warm.

use std::time::{Duration, Instant};

use super::known_limit::{Cold, Known, Named};
use super::limit_notice;
pub use super::limit_notice::LimitNotice;
use super::notice_id::NoticeId;
use super::server_limit::{LimitShare, PerSecond, ServerLimit, TURN_RETRY_DELAY, Turn};
use crate::utils::{HashMap, HashSet};
use crate::world::ids::BackendServerName;

/// Minimum time for which a limit is kept: an answer that the server gave just before it named the limit may arrive
/// after it.
const MIN_LIMIT_DURATION: Duration = Duration::from_millis(500);

/// A change of the limit that a server names in its answers.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// It names a limit for the first time.
    Named(LimitNotice),
    /// It names another limit than before.
    Changed {
        /// The previous limit.
        before: PerSecond,
    },
    /// It names no limit any more.
    Ended(NoticeId),
}

/// Whether a server became cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ColdChange {
    /// It was not known to be cold.
    Cold,
    /// It was already cold; the remaining time has changed.
    StillCold,
}

/// The limits of all servers.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    known: HashMap<BackendServerName, Known>,
    /// When the VM started, if it may have run before.
    started_at: Option<Instant>,
}

impl ServerLimits {
    /// Creates the limits of a VM that has just started, and may have run before: its token buckets are empty.
    pub fn started_at(now: Instant) -> Self {
        Self {
            started_at: Some(now),
            ..Self::default()
        }
    }

    fn up_for(&self, now: Instant) -> Duration {
        let up_for = self
            .started_at
            .map(|started_at| now.saturating_duration_since(started_at));
        up_for.unwrap_or(Duration::MAX)
    }

    /// Returns whether no server has a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the servers that have a limit.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServerName> {
        self.known.keys()
    }

    /// Returns the number of servers that name a limit.
    pub fn len(&self) -> usize {
        let named = self.known.values().filter(|known| known.named.is_some());
        named.count()
    }

    /// Returns the number of cold servers.
    pub fn cold_count(&self) -> usize {
        let cold = self.known.values().filter(|known| known.cold.is_some());
        cold.count()
    }

    /// Returns a server's limit, if it has one.
    pub fn per_s(&self, server: &str) -> Option<PerSecond> {
        self.known.get(server).map(|known| known.limit.per_s())
    }

    /// Records the limit that a server's answer names; `share` returns the share of a limit that this VM uses.
    pub fn record_named(
        &mut self,
        now: Instant,
        server: &BackendServerName,
        named: Option<PerSecond>,
        share: impl FnOnce(PerSecond) -> LimitShare,
        chance: f64,
    ) -> Option<LimitChange> {
        let Some(per_s) = named else {
            return self.names_none(now, server, share);
        };
        let cold = self.known.get(server).and_then(|known| known.cold);
        let takes = cold.map_or(per_s, |cold| cold.per_s.min(per_s));
        let share = share(takes);
        let known = self.known.entry(server.clone());
        let known =
            known.or_insert_with(|| Known::new(now, ServerLimit::new(now, takes, share, chance)));
        let before = known.named;
        known.named = Some(Named {
            per_s,
            since: before.map_or(now, |named| named.since),
            is_stored: before.is_some_and(|named| named.is_stored),
        });
        known.limit.update(now, takes, share);
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
        share: impl FnOnce(PerSecond) -> LimitShare,
    ) -> Option<LimitChange> {
        let known = self.known.get_mut(server)?;
        let named = known.named?;
        if now.saturating_duration_since(named.since) < MIN_LIMIT_DURATION {
            return None;
        }
        known.named = None;
        self.apply_remaining(now, server, share);
        Some(LimitChange::Ended(limit_notice::id(server)))
    }

    /// Applies a server's remaining limit, or removes the server if there is none.
    fn apply_remaining(
        &mut self,
        now: Instant,
        server: &str,
        share: impl FnOnce(PerSecond) -> LimitShare,
    ) {
        let Some(known) = self.known.get_mut(server) else {
            return;
        };
        match known.per_s() {
            Some(_) => known.renew(now, share),
            None => {
                self.known.remove(server);
            }
        }
    }

    /// Records that a server is cold for `lasts`, and accepts `per_s` requests per second meanwhile.
    ///
    /// Its slots are free at first, so the bucket of each VM that owns the limit starts with one request.
    pub fn record_cold(
        &mut self,
        now: Instant,
        server: &BackendServerName,
        per_s: PerSecond,
        lasts: Duration,
        share: impl FnOnce(PerSecond) -> LimitShare,
        chance: f64,
    ) -> ColdChange {
        let named = self.known.get(server).and_then(|known| known.named);
        let takes = named.map_or(per_s, |named| named.per_s.min(per_s));
        let share = share(takes);
        let up_for = self.up_for(now);
        let known = self.known.entry(server.clone());
        let known = known.or_insert_with(|| {
            let limit = ServerLimit::new(now, takes, share, chance);
            Known::new(now, limit.with_saved_tokens(up_for))
        });
        let before = known.cold.replace(Cold {
            per_s,
            recorded_at: now,
            until: now + lasts,
        });
        known.limit.update(now, takes, share);
        match before {
            None => ColdChange::Cold,
            Some(_) => ColdChange::StillCold,
        }
    }

    /// Records that a server that was probed at `asked_at` said that it is not cold; returns whether it was known to be
    /// cold.
    pub fn record_warm(
        &mut self,
        now: Instant,
        server: &str,
        asked_at: Instant,
        share: impl FnOnce(PerSecond) -> LimitShare,
    ) -> bool {
        let Some(known) = self.known.get_mut(server) else {
            return false;
        };
        // An answer from before it became cold may arrive later.
        if known.cold.is_none_or(|cold| cold.recorded_at > asked_at) {
            return false;
        }
        known.cold = None;
        self.apply_remaining(now, server, share);
        true
    }

    /// Ends the limits of servers that are no longer cold, and returns these servers.
    pub fn expire_cold(
        &mut self,
        now: Instant,
        share: impl Fn(&BackendServerName, PerSecond) -> LimitShare,
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
            self.apply_remaining(now, server, |per_s| share(server, per_s));
        }
        over
    }

    /// Adds a notice that the store has; returns whether it is news. A limit that this VM heard from the server itself
    /// takes precedence.
    pub fn add_notice(
        &mut self,
        now: Instant,
        notice: &LimitNotice,
        share: LimitShare,
        chance: f64,
    ) -> bool {
        let known = self.known.entry(notice.server.clone());
        let known = known
            .or_insert_with(|| Known::new(now, ServerLimit::new(now, notice.per_s, share, chance)));
        if let Some(named) = &mut known.named {
            return !std::mem::replace(&mut named.is_stored, true);
        }
        known.named = Some(Named {
            per_s: notice.per_s,
            since: now,
            is_stored: true,
        });
        known.renew(now, |_| share);
        true
    }

    /// Removes a notice that the store no longer has; returns whether it was known.
    pub fn remove_notice(&mut self, id: &str) -> bool {
        let Some(server) = LimitNotice::parse_id(id) else {
            return false;
        };
        let Some(known) = self.known.get_mut(server) else {
            return false;
        };
        let was_named = known.named.take().is_some();
        // A server that is cold as well keeps the same limit until it is warm.
        if known.cold.is_none() {
            self.known.remove(server);
        }
        was_named
    }

    /// Applies the full list of notice keys that the store has; returns the keys of the removed notices.
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

    /// Removes servers that are not in use; returns the keys of their notices in the store.
    pub fn retain_in_use(&mut self, is_in_use: impl Fn(&str) -> bool) -> Vec<NoticeId> {
        let stored = self
            .stored_notices()
            .filter(|notice| !is_in_use(&notice.server));
        let gone = stored.map(|notice| notice.id()).collect();
        self.known.retain(|server, _| is_in_use(server));
        gone
    }

    /// Returns how long the next request to a server has to wait; zero if it may be sent at once.
    pub fn wait(&mut self, now: Instant, server: &str, chance: f64) -> Duration {
        let known = self.known.get_mut(server);
        known.map_or(Duration::ZERO, |known| known.limit.wait(now, chance))
    }

    /// Gives a turn at a server to a request that can wait for `max_wait`.
    pub fn give_turn(&mut self, now: Instant, server: &str, max_wait: Duration) -> Turn {
        let known = self.known.get_mut(server);
        known.map_or(Turn::TooLate(TURN_RETRY_DELAY), |known| {
            known.limit.give_turn(now, max_wait)
        })
    }

    /// Returns whether a turn at a server may be available for a request that can wait for `max_wait`.
    pub fn may_have_turn(&self, now: Instant, server: &str, max_wait: Duration) -> bool {
        let known = self.known.get(server);
        known.is_some_and(|known| known.next_turn_at <= now + max_wait)
    }

    /// Records that the next turn at a server comes after the time `after`, which was too late for a request that could
    /// wait for `max_wait`.
    pub fn defer_turns(&mut self, now: Instant, server: &str, after: Duration, max_wait: Duration) {
        let Some(known) = self.known.get_mut(server) else {
            return;
        };
        // An owner that does not know the limit yet, or does not answer, gives no turn at all.
        known.next_turn_at = match after > max_wait {
            true => now + after,
            false => now + max_wait + TURN_RETRY_DELAY,
        };
    }

    /// Records that a request is sent to a server.
    pub fn record_sent(&mut self, now: Instant, server: &str, chance: f64) {
        if let Some(known) = self.known.get_mut(server) {
            known.limit.record_sent(now, chance);
        }
    }

    /// Recomputes the shares of all limits that this VM uses.
    pub fn update_shares(
        &mut self,
        now: Instant,
        share: impl Fn(&BackendServerName, PerSecond) -> LimitShare,
    ) {
        for (server, known) in &mut self.known {
            let per_s = known.limit.per_s();
            known.limit.update(now, per_s, share(server, per_s));
        }
    }
}
