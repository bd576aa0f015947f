//! Collects the changes of backend servers in one answer of the platform's store, so that they are applied and forwarded
//! together.

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::utils::HashSet;
use kingcuploft::world::ids::BackendServerName;

use crate::clock;
use crate::context::Context;
use crate::server_updates;

/// Changes of servers that are applied and forwarded together.
#[derive(Default)]
pub(crate) struct ServerBatch {
    written: Vec<BackendServer>,
    removed: Vec<BackendServerName>,
    removed_set: HashSet<BackendServerName>,
}

impl ServerBatch {
    /// Adds an entry that was written.
    pub(crate) fn add(&mut self, context: &Context, server: BackendServer) {
        // Entries are applied before removals.
        if self.removed_set.contains(&server.name) {
            self.apply(context);
        }
        self.written.push(server);
    }

    /// Adds the removal of an entry.
    pub(crate) fn remove(&mut self, name: BackendServerName) {
        if self.removed_set.insert(name.clone()) {
            self.removed.push(name);
        }
    }

    /// Applies all changes and forwards them; the batch is empty then.
    pub(crate) fn apply(&mut self, context: &Context) {
        let Self {
            written, removed, ..
        } = std::mem::take(self);
        let now = clock::now();
        server_updates::apply_servers(context, now, written);
        server_updates::apply_removals(context, now, removed);
    }
}
