//! The keeper of a shard: turns the time that VMs entrust to it into requests of workspaces, and gives these to the VMs
//! that ask.
//!
//! What it saves of a workspace's burst is as much of it as VMs entrust their shares to it: a keeper that is cut off
//! with a few VMs saves their part, and one that has just taken over saves nothing, until the one before it has noticed.

#![expect(clippy::indexing_slicing, reason = "shards are named by the VM itself")]

use std::time::{Duration, Instant};

use super::message::{Confirmation, Deposit, Grant, UsedUp};
use super::{MAX_HELD, MIN_SAVED, MIN_SAVED_REQUESTS, QuotaBounds, SHARDS, Shard, shard_of};
use crate::entry::workspaces::{Quota, Workspaces};
use crate::utils::HashMap;
use crate::world::ids::{VmName, WorkspaceName};

/// How long a VM that says nothing counts as one that entrusts its share: a keeper hears from each twice a second at least,
/// and datagrams are lost.
const PRESENT_FOR: Duration = Duration::from_millis(2500);

/// How long a keeper that has just taken over saves nothing: until the one before it knows that nobody entrusts its share
/// to it any more.
const TAKEOVER_TIME: Duration = Duration::from_millis(3000);

/// How often it is counted who entrusts its share.
const SURVEY_INTERVAL: Duration = Duration::from_millis(250);

/// How long a request that was given counts as not begun if nothing more is heard of it.
const OUTSTANDING_FOR_S: f64 = 2.0;

/// How long requests that were refused count as waiting for room.
const BACKLOG_FOR_S: f64 = 0.5;

/// The least and the greatest time after which a VM is told to ask again.
const MIN_DRY: Duration = Duration::from_millis(20);
const MAX_DRY: Duration = Duration::from_secs(5);

/// The share of what may be used beyond a quota that is set aside for what is under way; the rest is for VMs that each
/// save a request while they are alone.
const SHARE_OF_BEYOND: f64 = 0.5;

/// The share of the slack that a keeper may always save: one that has just taken over has no burst.
const SHARE_OF_SLACK: f64 = 0.25;

/// The largest number of one message that is believed.
const MAX_COUNT: u32 = 1_000_000;

/// A VM that entrusts its share.
#[derive(Clone, Copy, Debug)]
struct Depositor {
    run: u64,
    sequence: u64,
    total_us: u64,
    heard_at: Instant,
}

/// What is saved of a workspace's quota.
#[derive(Clone, Copy, Debug)]
struct Pool {
    saved: f64,
    /// The time of the shard up to which it has been saved.
    seen_ms: f64,
    /// Requests that VMs were given and have not begun.
    outstanding: f64,
    /// Requests that were refused lately.
    backlog: f64,
    updated_at: Instant,
}

/// The state of one shard.
#[derive(Clone, Debug, Default)]
struct KeptShard {
    depositors: HashMap<VmName, Depositor>,
    /// The time that all VMs have entrusted, in milliseconds of the fleet's time.
    time_ms: f64,
    kept_since: Option<Instant>,
    surveyed_at: Option<Instant>,
    /// The share of the fleet's VMs that entrust theirs.
    presence: f64,
    is_full: bool,
    pools: HashMap<WorkspaceName, Pool>,
}

/// The shards that this VM keeps.
#[derive(Clone, Debug, Default)]
pub struct QuotaKeeper {
    shards: [KeptShard; SHARDS],
}

/// The figures by which a keeper saves a workspace's quota.
#[derive(Clone, Copy, Debug)]
struct Terms {
    /// The quota's rate.
    quota_per_s: f64,
    /// The part of it that the VMs bring that entrust their shares.
    per_s: f64,
    /// The least and the most that it saves.
    least: f64,
    most: f64,
}

