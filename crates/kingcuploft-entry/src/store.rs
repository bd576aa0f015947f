//! The interface to the platform's store, in the terms of this product. The adapter of a platform implements [`Store`].

use std::future::Future;
use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::configuration::Configuration;
use kingcuploft::entry::era::Moment;
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::world::ids::AvailabilityZone;

use crate::http::kept_connections::CallError;

/// A position in the store's history, over all its eras; a greater one is later.
pub type Revision = Moment;

/// A collection of entries in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Collection {
    /// The configuration.
    Configuration,
    /// The backend servers.
    BackendServers,
    /// The entry VMs, one record for each zone.
    Zones,
    /// What VMs have reported about requests and backend servers.
    Notices,
    /// The evacuated availability zones.
    Evacuations,
}

impl Collection {
    /// The collections that a VM watches when it reads the store.
    pub const WATCHED: [Self; 4] = [
        Self::Configuration,
        Self::BackendServers,
        Self::Notices,
        Self::Evacuations,
    ];

    /// The collections that requests are routed by, which a snapshot of another VM brings.
    pub const ROUTED_BY: [Self; 3] = [Self::Configuration, Self::BackendServers, Self::Evacuations];

    /// Returns the name used in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::BackendServers => "backend_servers",
            Self::Zones => "zones",
            Self::Notices => "notices",
            Self::Evacuations => "evacuations",
        }
    }
}

/// One entry of the store.
#[derive(Clone, Debug)]
pub enum Record {
    /// A configuration.
    Configuration(Box<Configuration>),
    /// A backend server.
    BackendServer(BackendServer),
    /// The entry VMs of a zone.
    Zone(ZoneRecord),
    /// What a VM has reported.
    Notice(Notice),
    /// An availability zone that is evacuated.
    Evacuation(AvailabilityZone),
    /// An entry that can't be read: its name and why.
    Unreadable(String, String),
    /// An entry that is not meant for the readers of this collection.
    Other,
}

/// A change of the store.
#[derive(Clone, Debug)]
pub enum StoreChange {
    /// An entry was created or replaced.
    Written(Record),
    /// The entry of this name was removed.
    Removed(String),
}

/// One page of a list of entries.
#[derive(Clone, Debug)]
pub struct Page {
    /// The entries, with their names.
    pub records: Vec<(String, Record)>,
    /// The name after which the next page starts; `None` on the last page.
    pub next: Option<String>,
    /// The revision at which the page was valid.
    pub revision: Revision,
}

/// The changes that a watch returned.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes, in their order.
    pub changes: Vec<StoreChange>,
    /// The revision up to which these are all changes.
    pub revision: Revision,
}

/// Whether a collection has changed since a revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeCheck {
    /// It has.
    Changed,
    /// It has not, up to this revision.
    UnchangedUntil(Revision),
}

/// How a zone record is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ZoneWrite {
    /// There must be none yet.
    Create,
    /// It must replace an existing one.
    Replace,
}

/// The result of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The entry was written.
    Done,
    /// Not written: another VM had created the entry.
    AlreadyExists,
    /// Not written: there is no entry to replace.
    NotFound,
}

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The history after the requested revision is compacted, or belongs to another era: the collection must be listed
    /// again.
    #[error("the store has compacted its history")]
    HistoryGone,
    /// The store refused the call, for now.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// No answer arrived; a write may have been applied or be applied later.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// The answer can't be parsed.
    #[error("the store's answer can't be read: {0}")]
    Unreadable(String),
}

impl StoreError {
    /// Returns whether the collection must be listed again.
    pub fn is_of_history(&self) -> bool {
        matches!(self, Self::HistoryGone)
    }

    /// Returns whether the same call would fail again: the store takes it for a wrong one, or its answer can't be read.
    pub fn is_lasting(&self) -> bool {
        match self {
            Self::Refused(status) => (400..500).contains(status) && !matches!(status, 408 | 429),
            Self::Unreadable(_) => true,
            Self::HistoryGone | Self::NoAnswer(_) => false,
        }
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error.is_given_up() {
            true => Self::Unreadable(error.to_string()),
            false => Self::NoAnswer(error.to_string()),
        }
    }
}

impl From<serde_json::Error> for StoreError {
    fn from(error: serde_json::Error) -> Self {
        Self::Unreadable(error.to_string())
    }
}

/// The platform's store.
pub trait Store {
    /// Returns a page of a collection, from the first name after `after` on. With `stale` the page may be some seconds
    /// old.
    fn list(
        &self,
        collection: Collection,
        after: Option<&str>,
        stale: bool,
    ) -> impl Future<Output = Result<Page, StoreError>>;

    /// Returns the configuration by its name alone, without a list; `None` if there is none.
    fn read_configuration(&self) -> impl Future<Output = Result<Option<Record>, StoreError>>;

    /// Checks that the store answers, as cheaply as it allows; returns a revision that the store had reached, possibly
    /// seconds ago.
    fn probe_liveness(&self) -> impl Future<Output = Result<Revision, StoreError>>;

    /// Returns whether a collection has changed since a revision, without waiting for a change and beside the watch of
    /// the collection. With `stale` the answer may be some seconds old.
    fn check_changes(
        &self,
        collection: Collection,
        since: Revision,
        stale: bool,
    ) -> impl Future<Output = Result<ChangeCheck, StoreError>>;

    /// Returns when bytes of an answer about a collection last arrived.
    fn last_received_at(&self, collection: Collection) -> Option<Instant>;

    /// Creates or replaces the record of a zone, by which the zone's VMs find each other.
    fn write_zone_record(
        &self,
        record: &ZoneRecord,
        how: ZoneWrite,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>>;

    /// Creates a notice.
    fn create_notice(
        &self,
        notice: &Notice,
    ) -> impl Future<Output = Result<WriteOutcome, StoreError>>;

    /// Deletes a notice, if it exists.
    fn delete_notice(&self, id: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// Waits for changes after a revision; a revision of another era gives [`StoreError::HistoryGone`].
    fn watch(
        &self,
        collection: Collection,
        from: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>>;
}
