//! Starts probes of backend servers and records their results.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Action, Dispatcher};
use crate::manifest::Signals;
use crate::world::backend_server::LoadReport;
use crate::world::ids::{BackendServerName, ServiceName};

/// A probe of a backend server, carried out by the measuring duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Probe {
    /// The service.
    pub service: ServiceName,
    /// The backend server's name.
    pub backend_server: BackendServerName,
    /// The backend server's address.
    pub address: SocketAddr,
    /// The health and load endpoints.
    pub signals: Signals,
    /// The timeout of each answer.
    pub timeout: Duration,
}

/// The result of a probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeResult {
    /// The service.
    pub service: ServiceName,
    /// The backend server's name.
    pub backend_server: BackendServerName,
    /// Whether the health endpoint reports that the backend server takes work.
    pub healthy: bool,
    /// Whether the backend server reports that it drains.
    pub draining: bool,
    /// The load, if the backend server reported one.
    pub load: Option<LoadReport>,
}

impl Dispatcher {
    /// Starts the probes that are due.
    pub(super) fn start_due_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let states = self.services.values_mut();
        actions.extend(
            states
                .filter_map(|state| state.next_probe(now))
                .map(Action::Probe),
        );
    }

    /// Handles the result of a probe.
    pub(super) fn on_probe_result(
        &mut self,
        now: Instant,
        probed: &ProbeResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.services.get_mut(&probed.service) else {
            return;
        };
        if state.record_probe(now, probed) {
            let (service, server) = (probed.service.clone(), probed.backend_server.clone());
            actions.push(Action::ShareDraining(service, server));
        }
    }
}
