//! A VM's side of quotas: its share of the fleet's time, and the requests of workspaces that keepers have given it.
//!
//! A request whose workspace has requests in stock begins at once. Where callers come steadily, what they will need is
//! asked for ahead; only a request that nobody expected makes the VM ask on its way.

#![expect(
    clippy::indexing_slicing,
    reason = "shards are named by the VM itself or checked when they arrive"
)]

use std::time::{Duration, Instant};

use super::message::{Confirmation, Deposit, MAX_WORKSPACES, RunNumber, Want};
use super::{GRANT_LIFETIME, MAX_HELD, RESTING_INTERVAL, SHARDS, Shard, interval, shard_of};
use crate::utils::HashMap;
use crate::world::ids::{VmName, WorkspaceName};

/// How long a reply is waited for before the same is asked again.
const REPLY_TIMEOUT: Duration = Duration::from_millis(20);

/// The least number of requests that are expected while one stays good, for one to be asked for ahead. Otherwise most
/// would go back unused, and be missing where callers are.
const MIN_EXPECTED: f64 = 0.5;

/// How long a workspace without requests is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The longest time without room that a keeper is believed, in milliseconds.
const MAX_TOLD_MS: u64 = 10_000;

/// The time over which the expected number of requests is a mean.
const MEAN_OVER_S: f64 = 2.0;

/// The least number of requests in one interval that are no chance, and the weight of such an interval in the mean.
const MIN_SURGE: u32 = 3;
const SURGE_WEIGHT: f64 = 0.5;

/// What becomes of a request by its workspace's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaStep {
    /// It may begin.
    Begin,
    /// The keeper must be asked.
    Ask,
    /// The quota is used up; there is room again after this time.
    UsedUp(Duration),
}

/// What a VM has of one workspace.
#[derive(Clone, Copy, Debug)]
struct Stock {
    requests: u32,
    good_until: Instant,
    /// Until when nothing is to be had, and when there is room for a caller that is refused until then.
    used_up: Option<(Instant, Instant)>,
    waiting: u32,
    /// Requests that have arrived since this time.
    arrived: u32,
    counted_since: Instant,
    used: u32,
    returned: u32,
    expected_per_s: f64,
    last_arrival: Instant,
}

impl Stock {
    fn new(now: Instant) -> Self {
        Self {
            requests: 0,
            good_until: now,
            used_up: None,
            waiting: 0,
            arrived: 0,
            counted_since: now,
            used: 0,
            returned: 0,
            expected_per_s: 0.0,
            last_arrival: now,
        }
    }

    /// Moves requests that are no longer good to those that go back.
    fn expire(&mut self, now: Instant) {
        if now >= self.good_until {
            let back = std::mem::take(&mut self.requests);
            self.returned = self.returned.saturating_add(back);
        }
    }

    /// Returns what is asked for, for the time until the next message: requests that wait, and that are expected.
    fn want(&mut self, now: Instant, next: Duration) -> (u32, u32) {
        let counted_for = now.saturating_duration_since(self.counted_since);
        if counted_for >= next {
            let counted_for_s = counted_for.as_secs_f64();
            let per_s = f64::from(self.arrived) / counted_for_s;
            let weight = match self.arrived >= MIN_SURGE {
                true => SURGE_WEIGHT,
                false => 1.0 - (-counted_for_s / MEAN_OVER_S).exp(),
            };
            self.expected_per_s += (per_s - self.expected_per_s) * weight;
            self.arrived = 0;
            self.counted_since = now;
        }
        let expected = (self.expected_per_s * next.as_secs_f64()).round() as u32;
        let in_lifetime = self.expected_per_s * GRANT_LIFETIME.as_secs_f64();
        let soon = expected.max(u32::from(in_lifetime >= MIN_EXPECTED));
        (self.waiting, soon.saturating_sub(self.requests))
    }

    fn is_idle(&self, now: Instant) -> bool {
        let rested = now.saturating_duration_since(self.last_arrival);
        let has_any = [self.requests, self.returned, self.waiting, self.used] != [0; 4];
        rested > FORGET_AFTER && !has_any
    }
}

/// What a VM has entrusted to one keeper.
#[derive(Clone, Copy, Debug, Default)]
struct Entrusted {
    sequence: u64,
    total_us: u64,
    confirmed_us: u64,
}

