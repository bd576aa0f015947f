//! How much a VM sends to a backend server that takes so much from all VMs together: one that names a limit, or is cold.
//!
//! Load pattern: a server in need takes one request a second from hundreds of VMs, and looks idle, so that each VM would
//! choose it first. A limit divided by the VMs gives none of them a request in minutes, and all of them one in the same
//! second. So as many VMs keep the limit as it takes requests a second, each an equal part; all agree which these are
//! without asking, by the records of the zones. The others ask one of them for a turn where no other server will do. Beside
//! that they send one request now and then, at moments drawn by chance that are lost if not used: should they not be told
//! that the limit has ended, they find out.

use std::time::{Duration, Instant};

use super::vm_entry::VmEntry;
use super::zone_record::ZoneRecord;
use crate::utils::rendezvous::rendezvous;
use crate::world::ids::{AvailabilityZone, BackendServerName, VmName};

/// Requests a second.
pub type PerSecond = f64;

/// The least that a server is sent, whatever it names: no answer would tell that it takes more.
const LEAST_PER_S: PerSecond = 0.05;

/// The most requests that a VM saves up.
const MOST_SAVED: f64 = 1.0;

/// How many requests a second the VMs send together that do not keep the limit, and the part of the limit beside.
const TRIES_PER_S: PerSecond = 0.125;
const TRIES_OF_LIMIT: f64 = 0.06;

/// For how long a request may be sent whose moment has come.
const MOMENT: Duration = Duration::from_secs(1);

/// When a VM is asked again that does not keep the limit: it may have been told later.
pub const TURN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The longest wait that is told.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);

/// Which part of a limit a VM uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitShare {
    /// It is one of so many that keep it.
    OneOf(usize),
    /// Others keep it; it is one of so many that send a request now and then.
    NowAndThen(usize),
}

/// When a request may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// After this time; it is counted.
    After(Duration),
    /// Not before this time, which is too late for it.
    TooLate(Duration),
}

/// Returns which part of a server's limit a VM uses that is one of `vms`, where these records name some of them.
pub fn limit_share(
    vm: &VmName,
    vms: usize,
    server: &BackendServerName,
    zone: &AvailabilityZone,
    per_s: PerSecond,
    records: &[ZoneRecord],
) -> LimitShare {
    if keepers_wanted(per_s) >= vms {
        return LimitShare::OneOf(vms.max(1));
    }
    let keepers = limit_owners(server, zone, per_s, records);
    match keepers.iter().any(|keeper| keeper.name == *vm) {
        true => LimitShare::OneOf(keepers.len()),
        false => LimitShare::NowAndThen(vms),
    }
}

/// Returns the VMs that keep a server's limit: those that come first for it by a hash of both names, of the server's zone
/// if that has enough.
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
    let keepers = named.into_iter().take(keepers_wanted(per_s));
    keepers.map(|(_, _, vm)| vm).collect()
}

fn keepers_wanted(per_s: PerSecond) -> usize {
    per_s.max(1.0) as usize
}

/// What a VM may send to a server that names a limit.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimit {
    per_s: PerSecond,
    part: LimitShare,
    saved: f64,
    at: Instant,
    /// When the next request may be sent by a VM that does not use the limit.
    moment: Instant,
}

impl ServerLimit {
    /// Begins when a limit is heard of; `chance` is from 0 to 1.
    pub fn new(now: Instant, per_s: PerSecond, part: LimitShare, chance: f64) -> Self {
        let mut limit = Self {
            per_s,
            part,
            saved: 0.0,
            at: now,
            moment: now,
        };
        limit.draw(now, chance);
        limit
    }

    /// Begins with what was saved within this time; a request at most.
    pub fn with_saved_tokens(self, within: Duration) -> Self {
        let saved = within.as_secs_f64() * self.own_per_s();
        Self {
            saved: saved.min(MOST_SAVED),
            ..self
        }
    }

    /// Returns what the server takes.
    pub fn per_s(&self) -> PerSecond {
        self.per_s
    }

    /// Takes in what the server names now, and which part of it this VM uses.
    pub fn update(&mut self, now: Instant, per_s: PerSecond, part: LimitShare) {
        self.save(now);
        self.per_s = per_s;
        self.part = part;
    }

    /// Returns when the next request may be sent: at once if that is zero.
    pub fn wait(&mut self, now: Instant, chance: f64) -> Duration {
        match self.part {
            LimitShare::OneOf(_) => {
                self.save(now);
                let missing = (MOST_SAVED - self.saved).max(0.0);
                Duration::try_from_secs_f64(missing / self.own_per_s()).unwrap_or(LONGEST_WAIT)
            }
            LimitShare::NowAndThen(_) => {
                if now > self.moment + MOMENT {
                    self.draw(now, chance);
                }
                self.moment.saturating_duration_since(now)
            }
        }
    }

    /// Gives the next turn to a request that waits so long at most, if this VM keeps the limit.
    pub fn give_turn(&mut self, now: Instant, patience: Duration) -> Turn {
        let LimitShare::OneOf(_) = self.part else {
            return Turn::TooLate(TURN_RETRY_DELAY);
        };
        let wait = self.wait(now, 0.0);
        if wait > patience {
            return Turn::TooLate(wait);
        }
        self.saved -= 1.0;
        Turn::After(wait)
    }

    /// Takes note that a request is sent.
    pub fn record_sent(&mut self, now: Instant, chance: f64) {
        self.save(now);
        self.saved -= 1.0;
        self.draw(now, chance);
    }

    /// Returns what this VM may send a second.
    fn own_per_s(&self) -> PerSecond {
        let all = self.per_s.max(LEAST_PER_S);
        match self.part {
            LimitShare::OneOf(users) => all / users.max(1) as f64,
            LimitShare::NowAndThen(vms) => {
                (TRIES_PER_S + TRIES_OF_LIMIT * self.per_s) / vms.max(1) as f64
            }
        }
    }

    fn save(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.saved = (self.saved + passed * self.own_per_s()).min(MOST_SAVED);
        self.at = now;
    }

    fn draw(&mut self, now: Instant, chance: f64) {
        let LimitShare::NowAndThen(_) = self.part else {
            return;
        };
        let pause_s = (0.5 + chance) / self.own_per_s();
        self.moment = now + Duration::try_from_secs_f64(pause_s).unwrap_or(LONGEST_WAIT);
    }
}
