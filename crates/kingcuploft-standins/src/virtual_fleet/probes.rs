//! Probes between VMs and backend servers; each takes slot time like a call.

use kingcuploft::dispatcher::{Probe, ProbeResult};
use kingcuploft::world::backend_server::LoadReport;

use super::fleet::{Fleet, FleetEvent};
use super::server::{Health, Job, JobAdmission, JobId};

impl Fleet<'_> {
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

    /// Puts a probe in the server's queue; one that does not work answers nothing good.
    pub(super) fn probe_reaches(&mut self, node: usize, server: usize, id: JobId) {
        if self.servers[server].health != Health::Working {
            return self.probe_ends(node, server);
        }
        let work = self.run.deployment.probe;
        self.cost.probe_slot_time += work;
        match self.servers[server].accept(self.now, Job { id, work }) {
            JobAdmission::Started(until) => self.schedule(until, FleetEvent::Finish(server, id)),
            JobAdmission::Queued => {}
            JobAdmission::Shed => return self.probe_ends(node, server),
        }
        self.probes.insert(id, node);
    }

    pub(super) fn probe_ends(&mut self, node: usize, server: usize) {
        let service = &self.run.deployment.service;
        let fake = &self.servers[server];
        let load = fake.load().filter(|_| fake.health == Health::Working);
        let probed = ProbeResult {
            service: service.name.clone(),
            backend_server: service.backend_servers[server].name.clone(),
            healthy: fake.health == Health::Working && !fake.draining,
            draining: fake.draining,
            load: load.map(|in_flight| LoadReport { in_flight }),
        };
        let at = self.now + self.one_way(node, server);
        self.schedule(at, FleetEvent::ProbeEnded(node, probed));
    }
}
