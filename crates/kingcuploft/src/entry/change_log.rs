//! Recent configuration changes, kept for VMs that have an older version.
//!
//! Load pattern: a link breaks, or a VM joins late, and a dozen VMs reconnect with the version of a moment ago. Each is
//! sent the changes that it missed instead of the whole configuration.

use std::collections::VecDeque;
use std::sync::Arc;

use super::configuration::ConfigurationVersion;
use super::configuration_change::ConfigurationChange;

/// Maximum number of changes that are kept.
const MAX_CHANGES: usize = 64;

/// A gapless sequence of the most recent changes.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<Arc<ConfigurationChange>>,
}

impl ChangeLog {
    /// Appends a change that leads to a configuration of `route_count` routes. The log never holds more routes than the
    /// whole configuration, which would be cheaper to send.
    pub fn push(&mut self, change: ConfigurationChange, route_count: usize) {
        let follows = |last: &Arc<ConfigurationChange>| Some(last.to) == change.from;
        if !self.changes.back().is_some_and(follows) {
            self.changes.clear();
        }
        self.changes.push_back(Arc::new(change));
        while self.changes.len() > MAX_CHANGES || self.route_count() > route_count {
            self.changes.pop_front();
        }
    }

    /// Returns the changes that lead from a version to the latest, if the log reaches back that far.
    pub fn since(&self, version: ConfigurationVersion) -> Option<Vec<Arc<ConfigurationChange>>> {
        let begins = |change: &Arc<ConfigurationChange>| change.from == Some(version);
        let at = self.changes.iter().position(begins)?;
        Some(self.changes.iter().skip(at).cloned().collect())
    }

    fn route_count(&self) -> usize {
        self.changes.iter().map(|change| change.route_count()).sum()
    }
}
