//! Which draining backend servers get no new work.
//!
//! Load pattern: a backend server leaves while it is full of work. The news of its drain comes from several sources,
//! each late or lossy: the VM list, the manifest, a response header, the health endpoint, an operator, a peer. Without
//! this module, calls are still sent to it until it closes its port and cuts them.
//!
//! The first report from any source starts the drain, for this incarnation of the backend server: its name at its
//! address. Later news that it is healthy does not end the drain, as the sources lag and the news may be older. The
//! drain ends with a new incarnation (another address) or with a newer manifest that cancels the drain which the
//! manifest before it ordered.

use crate::manifest::Service;
use crate::settings::drain::DrainSettings;

/// The draining backend servers of one service.
#[derive(Debug)]
pub struct Drain {
    by_manifest: Vec<bool>,
    reported: Vec<bool>,
    available: usize,
    settings: DrainSettings,
}

impl Drain {
    /// Creates the drain state that the manifest orders.
    pub fn new(service: &Service) -> Self {
        let by_manifest: Vec<bool> = service.backend_servers.iter().map(|s| s.draining).collect();
        let mut drain = Self {
            reported: vec![false; by_manifest.len()],
            by_manifest,
            available: 0,
            settings: service.policy.drain.clone(),
        };
        drain.count_available();
        drain
    }

    /// Carries over the reports received under an earlier manifest; `old_indexes` gives the earlier index of each
    /// backend server, `None` for one that is new.
    pub fn carry_over(&mut self, old: &Self, old_indexes: &[Option<usize>]) {
        for (server, old_index) in old_indexes.iter().enumerate() {
            let Some(old_index) = *old_index else {
                continue;
            };
            let cancelled = old.by_manifest[old_index] && !self.by_manifest[server];
            self.reported[server] = old.reported[old_index] && !cancelled;
        }
        self.count_available();
    }

    /// Records a report that a backend server drains; returns whether peers are to be told.
    pub fn report_draining(&mut self, server: usize) -> bool {
        if !self.settings.heed_evidence {
            return false;
        }
        let is_new = self.takes_work(server);
        self.reported[server] = true;
        self.available -= usize::from(is_new);
        is_new && self.settings.tell_peers
    }

    /// Returns whether a backend server may get new work.
    pub fn takes_work(&self, server: usize) -> bool {
        !self.by_manifest[server] && !self.reported[server]
    }

    /// Returns how many backend servers may get new work.
    pub fn available_servers(&self) -> usize {
        self.available
    }

    fn count_available(&mut self) {
        let servers = 0..self.by_manifest.len();
        self.available = servers.filter(|&server| self.takes_work(server)).count();
    }
}
