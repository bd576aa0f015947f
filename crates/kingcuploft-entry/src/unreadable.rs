//! Records what can't be used of what comes from outside.

use std::fmt::Display;

use kingcuploft::world::wire_text::RequestPath;

use crate::context::Context;

/// Parses the health path of a service; one that is no path is logged, and the servers are not probed.
pub fn parse_health_path(service: &str, health_path: &str) -> Option<RequestPath> {
    let parsed = RequestPath::parse(health_path);
    let log = |why: &_| tracing::warn!(event = "health_path_unusable", service, %why);
    parsed.inspect_err(log).ok()
}

impl Context {
    /// Counts and logs an entry that names nothing to use.
    pub(crate) fn record_unreadable(&self, name: &str, why: &impl Display) {
        self.metrics.unreadable_entries.inc();
        tracing::warn!(event = "entry_unreadable", name, %why);
    }
}
