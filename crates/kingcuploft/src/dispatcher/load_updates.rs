//! Load reports about a service's backend servers from other sources than calls: probes and notes of peers.

use std::time::{Duration, Instant};

use super::probing::{Probe, ProbeResult};
use super::service_state::ServiceState;
use crate::decisions::notes::LoadNote;
use crate::world::backend_server::CallEnd;
use crate::world::ids::VmName;

impl ServiceState {
    /// Updates which backend servers this VM probes; `live` holds all live VMs, `own` included.
    pub(super) fn update_members(&mut self, now: Instant, own: &VmName, live: &[VmName]) {
        self.measuring.update_members(now, own, live);
    }

    /// Returns the next probe, if one is due.
    pub(super) fn next_probe(&mut self, now: Instant) -> Option<Probe> {
        let server = self.measuring.next_probe(now)?;
        let backend_server = &self.service.backend_servers[server];
        let timeout_ms = self.service.policy.measuring.timeout_ms;
        Some(Probe {
            service: self.service.name.clone(),
            backend_server: backend_server.name.clone(),
            address: backend_server.address,
            signals: self.service.signals.clone(),
            timeout: Duration::from_millis(timeout_ms),
        })
    }

    /// Records the result of a probe; returns whether it revealed that the backend server drains.
    pub(super) fn record_probe(&mut self, now: Instant, probed: &ProbeResult) -> bool {
        let Some(&server) = self.by_name.get(&probed.backend_server) else {
            return false;
        };
        self.measuring.record_probe_end(now, server);
        if let Some(load) = probed.load {
            self.selection.record_load(now, server, load.in_flight);
            self.notes.record_report(now, server, load.in_flight);
        }
        let end = match probed.healthy || probed.draining {
            true => CallEnd::Answered { status: 200 },
            false => CallEnd::Answered { status: 503 },
        };
        let available = self.drain.available_servers();
        self.outlier.record_end(now, server, end, available);
        probed.draining && self.drain.report_draining(server)
    }

    /// Takes the load notes that are due for sending.
    pub(super) fn take_due_notes(&mut self, now: Instant, peers: usize) -> Option<Vec<LoadNote>> {
        self.notes.take_due(now, peers)
    }

    /// Records a peer's load note.
    pub(super) fn record_peer_note(&mut self, now: Instant, note: LoadNote) {
        self.notes.record_peer_note(note);
        let (server, in_flight) = (usize::from(note.server), u32::from(note.in_flight));
        self.selection.record_load(now, server, in_flight);
    }
}
