//! Which leaving backend servers get no new work.
//!
//! Load pattern: a backend server leaves while it is full of work. Its word comes by several ways,
//! each late or lost: the VM list, the manifest, a reply's header, the health endpoint, an operator,
//! a peer. Without this module, calls go on being sent there until it closes its port and cuts them.
//!
//! The first evidence from any source starts the drain, for this life of the backend server: its
//! name at its address. Later news that it is well does not end it, as the sources lag and the news
//! may be older. It ends with a new life (another address) or by a newer manifest that takes back
//! the drain which the manifest before it ordered.

use crate::manifest::Service;
use crate::settings::drain::DrainSettings;

/// The backend servers of one service that drain.
#[derive(Debug)]
pub struct Drain {
    by_manifest: Vec<bool>,
    by_evidence: Vec<bool>,
    working: usize,
    settings: DrainSettings,
}

impl Drain {
    /// Builds the view from the manifest.
    pub fn new(service: &Service) -> Self {
        let by_manifest: Vec<bool> = service.backend_servers.iter().map(|s| s.draining).collect();
        let mut drain = Self {
            by_evidence: vec![false; by_manifest.len()],
            by_manifest,
            working: 0,
            settings: service.policy.drain.clone(),
        };
        drain.count();
        drain
    }

    /// Takes over the evidence known under an earlier manifest; `old_of` gives the earlier index
    /// of each backend server, `None` for one that is new.
    pub fn take_over(&mut self, old: &Self, old_of: &[Option<usize>]) {
        for (server, old_index) in old_of.iter().enumerate() {
            let Some(old_index) = *old_index else {
                continue;
            };
            let taken_back = old.by_manifest[old_index] && !self.by_manifest[server];
            self.by_evidence[server] = old.by_evidence[old_index] && !taken_back;
        }
        self.count();
    }

    /// Takes evidence that a backend server drains; tells whether it is news for peers.
    pub fn report_draining(&mut self, server: usize) -> bool {
        if !self.settings.heed_evidence {
            return false;
        }
        let news = self.takes_work(server);
        self.by_evidence[server] = true;
        self.working -= usize::from(news);
        news && self.settings.tell_peers
    }

    /// Tells whether a backend server may get new work.
    pub fn takes_work(&self, server: usize) -> bool {
        !self.by_manifest[server] && !self.by_evidence[server]
    }

    /// Returns how many backend servers may get new work.
    pub fn available_servers(&self) -> usize {
        self.working
    }

    fn count(&mut self) {
        let servers = 0..self.by_manifest.len();
        self.working = servers.filter(|&server| self.takes_work(server)).count();
    }
}
