//! What this VM tells its peers, and hears from them.

use std::time::Instant;

use super::{Action, Dispatcher};
use crate::decisions::notes::LoadNote;
use crate::world::ids::{Generation, ServiceName, VmName};

/// Notes of one service, for every live peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerNotes {
    /// The service.
    pub service: ServiceName,
    /// The manifest whose backend servers the notes number.
    pub generation: Generation,
    /// The notes.
    pub notes: Vec<LoadNote>,
}

impl Dispatcher {
    /// Sends the notes that are due.
    pub(super) fn tell_notes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let peers = self.live.iter().filter(|name| **name != self.vm.name);
        let peers = peers.count();
        for (service, state) in &mut self.services {
            if let Some(notes) = state.take_notes(now, peers) {
                actions.push(Action::ShareNotes(PeerNotes {
                    service: service.clone(),
                    generation: self.generation,
                    notes,
                }));
            }
        }
    }

    /// Takes a peer's notes in; numbers of another manifest mean other backend servers.
    pub(super) fn notes_heard(&mut self, now: Instant, heard: &PeerNotes) {
        if heard.generation != self.generation {
            return;
        }
        if let Some(state) = self.services.get_mut(&heard.service) {
            heard.notes.iter().for_each(|&note| state.heard(now, note));
        }
    }

    /// Takes the live VMs in.
    pub(super) fn membership(&mut self, now: Instant, live: Vec<VmName>) {
        self.live = live;
        for state in self.services.values_mut() {
            state.membership(now, &self.vm.name, &self.live);
        }
    }
}
