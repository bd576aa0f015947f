//! The limits that the system sets on the process. Some of them end it with a signal and without a line of its own.

use rustix::process::{Resource, getrlimit};

/// Logs the limits that are set.
pub fn log() {
    tracing::info!(
        event = "system_limits",
        file_bytes = limit(Resource::Fsize),
        cpu_s = limit(Resource::Cpu),
        address_bytes = limit(Resource::As),
        data_bytes = limit(Resource::Data),
        stack_bytes = limit(Resource::Stack),
        threads = limit(Resource::Nproc),
        descriptors = limit(Resource::Nofile),
    );
}

/// Returns a limit; `None` if it is not set.
fn limit(resource: Resource) -> Option<u64> {
    getrlimit(resource).current
}
