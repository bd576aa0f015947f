//! The names of the headers that the simulated callers, servers and VMs use.

use kingcuploft::entry::placement::LoadReport;
use kingcuploft_entry::settings::WireNames;

/// The header names and the readiness path.
pub const HEADER_NAMES: WireNames = WireNames {
    workspace: "x-workspace",
    request_id: "x-id",
    deadline_ms: "x-deadline-ms",
    signature: "x-signed",
    meant_for: "x-meant-for",
    load: "x-load",
    limit: "x-limit",
    cold_ms: "x-cold-ms",
    pause_s: "retry-after",
    instance: "x-instance",
    leaving: "x-leaving",
    not_run: "x-not-run",
    ready_path: "/ready",
    parse_load,
};

/// Parses a load report: running requests, waiting requests, slots and, optionally, the slowness in percent.
fn parse_load(value: &str) -> Option<LoadReport> {
    let mut fields = value.split(',').map(|field| field.parse::<u32>().ok());
    Some(LoadReport {
        running: fields.next()??,
        waiting: fields.next()??,
        slots: fields.next()??,
        slowness: f64::from(fields.next().flatten().unwrap_or(100)) / 100.0,
    })
}
