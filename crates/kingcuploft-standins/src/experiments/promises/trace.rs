//! The trace of a run: its records, observations and stand-ins, for the checker.

use std::sync::Arc;
use std::time::Duration;

use super::check::ExecutionCounts;
use super::entry_vms::Observations;
use super::record::Record;
use crate::backend_server::BackendServer;

/// The results of a run, which the checker reads.
#[derive(Debug)]
pub struct Trace {
    /// The records of all calls.
    pub records: Vec<Record>,
    /// The observer's samples and the daemons' stops.
    pub observations: Observations,
    /// The generations that the store accepted and when, from the start of the run.
    pub accepted_generations: Vec<(u64, Duration)>,
    /// The longest time from the start of a backend server's drain to the last new work that it received.
    pub new_work_after_drain: Duration,
    /// The number of store writes of all kinds.
    pub store_writes: u64,
    /// The backend servers, which counted the executions.
    pub backend_servers: Vec<BackendServer>,
    /// The folder with the daemons' settings and logs.
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