/// A VM's share of the time of one shard.
#[derive(Clone, Debug)]
struct OwnShare {
    earned_at: Instant,
    held_ms: f64,
    entrusted: HashMap<VmName, Entrusted>,
    sent_at: Option<Instant>,
    answered: bool,
    is_full: bool,
}

/// What one VM has and wants of all quotas.
#[derive(Clone, Debug)]
pub struct QuotaAccount {
    run: RunNumber,
    shares: [OwnShare; SHARDS],
    stocks: [HashMap<WorkspaceName, Stock>; SHARDS],
}

impl QuotaAccount {
    /// Creates the account of a VM that has just started: it has earned nothing yet.
    pub fn new(now: Instant, run: RunNumber) -> Self {
        let share = OwnShare {
            earned_at: now,
            held_ms: 0.0,
            entrusted: HashMap::default(),
            sent_at: None,
            answered: true,
            is_full: false,
        };
        Self {
            run,
            shares: std::array::from_fn(|_| share.clone()),
            stocks: Default::default(),
        }
    }

    fn stock(&mut self, now: Instant, workspace: &WorkspaceName) -> &mut Stock {
        let of_shard = &mut self.stocks[shard_of(workspace)];
        of_shard
            .entry(workspace.clone())
            .or_insert_with(|| Stock::new(now))
    }

    /// Records that a request of a workspace has arrived.
    pub fn record_arrival(&mut self, now: Instant, workspace: &WorkspaceName) {
        let stock = self.stock(now, workspace);
        stock.arrived += 1;
        stock.last_arrival = now;
    }

    /// Takes a request from a workspace's stock, if there is one.
    pub fn take(&mut self, now: Instant, workspace: &WorkspaceName) -> QuotaStep {
        let stock = self.stock(now, workspace);
        stock.expire(now);
        if stock.requests > 0 {
            stock.requests -= 1;
            stock.used += 1;
            return QuotaStep::Begin;
        }
        match stock.used_up.filter(|(until, _)| now < *until) {
            Some((_, room_at)) => QuotaStep::UsedUp(room_at - now),
            None => QuotaStep::Ask,
        }
    }

    /// Gives back the request that a caller's request had taken, as it surely has not run.
    pub fn give_back(&mut self, now: Instant, workspace: &WorkspaceName) {
        let stock = self.stock(now, workspace);
        stock.expire(now);
        stock.used = stock.used.saturating_sub(1);
        stock.requests += 1;
        stock.good_until = stock.good_until.max(now + GRANT_LIFETIME);
    }

    /// Records that a request begins or ends to wait for the keeper's reply.
    pub fn record_waiting(&mut self, now: Instant, workspace: &WorkspaceName, waits: bool) {
        let stock = self.stock(now, workspace);
        stock.waiting = match waits {
            true => stock.waiting + 1,
            false => stock.waiting.saturating_sub(1),
        };
    }

    /// Returns whether the keeper of a workspace's shard may be asked now: no reply to an earlier message is on its way.
    pub fn may_ask(&self, now: Instant, shard: Shard) -> bool {
        let share = &self.shares[shard];
        let waited = share.sent_at.map(|at| now.saturating_duration_since(at));
        share.answered || waited.is_none_or(|waited| waited >= REPLY_TIMEOUT)
    }

    /// Returns when the keeper of a shard is to hear from this VM next.
    pub fn next_message_at(&self, now: Instant, shard: Shard, vms: usize) -> Instant {
        let share = &self.shares[shard];
        let is_resting = share.is_full && self.stocks[shard].is_empty();
        let pause = match is_resting {
            true => RESTING_INTERVAL,
            false => interval(vms),
        };
        share.sent_at.map_or(now, |at| at + pause)
    }