impl QuotaKeeper {
    /// Takes over what a VM entrusts, and gives it what it asks for. Returns `None` for a message that was handled
    /// before or makes no sense.
    pub fn receive(
        &mut self,
        now: Instant,
        keeper: &VmName,
        deposit: &Deposit,
        workspaces: &Workspaces,
        bounds: &QuotaBounds,
    ) -> Option<Confirmation> {
        let shard = self.shards.get_mut(deposit.shard)?;
        if !shard.take_over(now, deposit) {
            return None;
        }
        shard.survey(now, deposit, workspaces, bounds);
        for (workspace, requests) in &deposit.returned {
            if let Some(quota) = quota_of(workspaces, deposit.shard, workspace) {
                let terms = shard.terms(now, quota, bounds);
                shard.take_back(now, workspace, *requests, terms);
            }
        }
        let wants = deposit.wants.iter();
        let grants = wants.filter_map(|want| {
            let quota = quota_of(workspaces, deposit.shard, &want.workspace)?;
            let terms = shard.terms(now, quota, bounds);
            let time_ms = shard.time_ms;
            let pool = shard.pools.entry(want.workspace.clone());
            let pool = pool.or_insert_with(|| Pool::new(now));
            pool.update(now, time_ms, terms);
            pool.outstanding = (pool.outstanding - f64::from(want.used)).max(0.0);
            let (requests, used_up) = pool.grant(want.now.min(MAX_COUNT), want.soon, terms);
            let is_news = requests > 0 || used_up.is_some() || want.now > 0;
            is_news.then(|| Grant {
                workspace: want.workspace.clone(),
                requests,
                used_up,
            })
        });
        Some(Confirmation {
            shard: deposit.shard,
            keeper: keeper.clone(),
            run: deposit.run,
            total_us: deposit.total_us,
            grants: grants.collect(),
            is_leaving: false,
            is_full: shard.is_full,
        })
    }

    /// Returns how many requests are saved of a workspace's quota; 0 if this VM does not keep it.
    pub fn saved(&self, workspace: &str) -> f64 {
        let pool = self.shards[shard_of(workspace)].pools.get(workspace);
        pool.map_or(0.0, |pool| pool.saved)
    }

    /// Returns how many VMs entrust the share of a shard to this one.
    pub fn depositor_count(&self, shard: Shard) -> usize {
        self.shards[shard].depositors.len()
    }
}

/// Returns the quota of a workspace of a shard.
fn quota_of(workspaces: &Workspaces, shard: Shard, workspace: &str) -> Option<Quota> {
    let quota = workspaces.by_name(workspace)?.quota?;
    (shard_of(workspace) == shard).then_some(quota)
}

impl KeptShard {
    /// Adds the time that a VM entrusts; returns whether the message is a new one.
    fn take_over(&mut self, now: Instant, deposit: &Deposit) -> bool {
        let known = self.depositors.get(&deposit.vm);
        let known = known.filter(|known| known.run == deposit.run);
        if known.is_some_and(|known| known.sequence >= deposit.sequence) {
            return false;
        }
        let before = known.map_or(0, |known| known.total_us);
        let before = before.max(deposit.confirmed_us);
        let added_ms = deposit.total_us.saturating_sub(before) as f64 / 1000.0;
        let most_ms = 2.0 * MAX_HELD.as_secs_f64() * 1000.0 / deposit.vms.max(1) as f64;
        self.time_ms += added_ms.min(most_ms);
        self.depositors.insert(
            deposit.vm.clone(),
            Depositor {
                run: deposit.run,
                sequence: deposit.sequence,
                total_us: deposit.total_us,
                heard_at: now,
            },
        );
        true
    }

    /// Counts, from time to time, who entrusts its share and whether more could be saved.
    fn survey(
        &mut self,
        now: Instant,
        deposit: &Deposit,
        workspaces: &Workspaces,
        bounds: &QuotaBounds,
    ) {
        let (shard, vms) = (deposit.shard, deposit.vms);
        let is_due = |at: Instant| now.saturating_duration_since(at) >= SURVEY_INTERVAL;
        if self.surveyed_at.is_some_and(|at| !is_due(at)) {
            return;
        }
        let silent = self.surveyed_at.map(|at| now.saturating_duration_since(at));
        if silent.is_none_or(|silent| silent > PRESENT_FOR) {
            self.kept_since = Some(now);
        }
        self.surveyed_at = Some(now);
        self.depositors
            .retain(|_, known| now.saturating_duration_since(known.heard_at) < PRESENT_FOR);
        self.presence = (self.depositors.len() as f64 / vms.max(1) as f64).min(1.0);
        self.pools
            .retain(|workspace, _| quota_of(workspaces, shard, workspace).is_some());
        let names: Vec<_> = self.pools.keys().cloned().collect();
        let mut is_full = self.is_kept(now);
        for workspace in names {
            let Some(quota) = quota_of(workspaces, shard, &workspace) else {
                continue;
            };
            let terms = self.terms(now, quota, bounds);
            let time_ms = self.time_ms;
            if let Some(pool) = self.pools.get_mut(&workspace) {
                pool.update(now, time_ms, terms);
                is_full &= pool.saved + 1.0 > terms.most - pool.outstanding;
            }
        }
        self.is_full = is_full;
    }

