//! Simulates probes of backend servers by VMs; each occupies a slot of the server as a call does.

use kingcuploft::dispatcher::{Probe, ProbeResult};
use kingcuploft::world::backend_server::LoadReport;

use super::fleet::{Fleet, FleetEvent};
use super::server::{Health, Job, JobAdmission, JobId};

impl Fleet<'_> {
    /// Sends a probe over a new connection.
    pub(super) fn send_probe(&mut self, node: usize, probe: &Probe) {
        let servers = &self.run.deployment.service.backend_servers;
        let Some(server) = servers.iter().position(|s| s.name == probe.backend_server) else {
            return;
        };
        self.cost.probes += 1;
        self.last_job += 1;
        let job = self.last_job;
        let at = self.now + self.run.deployment.links.connect + self.one_way(node, server);
        self.schedule(at, FleetEvent::ProbeArrived(node, server, job));
    }

    /// Handles the arrival of a probe at its server. A server that does not work counts as unhealthy and reports no
    /// load; one that sheds the probe reports its load at once.
    pub(super) fn receive_probe(&mut self, node: usize, server: usize, id: JobId) {
        if self.servers[server].health != Health::Working {
            return self.end_probe(node, server);
        }
        let work = self.run.deployment.probe_slot_time;
        self.cost.probe_slot_time += work;
        match self.servers[server].accept(self.now, Job { id, work }) {
            JobAdmission::Started(until) => self.schedule(until, FleetEvent::Finish(server, id)),
            JobAdmission::Queued => {}
            JobAdmission::Shed => return self.end_probe(node, server),
        }
        self.probes.insert(id, node);
    }

    /// Sends the result of a probe back to its VM.
    pub(super) fn end_probe(&mut self, node: usize, server: usize) {
        let service = &self.run.deployment.service;
        let fake_server = &self.servers[server];
        let load = fake_server
            .load()
            .filter(|_| fake_server.health == Health::Working);
        let result = ProbeResult {
            service: service.name.clone(),
            backend_server: service.backend_servers[server].name.clone(),
            healthy: fake_server.health == Health::Working && !fake_server.draining,
            draining: fake_server.draining,
            load: load.map(|in_flight| LoadReport { in_flight }),
        };
        let at = self.now + self.one_way(node, server);
        self.schedule(at, FleetEvent::ProbeEnded(node, result));
    }
}
