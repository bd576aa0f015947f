//! The share of a backend server's rate limit that one VM uses, for servers that name a limit or are cold.
//!
//! Load pattern: a server in distress accepts one request a second from hundreds of VMs, and looks idle, so that each
//! VM would choose it first. A limit divided by the number of VMs gives none of them a request in minutes, and all of
//! them one in the same second. So the limit is owned by as many VMs as it has requests a second, each with an equal
//! share; all VMs agree on the owners without coordination, by the zone records. The other VMs ask an owner for a turn
//! when no other server is suitable. Besides, they send an occasional request, at random moments that are lost if not
//! used: if they miss the news that the limit has ended, they find out.

use std::time::{Duration, Instant};

use super::vm_entry::VmEntry;
use super::zone_record::ZoneRecord;
use crate::utils::rendezvous::rendezvous;
use crate::world::ids::{AvailabilityZone, BackendServerName, VmName};

/// Requests per second.
pub type PerSecond = f64;

/// Minimum rate at which a server is sent requests, whatever limit it names: without requests no answer would tell that
/// it accepts more.
const MIN_PER_S: PerSecond = 0.05;

/// Maximum number of requests that a VM saves up: the capacity of its token bucket.
const MAX_SAVED: f64 = 1.0;

/// The rate of occasional requests by all VMs that don't own the limit: a constant plus this fraction of the limit.
const OCCASIONAL_PER_S: PerSecond = 0.125;
const OCCASIONAL_SHARE: f64 = 0.06;

/// How long an occasional request may still be sent after its random moment.
const OCCASIONAL_WINDOW: Duration = Duration::from_secs(1);

/// When a VM that doesn't own the limit is asked again: it may receive the limit later.
pub const TURN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum wait that is reported.
const MAX_REPORTED_WAIT: Duration = Duration::from_secs(3600);

/// The share of a limit that a VM uses. The variants are logged under their names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitShare {
    /// It is one of this many owners of the limit.
    OneOf(usize),
    /// Others own the limit; it is one of this many VMs that send occasional requests.
    NowAndThen(usize),
}

/// When a request may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// After this time; the turn is taken from the share.
    After(Duration),
    /// Not before this time, which is too late for the request.
    TooLate(Duration),
}

/// Returns the share of a server's limit that `vm` uses as one of `vms` VMs, of which the zone records name some.
pub fn limit_share(
    vm: &VmName,
    vms: usize,
    server: &BackendServerName,
    zone: &AvailabilityZone,
    per_s: PerSecond,
    records: &[ZoneRecord],
) -> LimitShare {
    if owner_count(per_s) >= vms {
        return LimitShare::OneOf(vms.max(1));
    }
    let owners = limit_owners(server, zone, per_s, records);
    match owners.iter().any(|owner| owner.name == *vm) {
        true => LimitShare::OneOf(owners.len()),
        false => LimitShare::NowAndThen(vms),
    }
}

/// Returns the owners of a server's limit: the VMs that rank first by a hash of both names, of the server's zone if it
/// has enough.
pub fn limit_owners<'a>(
    server: &BackendServerName,
    zone: &AvailabilityZone,
    per_s: PerSecond,
    records: &'a [ZoneRecord],
) -> Vec<&'a VmEntry> {
    let is_far = |record: &ZoneRecord| record.zone != *zone;
    let mut named: Vec<_> = records
        .iter()
        .flat_map(|record| record.vms.iter().map(move |vm| (is_far(record), vm)))
        .map(|(is_far, vm)| (is_far, rendezvous(&vm.name, server), vm))
        .collect();
    named.sort_by(|a, b| (a.0, a.1, &a.2.name).cmp(&(b.0, b.1, &b.2.name)));
    let owners = named.into_iter().take(owner_count(per_s));
    owners.map(|(_, _, vm)| vm).collect()
}

fn owner_count(per_s: PerSecond) -> usize {
    per_s.max(1.0) as usize
}

/// A token bucket for the requests that a VM may send to a limited server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimit {
    per_s: PerSecond,
    share: LimitShare,
    saved: f64,
    refilled_at: Instant,
    /// When a VM that does not own the limit may send its next occasional request.
    occasional_at: Instant,
}

impl ServerLimit {
    /// Creates an empty bucket when a limit becomes known; `chance` is from 0 to 1.
    pub fn new(now: Instant, per_s: PerSecond, share: LimitShare, chance: f64) -> Self {
        let mut limit = Self {
            per_s,
            share,
            saved: 0.0,
            refilled_at: now,
            occasional_at: now,
        };
        limit.schedule_occasional(now, chance);
        limit
    }

    /// Returns the bucket with what is saved in this time, at most one request.
    pub fn with_saved_tokens(self, within: Duration) -> Self {
        let saved = within.as_secs_f64() * self.own_per_s();
        Self {
            saved: saved.min(MAX_SAVED),
            ..self
        }
    }

    /// Returns the server's limit.
    pub fn per_s(&self) -> PerSecond {
        self.per_s
    }

    /// Updates the limit and the share of it that this VM uses.
    pub fn update(&mut self, now: Instant, per_s: PerSecond, share: LimitShare) {
        self.save(now);
        self.per_s = per_s;
        self.share = share;
    }

    /// Returns how long the next request has to wait; zero if it may be sent at once.
    pub fn wait(&mut self, now: Instant, chance: f64) -> Duration {
        match self.share {
            LimitShare::OneOf(_) => {
                self.save(now);
                let missing = (MAX_SAVED - self.saved).max(0.0);
                Duration::try_from_secs_f64(missing / self.own_per_s()).unwrap_or(MAX_REPORTED_WAIT)
            }
            LimitShare::NowAndThen(_) => {
                if now > self.occasional_at + OCCASIONAL_WINDOW {
                    self.schedule_occasional(now, chance);
                }
                self.occasional_at.saturating_duration_since(now)
            }
        }
    }

    /// Gives the next turn to a request that can wait for `max_wait`, if this VM owns the limit.
    pub fn give_turn(&mut self, now: Instant, max_wait: Duration) -> Turn {
        let LimitShare::OneOf(_) = self.share else {
            return Turn::TooLate(TURN_RETRY_DELAY);
        };
        let wait = self.wait(now, 0.0);
        if wait > max_wait {
            return Turn::TooLate(wait);
        }
        self.saved -= 1.0;
        Turn::After(wait)
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant, chance: f64) {
        self.save(now);
        self.saved -= 1.0;
        self.schedule_occasional(now, chance);
    }

    /// Returns the rate at which this VM may send.
    fn own_per_s(&self) -> PerSecond {
        let all = self.per_s.max(MIN_PER_S);
        match self.share {
            LimitShare::OneOf(users) => all / users.max(1) as f64,
            LimitShare::NowAndThen(vms) => {
                (OCCASIONAL_PER_S + OCCASIONAL_SHARE * self.per_s) / vms.max(1) as f64
            }
        }
    }

    fn save(&mut self, now: Instant) {
        let passed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.saved = (self.saved + passed * self.own_per_s()).min(MAX_SAVED);
        self.refilled_at = now;
    }

    fn schedule_occasional(&mut self, now: Instant, chance: f64) {
        let LimitShare::NowAndThen(_) = self.share else {
            return;
        };
        let pause_s = (0.5 + chance) / self.own_per_s();
        self.occasional_at =
            now + Duration::try_from_secs_f64(pause_s).unwrap_or(MAX_REPORTED_WAIT);
    }
}
