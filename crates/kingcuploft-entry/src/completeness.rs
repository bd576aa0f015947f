//! What this VM knows whole of the platform's store: a list that stopped, or a history that is gone, leaves entries out.

use crate::context::Context;
use crate::store::{Collection, Revision};

impl Context {
    /// Returns whether the VM knows all that requests are routed by.
    pub fn knows_all(&self) -> bool {
        let knows_zones = self.position(Collection::Evacuations).is_some();
        let has_configuration = self.active_configuration.version().is_some();
        let is_whole = Collection::ROUTED_BY
            .into_iter()
            .all(|collection| !self.is_incomplete(collection));
        has_configuration && self.servers_listed.get() && knows_zones && is_whole
    }

    /// Returns the revision up to which a collection is known if none of its entries may be missing.
    pub fn whole_position(&self, collection: Collection) -> Option<Revision> {
        let is_whole = !self.is_incomplete(collection);
        // A list without a configuration may have ended early.
        let is_there = collection != Collection::Configuration
            || self.active_configuration.version().is_some();
        self.position(collection).filter(|_| is_whole && is_there)
    }

    /// Records that entries of a collection may be missing.
    pub fn note_incomplete(&self, collection: Collection) {
        if self.incomplete.borrow_mut().insert(collection) {
            let collection = collection.label();
            tracing::warn!(event = "collection_incomplete", collection);
        }
    }

    /// Records that none of its entries is missing.
    pub fn note_complete(&self, collection: Collection) {
        if self.incomplete.borrow_mut().remove(&collection) {
            let collection = collection.label();
            tracing::info!(event = "collection_complete", collection);
        }
    }

    /// Returns whether entries of a collection may be missing.
    pub fn is_incomplete(&self, collection: Collection) -> bool {
        self.incomplete.borrow().contains(&collection)
    }

    /// Returns the collections of which entries may be missing.
    pub fn incomplete_collections(&self) -> Vec<Collection> {
        self.incomplete.borrow().iter().copied().collect()
    }
}