    /// Returns whether this VM has kept the shard for long enough to save bursts.
    fn is_kept(&self, now: Instant) -> bool {
        let kept_for = self
            .kept_since
            .map(|since| now.saturating_duration_since(since));
        kept_for.is_some_and(|kept_for| kept_for >= TAKEOVER_TIME)
    }

    fn terms(&self, now: Instant, quota: Quota, bounds: &QuotaBounds) -> Terms {
        let per_s = quota.per_s();
        let under_way = per_s * MAX_HELD.as_secs_f64();
        let in_steps = per_s * MIN_SAVED.as_secs_f64();
        // What is under way may arrive in any window. A burst that is smaller, with what may be used beyond the quota,
        // leaves room for a lower rate only.
        let window_s = bounds.window.as_secs_f64();
        let beyond = (per_s * window_s + quota.burst()) * bounds.overage + bounds.slack;
        let excess = (under_way + in_steps - quota.burst() - beyond).max(0.0);
        let missing = (under_way - beyond * SHARE_OF_BEYOND).max(0.0);
        let burst = match self.is_kept(now) {
            true => (quota.burst() - missing) * self.presence,
            false => 0.0,
        };
        let saved_requests = MIN_SAVED_REQUESTS + bounds.slack * SHARE_OF_SLACK;
        let least_requests = 1.0 + saved_requests * self.presence;
        let least = (in_steps * self.presence).max(least_requests);
        let rate = per_s - excess / window_s;
        Terms {
            quota_per_s: rate,
            per_s: rate * self.presence,
            least,
            most: burst.max(least),
        }
    }

    fn take_back(&mut self, now: Instant, workspace: &str, requests: u32, terms: Terms) {
        let time_ms = self.time_ms;
        if let Some(pool) = self.pools.get_mut(workspace) {
            pool.update(now, time_ms, terms);
            let back = f64::from(requests).min(pool.outstanding);
            pool.outstanding -= back;
            pool.saved = (pool.saved + back).min(terms.most);
        }
    }
}

impl Pool {
    /// Creates the pool of a workspace that nobody has asked for yet, which holds what was saved all the while.
    fn new(now: Instant) -> Self {
        Self {
            saved: 0.0,
            seen_ms: 0.0,
            outstanding: 0.0,
            backlog: 0.0,
            updated_at: now,
        }
    }

    fn update(&mut self, now: Instant, time_ms: f64, terms: Terms) {
        let passed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.outstanding *= (-passed_s / OUTSTANDING_FOR_S).exp();
        self.backlog *= (-passed_s / BACKLOG_FOR_S).exp();
        // The time that was entrusted holds the presence already.
        let quota_per_ms = terms.quota_per_s / 1000.0;
        let earned = (time_ms - self.seen_ms) * quota_per_ms;
        self.seen_ms = time_ms;
        let most = (terms.most - self.outstanding).max(terms.least);
        self.saved = (self.saved + earned).min(most);
    }

    /// Gives requests that have arrived, then, of the upper half of what can be saved, those that are expected. Returns
    /// how many, and when there is room again, if some that have arrived get none.
    fn grant(&mut self, arrived: u32, expected: u32, terms: Terms) -> (u32, Option<UsedUp>) {
        let now = arrived.min(self.saved.max(0.0) as u32);
        self.saved -= f64::from(now);
        let upper = (self.saved - terms.most / 2.0).max(0.0) as u32;
        let soon = expected.min(upper);
        self.saved -= f64::from(soon);
        self.outstanding += f64::from(now + soon);
        let refused = arrived - now;
        if refused == 0 {
            return (now + soon, None);
        }
        self.backlog += f64::from(refused);
        let after_ms = |requests: f64| {
            let time = Duration::try_from_secs_f64(requests / terms.per_s).unwrap_or(MAX_DRY);
            time.clamp(MIN_DRY, MAX_DRY).as_millis() as u64
        };
        let used_up = UsedUp {
            ask_after_ms: after_ms(1.0 - self.saved.min(1.0)),
            room_after_ms: after_ms(self.backlog),
        };
        (now, Some(used_up))
    }
}