    /// Returns the message to the keeper of a shard, to which this VM's share goes over. `vms` is how many VMs there are.
    pub fn deposit(
        &mut self,
        now: Instant,
        vm: &VmName,
        to: &VmName,
        shard: Shard,
        vms: usize,
    ) -> Deposit {
        let share = &mut self.shares[shard];
        let earned = now.saturating_duration_since(share.earned_at);
        share.earned_at = now;
        let part = 1.0 / vms.max(1) as f64;
        let most = MAX_HELD.as_secs_f64() * 1000.0 * part;
        share.held_ms = (share.held_ms + earned.as_secs_f64() * 1000.0 * part).min(most);
        share.sent_at = Some(now);
        share.answered = false;
        let entrusted = share.entrusted.entry(to.clone()).or_default();
        entrusted.sequence += 1;
        let whole_us = (share.held_ms * 1000.0) as u64;
        share.held_ms -= whole_us as f64 / 1000.0;
        entrusted.total_us += whole_us;
        let entrusted = *entrusted;
        let (wants, returned) = self.wants(now, shard, entrusted.sequence, interval(vms));
        Deposit {
            shard,
            vm: vm.clone(),
            run: self.run,
            sequence: entrusted.sequence,
            total_us: entrusted.total_us,
            confirmed_us: entrusted.confirmed_us,
            vms,
            wants,
            returned,
        }
    }

    /// Returns a message that asks whether a VM that did not answer keeps the shard again; nothing goes over to it.
    pub fn probe(&mut self, vm: &VmName, to: &VmName, shard: Shard, vms: usize) -> Deposit {
        let share = &mut self.shares[shard];
        let entrusted = share.entrusted.entry(to.clone()).or_default();
        entrusted.sequence += 1;
        Deposit {
            shard,
            vm: vm.clone(),
            run: self.run,
            sequence: entrusted.sequence,
            total_us: entrusted.total_us,
            // What was under way when it fell silent counts as lost.
            confirmed_us: entrusted.total_us,
            vms,
            wants: Vec::new(),
            returned: Vec::new(),
        }
    }

    fn wants(
        &mut self,
        now: Instant,
        shard: Shard,
        sequence: u64,
        next: Duration,
    ) -> (Vec<Want>, Vec<(WorkspaceName, u32)>) {
        let stocks = &mut self.stocks[shard];
        stocks.retain(|_, stock| !stock.is_idle(now));
        let (mut wants, mut returned) = (Vec::new(), Vec::new());
        // Those that wait come first; where there are too many for one message, the others take turns.
        let mut all: Vec<_> = stocks.iter_mut().collect();
        if !all.is_empty() {
            let turn = sequence as usize % all.len();
            all.rotate_left(turn);
        }
        all.sort_by_key(|(_, stock)| stock.waiting == 0);
        for (workspace, stock) in all.into_iter().take(MAX_WORKSPACES) {
            stock.expire(now);
            if stock.returned > 0 {
                returned.push((workspace.clone(), std::mem::take(&mut stock.returned)));
            }
            let (waiting, soon) = stock.want(now, next);
            let used = std::mem::take(&mut stock.used);
            if waiting + soon + used > 0 {
                wants.push(Want {
                    workspace: workspace.clone(),
                    now: waiting,
                    soon,
                    used,
                });
            }
        }
        (wants, returned)
    }

    /// Applies a keeper's reply; returns whether it was meant for this start of the VM.
    pub fn apply(&mut self, now: Instant, reply: &Confirmation) -> bool {
        if reply.run != self.run || reply.shard >= SHARDS {
            return false;
        }
        let share = &mut self.shares[reply.shard];
        if let Some(entrusted) = share.entrusted.get_mut(&reply.keeper) {
            entrusted.confirmed_us = entrusted.confirmed_us.max(reply.total_us);
        }
        share.answered = true;
        share.is_full = reply.is_full;
        for grant in &reply.grants {
            if shard_of(&grant.workspace) != reply.shard {
                continue;
            }
            let stock = self.stock(now, &grant.workspace);
            stock.expire(now);
            stock.requests = stock.requests.saturating_add(grant.requests);
            if grant.requests > 0 {
                stock.good_until = now + GRANT_LIFETIME;
            }
            stock.used_up = grant.used_up.map(|used_up| {
                let at = |ms: u64| now + Duration::from_millis(ms.min(MAX_TOLD_MS));
                let until = at(used_up.ask_after_ms);
                (until, at(used_up.room_after_ms).max(until))
            });
        }
        true
    }

    /// Returns the number of workspaces with requests in stock or on their way.
    pub fn active_count(&self) -> usize {
        self.stocks.iter().map(HashMap::len).sum()
    }
}
