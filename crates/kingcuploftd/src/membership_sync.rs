//! The membership thread: reads the platform's VM list and the operators' drains from the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kingcuploft::manifest::Manifest;
use kingcuploft::world::ids::{BackendServerName, ServiceName};
use kingcuploft_platform::{Change, ListedVm, ObjectStore, StoreError, Version, VmState};

use crate::fleet_state::{DrainNotice, drain_notice};
use crate::shared::Shared;

/// The key prefix of the operators' drains: `drains/SERVICE/BACKEND_SERVER`.
pub const DRAINS_PREFIX: &str = "drains/";

/// How long one watch of the drains waits.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// How often a VM that does not watch the store reads the VM list and drains, before jitter.
const POLL_INTERVAL: Duration = Duration::from_secs(10);

/// How often a wait checks whether the daemon ends.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The delay after the store did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the VM list and the drains until the daemon ends.
pub fn run(shared: &Arc<Shared>, store: &dyn ObjectStore) {
    let mut after = 0;
    while !shared.ended() {
        let read = read(shared, store, &mut after);
        let pause = match (read, shared.watches_store()) {
            (Ok(()), true) => continue,
            (Ok(()), false) => POLL_INTERVAL.mul_f64(0.5 + fastrand::f64()),
            (Err(error), _) => {
                after = 0;
                tracing::debug!("membership: the store does not answer: {error}.");
                RETRY_DELAY
            }
        };
        let end = Instant::now() + pause;
        while Instant::now() < end && !shared.ended() {
            std::thread::sleep(STOP_CHECK_INTERVAL.min(pause));
        }
    }
}

fn read(shared: &Shared, store: &dyn ObjectStore, after: &mut Version) -> Result<(), StoreError> {
    apply_vm_list(shared, &store.vms()?);
    let drains = match *after {
        0 => store.list(DRAINS_PREFIX)?,
        _ if shared.watches_store() => match store.watch(DRAINS_PREFIX, *after, WATCH_WAIT) {
            Err(StoreError::WatchExpired) => store.list(DRAINS_PREFIX)?,
            watched => watched?,
        },
        _ => store.list(DRAINS_PREFIX)?,
    };
    *after = drains.version;
    for change in drains.changes {
        match parse_drain(&change) {
            Some(notice) => shared.fleet.record_drain(shared, notice),
            None => tracing::debug!("membership: {} is not a readable drain.", change.key),
        }
    }
    Ok(())
}

/// Parses a drain object; `None` if it was deleted or is corrupt.
fn parse_drain(change: &Change) -> Option<DrainNotice> {
    serde_json::from_str(change.value.as_ref()?).ok()
}

/// Applies the VM list: adds entry VMs as candidates for links, and records leaving backend servers as draining.
fn apply_vm_list(shared: &Shared, vms: &[ListedVm]) {
    let accepted = shared.accepted.load_full();
    let mut entries = Vec::new();
    for vm in vms {
        let Ok(address) = vm.address.parse::<SocketAddr>() else {
            continue;
        };
        let mut found = Vec::new();
        for service in &accepted.manifest.services {
            let mut servers = service.backend_servers.iter();
            let server = servers.find(|server| server.address == address);
            found.extend(server.map(|server| (&service.name, &server.name)));
        }
        if found.is_empty() && vm.state == VmState::Live {
            entries.push(address);
        }
        if vm.state == VmState::Leaving {
            found.into_iter().for_each(|(service, server)| {
                record_leaving(shared, &accepted.manifest, service, server)
            });
        }
    }
    // Before a manifest is known, backend servers cannot be distinguished from entry VMs.
    if accepted.generation > 0 {
        shared
            .fleet
            .membership()
            .add_candidates(Instant::now(), entries);
    }
}

fn record_leaving(
    shared: &Shared,
    manifest: &Manifest,
    service: &ServiceName,
    server: &BackendServerName,
) {
    if let Some(notice) = drain_notice(manifest, service, server) {
        shared.fleet.record_drain(shared, notice);
    }
}
