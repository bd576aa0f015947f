//! What a run left behind.

use std::sync::Arc;
use std::time::Duration;

use super::check::ExecutionCounts;
use super::entry_vms::Observations;
use super::record::Record;
use crate::backend_server::BackendServer;

/// What a run left behind.
#[derive(Debug)]
pub struct Trace {
    /// Every call.
    pub records: Vec<Record>,
    /// What the observer noted.
    pub observed: Observations,
    /// The generations accepted, and when.
    pub accepted_generations: Vec<(u64, Duration)>,
    /// The longest time from a backend server's leaving to the last new work it got.
    pub new_work_after_drain: Duration,
    /// Writes of all kinds to the store.
    pub store_writes: u64,
    /// The backend servers, which counted the runs.
    pub backend_servers: Vec<BackendServer>,
    /// The settings and logs of the daemons.
    pub folder: tempfile::TempDir,
    pub(super) _runtime: Arc<tokio::runtime::Runtime>,
}

impl ExecutionCounts for Trace {
    fn executions_of_key(&self, key: &str) -> u64 {
        self.backend_servers
            .iter()
            .map(|server| server.runs(key))
            .sum()
    }

    fn executions_of_call(&self, call: usize) -> u64 {
        let call = call.to_string();
        self.backend_servers
            .iter()
            .map(|server| server.call_runs(&call))
            .sum()
    }
}
