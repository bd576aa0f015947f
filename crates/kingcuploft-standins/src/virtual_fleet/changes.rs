//! Applies the scheduled changes of a run, and exchanges membership, load notes and drains between VMs.

use std::sync::Arc;

use kingcuploft::decisions::notes::message_bytes;
use kingcuploft::dispatcher::{Event, PeerNotes};
use kingcuploft::manifest::Manifest;
use kingcuploft::world::backend_server::{CallEnd, CallReport};
use kingcuploft::world::ids::{BackendServerName, VmName};

use super::change::Change;
use super::fleet::{Fleet, FleetEvent};
use super::server::Health;

/// The size of a message to a peer that a backend server drains, in bytes, headers included.
const DRAIN_NOTE_BYTES: u64 = 64;

impl Fleet<'_> {
    /// Applies the change with this index.
    pub(super) fn change(&mut self, step: usize) {
        let run = self.run;
        match &run.steps[step].change {
            // Its slow spells were added before the run began.
            Change::Slow { .. } => {}
            Change::ColdStart { servers, .. } => {
                servers.iter().for_each(|&server| self.reset(server));
            }
            Change::Health { servers, health } => {
                for &server in servers {
                    self.servers[server].health = *health;
                    self.apply_health(server);
                }
            }
            Change::Report { servers, report } => {
                servers
                    .iter()
                    .for_each(|&s| self.servers[s].report = *report);
            }
            Change::Shed { servers, above } => {
                servers
                    .iter()
                    .for_each(|&s| self.servers[s].shed_above = *above);
            }
            Change::ReplyDraining { servers, draining } => {
                servers
                    .iter()
                    .for_each(|&s| self.servers[s].draining = *draining);
            }
            Change::Drain { servers } => {
                let node = (0..self.nodes.len()).find(|&n| self.nodes[n].accepts);
                for &server in servers {
                    node.into_iter()
                        .for_each(|node| self.receive_drain(node, server));
                }
            }
            Change::ManifestDraining { servers } => self.adopt_draining(servers),
            Change::ReplaceVms { share } => self.replace_vms(*share),
            Change::LoseZone { zone } => self.lose_zone(*zone),
        }
    }

    /// Drops the jobs that a server with a new health cannot finish; a refusing server also breaks their calls.
    fn apply_health(&mut self, server: usize) {
        match self.servers[server].health {
            Health::Working | Health::FailsFast => {}
            Health::Refuses => self.reset(server),
            Health::Gone => drop(self.servers[server].drop_all()),
        }
    }

    /// Drops every job and connection of a server; the VMs see their calls end as broken.
    fn reset(&mut self, server: usize) {
        for job in self.servers[server].drop_all() {
            let Some(call) = self.calls.get(&job) else {
                continue;
            };
            let at = self.now + self.one_way(call.node, server);
            let broken = CallReport {
                end: CallEnd::Broken,
                latency: self.now - call.sent,
                load: None,
                draining: false,
            };
            self.schedule(at, FleetEvent::ReachVm(job, broken));
        }
    }

    /// Hands every VM a new manifest in which exactly these backend servers drain.
    fn adopt_draining(&mut self, draining: &[usize]) {
        let mut service = self.run.deployment.service.clone();
        for (i, server) in service.backend_servers.iter_mut().enumerate() {
            server.draining = draining.contains(&i);
        }
        self.generation += 1;
        self.manifest = Arc::new(Manifest {
            services: vec![Arc::new(service)],
        });
        (0..self.nodes.len()).for_each(|node| self.adopt(node));
    }

    /// Replaces a share of the VMs that accept callers by new ones.
    fn replace_vms(&mut self, share: f64) {
        let accepting: Vec<usize> = (0..self.nodes.len())
            .filter(|&n| self.nodes[n].accepts)
            .collect();
        let count = (accepting.len() as f64 * share).round() as usize;
        for &node in &accepting[..count] {
            self.nodes[node].accepts = false;
            self.start_vm();
        }
        self.broadcast_membership();
    }

    /// Tells every VM which VMs are live, at once: the membership protocol is not simulated.
    pub(super) fn broadcast_membership(&mut self) {
        let live = self.nodes.iter().filter(|node| node.accepts);
        let live: Vec<VmName> = live.map(|node| node.name.clone()).collect();
        for node in 0..self.nodes.len() {
            self.dispatch(node, Event::MembershipChanged(live.clone()));
        }
    }

    /// Sends load notes to every live peer; each link loses `peer_loss_share` of them.
    pub(super) fn share_notes(&mut self, node: usize, notes: &PeerNotes) {
        let links = self.run.deployment.links;
        for peer in 0..self.nodes.len() {
            if peer == node || !self.nodes[peer].accepts {
                continue;
            }
            self.cost.note_bytes += message_bytes(notes.notes.len()) as u64;
            if self.rng.f64() < links.peer_loss_share {
                continue;
            }
            let same_zone = self.nodes[peer].zone == self.nodes[node].zone;
            let one_way = match same_zone {
                true => links.within_zone,
                false => links.between_zones,
            };
            self.schedule(
                self.now + one_way,
                FleetEvent::NotesReceived(peer, notes.clone()),
            );
        }
    }

    /// Stops every VM and backend server of a zone.
    fn lose_zone(&mut self, zone: usize) {
        let zone = self.run.deployment.zones[zone].clone();
        for node in self.nodes.iter_mut().filter(|node| node.zone == zone) {
            node.accepts = false;
            node.runs = false;
        }
        let servers = &self.run.deployment.service.backend_servers;
        for (i, _) in servers
            .iter()
            .enumerate()
            .filter(|(_, s)| s.availability_zone == zone)
        {
            self.servers[i].health = Health::Gone;
            self.apply_health(i);
        }
        self.broadcast_membership();
    }

    /// Tells every peer that a backend server drains; each link loses `peer_loss_share` of the messages.
    pub(super) fn share_draining(&mut self, node: usize, server: &BackendServerName) {
        let servers = &self.run.deployment.service.backend_servers;
        let Some(server) = servers.iter().position(|s| s.name == *server) else {
            return;
        };
        for peer in (0..self.nodes.len()).filter(|&peer| peer != node) {
            self.cost.note_bytes += DRAIN_NOTE_BYTES;
            let links = self.run.deployment.links;
            if self.rng.f64() >= links.peer_loss_share {
                let at = self.now + links.between_zones;
                self.schedule(at, FleetEvent::DrainReceived(peer, server));
            }
        }
    }

    /// Hands a dispatcher the notice that a backend server drains.
    pub(super) fn receive_drain(&mut self, node: usize, server: usize) {
        let service = &self.run.deployment.service;
        let server = service.backend_servers[server].name.clone();
        self.dispatch(node, Event::ServerDraining(service.name.clone(), server));
    }
}
