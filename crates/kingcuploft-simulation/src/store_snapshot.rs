//! Snapshots of the store, from which it comes back.

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::configuration::Configuration;
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::world::ids::AvailabilityZone;
use kingcuploft_entry::store::{Collection, StoreChange};

use crate::store::StoreState;

/// A snapshot of the store's contents.
#[derive(Debug)]
pub struct Snapshot {
    configuration: Option<Configuration>,
    servers: Vec<BackendServer>,
    zones: Vec<ZoneRecord>,
    notices: Vec<Notice>,
    evacuations: Vec<AvailabilityZone>,
    changes: Vec<(u64, Collection, StoreChange)>,
    revision: u64,
}

impl StoreState {
    /// Returns a snapshot.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            configuration: self.configuration.borrow().clone(),
            servers: self.servers.borrow().clone(),
            zones: self.zones.borrow().clone(),
            notices: self.notices.borrow().clone(),
            evacuations: self.evacuations.borrow().clone(),
            changes: self.changes.borrow().clone(),
            revision: self.revision.get(),
        }
    }

    /// Restores a snapshot: what was written since is lost, and its revisions are assigned again.
    pub fn rewind(&self, snapshot: Snapshot) {
        self.configuration.replace(snapshot.configuration);
        self.servers.replace(snapshot.servers);
        self.zones.replace(snapshot.zones);
        self.notices.replace(snapshot.notices);
        self.evacuations.replace(snapshot.evacuations);
        self.changes.replace(snapshot.changes);
        self.revision.set(snapshot.revision);
        self.era.set(self.era.get() + 1);
        self.changed.notify_waiters();
    }
}
