//! The limits that the system sets on the process, which may be lower than those of its settings. Some of them end it with a
//! signal and without a line of its own.

use rustix::param::page_size;
use rustix::process::{Resource, getrlimit};

use crate::settings::EntrySettings;

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

/// Lowers the limits of the settings to what the system allows.
pub fn apply(settings: EntrySettings) -> EntrySettings {
    let descriptors = limit(Resource::Nofile).map_or(usize::MAX, to_size);
    let memory = free_addresses().min(limit(Resource::Data).map_or(usize::MAX, to_size));
    EntrySettings {
        max_descriptors: settings.max_descriptors.min(descriptors),
        memory_bytes: settings.memory_bytes.min(memory),
        ..settings
    }
}

/// Returns how many bytes the process may still address.
fn free_addresses() -> usize {
    let Some(limit) = limit(Resource::As) else {
        return usize::MAX;
    };
    to_size(limit).saturating_sub(used_addresses().unwrap_or(0))
}

/// Returns how many bytes the process addresses; `None` if the system doesn't say so.
fn used_addresses() -> Option<usize> {
    let sizes = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: usize = sizes.split(' ').next()?.parse().ok()?;
    Some(pages * page_size())
}

fn to_size(limit: u64) -> usize {
    usize::try_from(limit).unwrap_or(usize::MAX)
}
