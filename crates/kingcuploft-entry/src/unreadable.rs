//! Records entries of the store that can't be used.

use std::fmt::Display;

use crate::context::Context;

impl Context {
    /// Counts and logs an entry that names nothing to use.
    pub(crate) fn record_unreadable(&self, name: &str, why: &impl Display) {
        self.metrics.unreadable_entries.inc();
        tracing::warn!(event = "entry_unreadable", name, %why);
    }
}
