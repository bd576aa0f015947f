//! Which backend servers take new work.

use crate::manifest::Service;

/// The backend servers of one service that drain.
#[derive(Debug)]
pub struct Drain {
    draining: Vec<bool>,
}

impl Drain {
    /// Builds the view from the manifest.
    pub fn new(service: &Service) -> Self {
        Self {
            draining: service.backend_servers.iter().map(|s| s.draining).collect(),
        }
    }

    /// Takes evidence that a backend server drains; tells whether it is news.
    pub fn evidence(&mut self, server: usize) -> bool {
        !std::mem::replace(&mut self.draining[server], true)
    }

    /// Tells whether a backend server may get new work.
    pub fn takes_work(&self, server: usize) -> bool {
        !self.draining[server]
    }
}
