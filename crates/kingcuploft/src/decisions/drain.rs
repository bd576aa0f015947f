//! Which backend servers take new work.

use crate::manifest::Service;

/// The backend servers of one service that drain.
#[derive(Debug)]
pub struct Drain {
    by_manifest: Vec<bool>,
    by_evidence: Vec<bool>,
}

impl Drain {
    /// Builds the view from the manifest.
    pub fn new(service: &Service) -> Self {
        Self {
            by_manifest: service.backend_servers.iter().map(|s| s.draining).collect(),
            by_evidence: vec![false; service.backend_servers.len()],
        }
    }

    /// Takes over the evidence known under an earlier manifest; `old_of` gives the earlier index
    /// of each backend server, `None` for one that is new.
    pub fn take_over(&mut self, old: &Self, old_of: &[Option<usize>]) {
        for (evidence, old_index) in self.by_evidence.iter_mut().zip(old_of) {
            *evidence |= old_index.is_some_and(|index| old.by_evidence[index]);
        }
    }

    /// Takes evidence that a backend server drains; tells whether it is news.
    pub fn evidence(&mut self, server: usize) -> bool {
        let news = self.takes_work(server);
        self.by_evidence[server] = true;
        news
    }

    /// Tells whether a backend server may get new work.
    pub fn takes_work(&self, server: usize) -> bool {
        !self.by_manifest[server] && !self.by_evidence[server]
    }
}
