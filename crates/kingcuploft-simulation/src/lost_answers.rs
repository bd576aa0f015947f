//! Answers of the store to single watches that are lost while it answers all other calls.

use std::cell::RefCell;

use kingcuploft_entry::store::Collection;

/// Which answers to watches are lost.
#[derive(Debug, Default)]
pub struct LostAnswers {
    /// The collections of which the answers to watches that wait for the next change are to be lost.
    losing: RefCell<Vec<Collection>>,
    /// The changes, by their revision, of which the answers to watches that waited for them are lost.
    lost: RefCell<Vec<(u64, Collection)>>,
}

impl LostAnswers {
    /// Loses the answers to the watches of a collection that wait for its next change. Calls that come later are answered.
    pub fn lose_next(&self, collection: Collection) {
        self.losing.borrow_mut().push(collection);
    }

    /// Loses no answers any more for the next change of a collection; returns whether they were still to be lost.
    pub fn stop_losing(&self, collection: Collection) -> bool {
        let mut losing = self.losing.borrow_mut();
        let count = losing.len();
        losing.retain(|of| *of != collection);
        losing.len() < count
    }

    /// Returns whether the answers for the next change of a collection are still to be lost.
    pub fn is_losing(&self, collection: Collection) -> bool {
        self.losing.borrow().contains(&collection)
    }

    /// Records a change of a collection.
    pub(crate) fn record_change(&self, collection: Collection, revision: u64) {
        if self.stop_losing(collection) {
            self.lost.borrow_mut().push((revision, collection));
        }
    }

    /// Returns whether the answer is lost to a watch of a collection that has waited since a revision, now that the store
    /// has reached another.
    pub(crate) fn is_lost(&self, collection: Collection, waits_since: u64, reached: u64) -> bool {
        let lost = self.lost.borrow();
        let mut lost = lost.iter();
        lost.any(|(at, of)| *of == collection && waits_since < *at && *at <= reached)
    }
}
