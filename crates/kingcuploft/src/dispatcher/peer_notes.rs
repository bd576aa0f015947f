//! Exchange of load notes between the VMs, and changes in the set of live VMs.

use std::time::Instant;

use super::{Action, Dispatcher};
use crate::decisions::notes::LoadNote;
use crate::world::ids::{Generation, ServiceName, VmName};

/// Load notes about the backend servers of one service, sent to every live peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerNotes {
    /// The service.
    pub service: ServiceName,
    /// The generation of the manifest to whose backend servers the notes' indices refer.
    pub generation: Generation,
    /// The load notes.
    pub notes: Vec<LoadNote>,
}

impl Dispatcher {
    /// Sends the load notes that are due.
    pub(super) fn share_due_notes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let peers = self
            .live_vm_names
            .iter()
            .filter(|name| **name != self.vm.name);
        let peers = peers.count();
        for (service, state) in &mut self.services {
            if let Some(notes) = state.take_due_notes(now, peers) {
                actions.push(Action::ShareNotes(PeerNotes {
                    service: service.clone(),
                    generation: self.generation,
                    notes,
                }));
            }
        }
    }

    /// Records a peer's notes. Those of another manifest are ignored, because their indices mean other backend servers.
    pub(super) fn on_peer_notes(&mut self, now: Instant, received: &PeerNotes) {
        if received.generation != self.generation {
            return;
        }
        if let Some(state) = self.services.get_mut(&received.service) {
            received
                .notes
                .iter()
                .for_each(|&note| state.record_peer_note(now, note));
        }
    }

    /// Replaces the set of live VMs.
    pub(super) fn on_membership_change(&mut self, now: Instant, live: Vec<VmName>) {
        self.live_vm_names = live;
        for state in self.services.values_mut() {
            state.update_members(now, &self.vm.name, &self.live_vm_names);
        }
    }
}
