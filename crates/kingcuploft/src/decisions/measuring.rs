//! Active probing of backend servers within a budget: what to probe, and when.
//!
//! Load pattern: a probe takes 6 ms of a slot. Fourteen VMs that each probe every backend server ten times a second
//! take 42% of a server of two slots. Without probes, no VM learns that an idle or ejected server has recovered.
//!
//! - A server has one prober in the fleet: the live VM with the greatest rendezvous hash of the VM's and the server's
//!   names. When a VM goes, only the servers that it probed change their prober.
//! - The budget is a share of the servers' slot time, over the whole fleet: a prober earns for its own servers only, so
//!   the VMs' earnings add up to the budget, however many VMs there are. Views of the fleet differ for some seconds,
//!   and then two VMs may both count as a server's prober; therefore a prober earns half of the budget
//!   ([`PROBER_BUDGET_SHARE`]), and waits `settle_ms` before it probes what a new view assigns to it.
//! - A new VM starts with an empty budget. With a full one, a fleet whose VMs are replaced often would spend a full
//!   budget for each new VM on top of the earnings.
//! - Only what responses do not report is probed: servers that no response reported on for `idle_ms`.

use std::time::{Duration, Instant};

use crate::manifest::Service;
use crate::settings::measuring::MeasuringSettings;
use crate::utils::rendezvous::rendezvous;
use crate::world::ids::VmName;

/// The share of the budget that a prober earns: two probers of one server then stay within the budget.
pub const PROBER_BUDGET_SHARE: f64 = 0.5;
/// The most probes whose budget can be saved up.
const MAX_SAVED_PROBES: f64 = 2.0;
/// How many of its servers a VM checks to find one to probe.
const MAX_SERVERS_CHECKED: usize = 64;
/// How often a VM that has earned a probe checks for a server that needs it.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The probes of one service that one VM sends.
#[derive(Debug)]
pub struct ProbeScheduler {
    settings: MeasuringSettings,
    servers: Vec<ProbedServer>,
    /// The indexes of the servers whose prober this VM is.
    own_servers: Vec<usize>,
    next_own: usize,
    earned_ms: f64,
    earning_since: Option<Instant>,
    check_at: Option<Instant>,
    settled_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct ProbedServer {
    name: crate::world::ids::BackendServerName,
    slots: f64,
    last_report: Option<Instant>,
    probing: bool,
}

impl ProbeScheduler {
    /// Creates the state of a VM that is no server's prober yet.
    pub fn new(service: &Service) -> Self {
        let servers = service.backend_servers.iter().map(|server| ProbedServer {
            name: server.name.clone(),
            slots: f64::from(server.slots),
            last_report: None,
            probing: false,
        });
        Self {
            settings: service.policy.measuring.clone(),
            servers: servers.collect(),
            own_servers: Vec::new(),
            next_own: 0,
            earned_ms: 0.0,
            earning_since: None,
            check_at: None,
            settled_at: None,
        }
    }

    /// Carries over the earned budget and what is known of the servers from an earlier manifest; `old_indexes` gives
    /// the earlier index of each backend server, `None` for one that is new.
    pub fn carry_over(&mut self, old: &Self, old_indexes: &[Option<usize>]) {
        for (server, old_index) in self.servers.iter_mut().zip(old_indexes) {
            if let Some(index) = old_index {
                (server.last_report, server.probing) =
                    (old.servers[*index].last_report, old.servers[*index].probing);
            }
        }
        self.earned_ms = old.earned_ms;
        self.earning_since = old.earning_since;
    }

    /// Takes the live VMs, `own` among them, and finds the servers that this VM probes.
    pub fn update_members(&mut self, now: Instant, own: &VmName, live: &[VmName]) {
        if self.settings.budget_share <= 0.0 {
            return;
        }
        self.earn(now);
        let servers = 0..self.servers.len();
        let own = servers.filter(|&i| prober(live, &self.servers[i].name) == Some(own));
        let own: Vec<usize> = own.collect();
        if own != self.own_servers {
            self.settled_at = Some(now + Duration::from_millis(self.settings.settle_ms));
            self.own_servers = own;
        }
        // No probe is due before the view has settled, so the dispatcher need not wake earlier.
        self.check_at = self.settled_at.map(|settled_at| settled_at.max(now));
    }

    /// Records that a response reported the load of a server.
    pub fn record_reply(&mut self, now: Instant, server: usize) {
        self.servers[server].last_report = Some(now);
    }

    /// Records that a probe was answered, or that none will be.
    pub fn record_probe_end(&mut self, now: Instant, server: usize) {
        self.servers[server].probing = false;
        self.servers[server].last_report = Some(now);
    }

    /// Returns when to ask for the next probe.
    pub fn due(&self) -> Option<Instant> {
        self.check_at
    }

    /// Returns the next server to probe, if one needs it and the budget covers it.
    pub fn next_probe(&mut self, now: Instant) -> Option<usize> {
        self.check_at.take_if(|at| *at <= now)?;
        if self.own_servers.is_empty() {
            return None;
        }
        self.check_at = Some(now + CHECK_INTERVAL);
        self.earn(now);
        let is_settled = self.settled_at.is_none_or(|at| at <= now);
        if !is_settled || self.earned_ms < self.settings.probe_ms {
            return None;
        }
        let server = self.next_unreported(now)?;
        self.earned_ms -= self.settings.probe_ms;
        self.servers[server].probing = true;
        Some(server)
    }

    fn next_unreported(&mut self, now: Instant) -> Option<usize> {
        let idle = Duration::from_millis(self.settings.idle_ms);
        for _ in 0..self.own_servers.len().min(MAX_SERVERS_CHECKED) {
            self.next_own = (self.next_own + 1) % self.own_servers.len();
            let server = &self.servers[self.own_servers[self.next_own]];
            let report_age = server
                .last_report
                .map(|at| now.saturating_duration_since(at));
            if !server.probing && report_age.is_none_or(|age| age >= idle) {
                return Some(self.own_servers[self.next_own]);
            }
        }
        None
    }

    /// Adds what the VM's own servers earned since the last call.
    fn earn(&mut self, now: Instant) {
        let since = self.earning_since.replace(now);
        let elapsed = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let slots: f64 = self
            .own_servers
            .iter()
            .map(|&i| self.servers[i].slots)
            .sum();
        let earned_ms = elapsed.as_secs_f64()
            * 1000.0
            * slots
            * self.settings.budget_share
            * PROBER_BUDGET_SHARE;
        let most_ms = MAX_SAVED_PROBES * self.settings.probe_ms;
        self.earned_ms = (self.earned_ms + earned_ms).min(most_ms);
    }
}

/// Returns the prober of a server among the live VMs; it is the same on every VM with the same view.
pub fn prober<'a>(live: &'a [VmName], server: &str) -> Option<&'a VmName> {
    live.iter()
        .max_by_key(|vm| (rendezvous(vm, server), (*vm).clone()))
}
