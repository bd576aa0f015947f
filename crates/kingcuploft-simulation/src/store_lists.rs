//! The lists of the store: their pages, the entries of other writers in them, and lists that fail.

use std::cell::{Cell, RefCell};

use kingcuploft_entry::store::{Collection, Page, Record, StoreChange, StoreError};

use crate::list_fault::ListFault;
use crate::store::{StoreState, TestStore};

/// The status with which a list is refused.
const REFUSED_STATUS: u16 = 400;

/// Names that other writers give their entries.
const FOREIGN_NAMES: [&str; 10] = [
    "a00%",
    "a01%41",
    "a02&b=",
    "a03+",
    "a04%C3%A9",
    "a05é",
    "a06 b",
    "a07?c#d",
    "a08/../e",
    "~\"f\\",
];

/// How the store answers lists.
#[derive(Debug, Default)]
pub struct StoreLists {
    /// The most entries in a page; unlimited if zero.
    pub page_limit: Cell<usize>,
    /// The entries of other writers that each collection holds.
    foreign: RefCell<Vec<(String, Record)>>,
    /// The collections whose lists fail.
    faults: RefCell<Vec<(Collection, ListFault)>>,
}

impl StoreLists {
    /// Has the lists of a collection fail.
    pub fn begin_fault(&self, collection: Collection, fault: ListFault) {
        self.faults.borrow_mut().push((collection, fault));
    }

    /// Ends a fault of the lists of a collection.
    pub fn end_fault(&self, collection: Collection, fault: ListFault) {
        let mut faults = self.faults.borrow_mut();
        if let Some(at) = faults
            .iter()
            .position(|other| *other == (collection, fault))
        {
            faults.remove(at);
        }
    }

    /// Returns how the lists of a collection fail, if they do.
    pub fn fault(&self, collection: Collection) -> Option<ListFault> {
        let faults = self.faults.borrow();
        let of_collection = faults.iter().rfind(|(of, _)| *of == collection);
        of_collection.map(|(_, fault)| *fault)
    }

    /// Returns the most entries in a page of a collection.
    fn page_limit(&self, collection: Collection) -> usize {
        match (self.page_limit.get(), self.fault(collection)) {
            (0, None) => usize::MAX,
            (0, Some(_)) => 1,
            (limit, _) => limit,
        }
    }
}

impl StoreState {
    /// Writes entries of another writer to each collection; half of them can't be parsed.
    pub fn write_foreign_entries(&self, count: usize) {
        let first = self.lists.foreign.borrow().len();
        for number in first..first + count {
            let (name, record) = foreign_entry(number);
            self.lists.foreign.borrow_mut().push((name, record.clone()));
            for collection in Collection::WATCHED {
                self.record_change(collection, StoreChange::Written(record.clone()));
            }
        }
    }

    /// Returns the page of a collection that starts after a name.
    pub(crate) fn page(
        &self,
        collection: Collection,
        after: Option<&str>,
    ) -> Result<Page, StoreError> {
        let fault = self.lists.fault(collection);
        let is_refused = match fault {
            Some(ListFault::Refused) => true,
            Some(ListFault::Stops) => after.is_some(),
            _ => false,
        };
        if is_refused {
            return Err(StoreError::Refused(REFUSED_STATUS));
        }
        let mut records = self.records(collection);
        if fault == Some(ListFault::Empty) {
            records.clear();
        }
        let limit = self.lists.page_limit(collection);
        if limit < usize::MAX {
            records.sort_by(|(a, _), (b, _)| a.cmp(b));
            records.retain(|(name, _)| after.is_none_or(|after| &**name > after));
        }
        let has_more = records.len() > limit;
        records.truncate(limit);
        let last = records.last().map(|(name, _)| name.clone());
        let next = match fault {
            Some(ListFault::NeverEnds | ListFault::Stops) => last
                .or_else(|| after.map(str::to_owned))
                .or_else(|| Some(String::new())),
            Some(ListFault::EndsEarly | ListFault::Empty) => None,
            Some(ListFault::Refused) | None => last.filter(|_| has_more),
        };
        Ok(Page {
            records,
            next,
            revision: self.current_revision(),
        })
    }

    /// Returns the entries of a collection with their names.
    fn records(&self, collection: Collection) -> Vec<(String, Record)> {
        let mut records: Vec<(String, Record)> = match collection {
            Collection::Configuration => {
                let configuration = self.configuration.borrow().clone().into_iter();
                let records = configuration.map(|c| Record::Configuration(Box::new(c)));
                records.map(|record| ("main".into(), record)).collect()
            }
            Collection::BackendServers => {
                let servers = self.servers.borrow().clone().into_iter();
                let records = servers.map(|s| (s.name.to_string(), Record::BackendServer(s)));
                records.collect()
            }
            Collection::Notices => {
                let notices = self.notices.borrow().clone().into_iter();
                let records = notices.map(|notice| (notice.id(), Record::Notice(notice)));
                records.collect()
            }
            Collection::Evacuations => {
                let zones = self.evacuations.borrow().clone().into_iter();
                let records = zones.map(|zone| (zone.to_string(), Record::Evacuation(zone)));
                records.collect()
            }
            Collection::Zones => {
                let zones = self.zones.borrow().clone().into_iter();
                let records = zones.map(|record| (record.zone.to_string(), Record::Zone(record)));
                records.collect()
            }
        };
        records.extend(self.lists.foreign.borrow().iter().cloned());
        records
    }
}

impl TestStore {
    /// Returns whether the store lists a collection for this client as it should.
    pub fn lists_whole(&self, collection: Collection) -> bool {
        let is_answered = !self.1.get() && !self.0.silent.get();
        is_answered && self.0.lists.fault(collection).is_none()
    }

    /// Returns whether the store lists a collection for this client as it should, at least from its first page on.
    pub fn begins_list(&self, collection: Collection) -> bool {
        let is_answered = !self.1.get() && !self.0.silent.get();
        let fault = self.0.lists.fault(collection);
        is_answered && matches!(fault, None | Some(ListFault::Stops))
    }
}

/// Returns an entry of another writer.
fn foreign_entry(number: usize) -> (String, Record) {
    let odd = FOREIGN_NAMES[number % FOREIGN_NAMES.len()];
    let name = match number / FOREIGN_NAMES.len() {
        0 => odd.to_owned(),
        round => format!("{odd}{round}"),
    };
    let record = match number % 2 {
        0 => Record::Unreadable(name.clone(), "expected a string".into()),
        _ => Record::Other,
    };
    (name, record)
}
