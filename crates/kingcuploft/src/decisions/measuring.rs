//! What to measure, and when, within a budget.
//!
//! Load pattern: a probe takes 6 ms of a slot. Fourteen VMs that each probe every backend server ten
//! times a second take 42% of a server of two slots. Without probes at all, nobody learns that an
//! idle or ejected server has come back.
//!
//! - A server has one prober in the fleet: the live VM with the greatest hash of the VM's and the
//!   server's names. When a VM goes, only its servers change hands.
//! - The budget is a share of the servers' slot time, fleet-wide: a prober earns for its own servers
//!   only, so the VMs' earnings add up to the budget, however many VMs there are. Views of the fleet
//!   differ for some seconds, and then two VMs may both take a server for theirs; therefore a prober
//!   earns half of the budget ([`GUARD`]), and waits `settle_ms` before it probes what a new view
//!   gives it.
//! - A new VM begins with nothing earned. With a full bucket, a fleet whose VMs are replaced often
//!   would spend a bucket for each new VM on top of the budget.
//! - Only what replies do not tell is probed: servers that no reply told of for `idle_ms`.

use std::time::{Duration, Instant};

use crate::manifest::Service;
use crate::settings::measuring::MeasuringSettings;
use crate::utils::rendezvous::rendezvous;
use crate::world::ids::VmName;

/// The share of the budget that a prober earns: two probers of one server then stay within it.
pub const PROBER_BUDGET_SHARE: f64 = 0.5;
/// Probes that can be saved up.
const BURST_PROBES: f64 = 2.0;
/// How many of its servers a VM looks at for one probe.
const LOOKED_AT: usize = 64;
/// How often a VM that has earned a probe looks for a server that needs it.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// The measuring of one service by one VM.
#[derive(Debug)]
pub struct ProbeScheduler {
    settings: MeasuringSettings,
    servers: Vec<Measured>,
    /// The servers whose prober this VM is.
    own: Vec<usize>,
    next: usize,
    earned_ms: f64,
    earning_since: Option<Instant>,
    look_at: Option<Instant>,
    settled: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Measured {
    name: crate::world::ids::BackendServerName,
    slots: f64,
    told: Option<Instant>,
    probing: bool,
}

impl ProbeScheduler {
    /// Builds the state of a VM that is no server's prober yet.
    pub fn new(service: &Service) -> Self {
        let servers = service.backend_servers.iter().map(|server| Measured {
            name: server.name.clone(),
            slots: f64::from(server.slots),
            told: None,
            probing: false,
        });
        Self {
            settings: service.policy.measuring.clone(),
            servers: servers.collect(),
            own: Vec::new(),
            next: 0,
            earned_ms: 0.0,
            earning_since: None,
            look_at: None,
            settled: None,
        }
    }

    /// Takes over what was earned and known under an earlier manifest.
    pub fn take_over(&mut self, old: &Self, old_of: &[Option<usize>]) {
        for (server, old_index) in self.servers.iter_mut().zip(old_of) {
            if let Some(index) = old_index {
                (server.told, server.probing) =
                    (old.servers[*index].told, old.servers[*index].probing);
            }
        }
        self.earned_ms = old.earned_ms;
        self.earning_since = old.earning_since;
    }

    /// Takes the live VMs in, `own` among them; finds the servers that this VM probes.
    pub fn update_members(&mut self, now: Instant, own: &VmName, live: &[VmName]) {
        if self.settings.budget_share <= 0.0 {
            return;
        }
        self.earn(now);
        let servers = 0..self.servers.len();
        let own = servers.filter(|&i| prober(live, &self.servers[i].name) == Some(own));
        let own: Vec<usize> = own.collect();
        if own != self.own {
            self.settled = Some(now + Duration::from_millis(self.settings.settle_ms));
            self.own = own;
        }
        // Nothing is due before that, so the dispatcher need not wake.
        self.look_at = self.settled.map(|settled| settled.max(now));
    }

    /// Notes that a reply told of a server.
    pub fn record_reply(&mut self, now: Instant, server: usize) {
        self.servers[server].told = Some(now);
    }

    /// Notes that a probe came back, or that none will.
    pub fn record_probe_end(&mut self, now: Instant, server: usize) {
        self.servers[server].probing = false;
        self.servers[server].told = Some(now);
    }

    /// Returns when to ask for the next probe.
    pub fn due(&self) -> Option<Instant> {
        self.look_at
    }

    /// Returns the next server to probe, if one needs it and the budget covers it.
    pub fn next_probe(&mut self, now: Instant) -> Option<usize> {
        self.look_at.take_if(|at| *at <= now)?;
        if self.own.is_empty() {
            return None;
        }
        self.look_at = Some(now + LOOK_AGAIN);
        self.earn(now);
        let settled = self.settled.is_none_or(|settled| settled <= now);
        if !settled || self.earned_ms < self.settings.probe_ms {
            return None;
        }
        let server = self.silent(now)?;
        self.earned_ms -= self.settings.probe_ms;
        self.servers[server].probing = true;
        Some(server)
    }

    fn silent(&mut self, now: Instant) -> Option<usize> {
        let idle = Duration::from_millis(self.settings.idle_ms);
        for _ in 0..self.own.len().min(LOOKED_AT) {
            self.next = (self.next + 1) % self.own.len();
            let server = &self.servers[self.own[self.next]];
            let told = server.told.map(|at| now.saturating_duration_since(at));
            if !server.probing && told.is_none_or(|age| age >= idle) {
                return Some(self.own[self.next]);
            }
        }
        None
    }

    /// Adds what the VM's own servers earned since the last time.
    fn earn(&mut self, now: Instant) {
        let since = self.earning_since.replace(now);
        let elapsed = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let slots: f64 = self.own.iter().map(|&i| self.servers[i].slots).sum();
        let earned_ms = elapsed.as_secs_f64()
            * 1000.0
            * slots
            * self.settings.budget_share
            * PROBER_BUDGET_SHARE;
        let most_ms = BURST_PROBES * self.settings.probe_ms;
        self.earned_ms = (self.earned_ms + earned_ms).min(most_ms);
    }
}

/// Returns the prober of a server among the live VMs; the same on every VM with the same view.
pub fn prober<'a>(live: &'a [VmName], server: &str) -> Option<&'a VmName> {
    live.iter()
        .max_by_key(|vm| (rendezvous(vm, server), (*vm).clone()))
}
