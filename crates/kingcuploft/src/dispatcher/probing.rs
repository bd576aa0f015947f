//! Probes: asked for, and come back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Action, Dispatcher};
use crate::manifest::Signals;
use crate::world::backend_server::LoadReport;
use crate::world::ids::{BackendServerName, ServiceName};

/// A probe of a backend server, for the measuring duty.
#[derive(Clone, Debug, PartialEq)]
pub struct Probe {
    /// The service.
    pub service: ServiceName,
    /// The backend server's name.
    pub backend_server: BackendServerName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The endpoints.
    pub signals: Signals,
    /// How long to wait for each answer.
    pub timeout: Duration,
}

/// What a probe brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeResult {
    /// The service.
    pub service: ServiceName,
    /// The backend server's name.
    pub backend_server: BackendServerName,
    /// Whether its health endpoint says that it takes work.
    pub healthy: bool,
    /// Whether it says that it drains.
    pub draining: bool,
    /// The load, where it told one.
    pub load: Option<LoadReport>,
}

impl Dispatcher {
    /// Asks for the probes that are due.
    pub(super) fn probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let states = self.services.values_mut();
        actions.extend(
            states
                .filter_map(|state| state.next_probe(now))
                .map(Action::Probe),
        );
    }

    /// Takes what a probe brought in.
    pub(super) fn probed(&mut self, now: Instant, probed: &ProbeResult, actions: &mut Vec<Action>) {
        let Some(state) = self.services.get_mut(&probed.service) else {
            return;
        };
        if state.probed(now, probed) {
            let (service, server) = (probed.service.clone(), probed.backend_server.clone());
            actions.push(Action::ShareDraining(service, server));
        }
    }
}
