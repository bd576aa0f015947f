//! The changes that a VM took in lately, for VMs that know an older configuration.
//!
//! Load pattern: a link breaks, or a VM joins late, and a dozen VMs come back with the version of a moment ago. Each is
//! told what it missed, and not all.

use std::collections::VecDeque;
use std::sync::Arc;

use super::configuration::ConfigurationVersion;
use super::configuration_change::ConfigurationChange;

/// The most changes that are kept.
const MOST_CHANGES: usize = 64;

/// The last changes, each of which leads to the next.
#[derive(Debug, Default)]
pub struct ChangeLog {
    changes: VecDeque<Arc<ConfigurationChange>>,
}

impl ChangeLog {
    /// Takes a change in that leads to a configuration of so many routes. No more is kept than it costs to tell all.
    pub fn push(&mut self, change: ConfigurationChange, route_count: usize) {
        let follows = |last: &Arc<ConfigurationChange>| Some(last.to) == change.from;
        if !self.changes.back().is_some_and(follows) {
            self.changes.clear();
        }
        self.changes.push_back(Arc::new(change));
        while self.changes.len() > MOST_CHANGES || self.route_count() > route_count {
            self.changes.pop_front();
        }
    }

    /// Returns the changes that lead from a version to the latest, if they are known.
    pub fn since(&self, version: ConfigurationVersion) -> Option<Vec<Arc<ConfigurationChange>>> {
        let begins = |change: &Arc<ConfigurationChange>| change.from == Some(version);
        let at = self.changes.iter().position(begins)?;
        Some(self.changes.iter().skip(at).cloned().collect())
    }

    fn route_count(&self) -> usize {
        self.changes.iter().map(|change| change.route_count()).sum()
    }
}
