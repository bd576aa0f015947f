//! What a service hears of its backend servers beside calls: probes, and notes of peers.

use std::time::{Duration, Instant};

use super::probing::{Probe, ProbeResult};
use super::service_state::ServiceState;
use crate::decisions::notes::LoadNote;
use crate::world::backend_server::CallEnd;
use crate::world::ids::VmName;

impl ServiceState {
    /// Takes the live VMs in, `own` among them.
    pub(super) fn membership(&mut self, now: Instant, own: &VmName, live: &[VmName]) {
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

    /// Takes what a probe brought in; tells whether it brought news of a drain.
    pub(super) fn probed(&mut self, now: Instant, probed: &ProbeResult) -> bool {
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
        let working = self.drain.available_servers();
        self.outlier.record_end(now, server, end, working);
        probed.draining && self.drain.report_draining(server)
    }

    /// Takes the notes that are due.
    pub(super) fn take_notes(&mut self, now: Instant, peers: usize) -> Option<Vec<LoadNote>> {
        self.notes.take_due(now, peers)
    }

    /// Takes a peer's note in.
    pub(super) fn heard(&mut self, now: Instant, note: LoadNote) {
        self.notes.record_peer_note(note);
        let (server, in_flight) = (usize::from(note.server), u32::from(note.in_flight));
        self.selection.record_load(now, server, in_flight);
    }
}
