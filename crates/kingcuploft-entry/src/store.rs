//! What the platform's store says, in the product's words. The adapter of a platform implements
//! [`Store`].

use std::future::Future;
use std::time::{Duration, Instant};

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::configuration::Configuration;
use kingcuploft::entry::era::Moment;
use kingcuploft::entry::notice::Notice;
use kingcuploft::entry::zone_record::ZoneRecord;
use kingcuploft::world::ids::AvailabilityZone;

/// A moment in the store's history, over its eras; greater is later.
pub type Revision = Moment;

/// What is kept in the store.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Collection {
    /// The configuration.
    Configuration,
    /// The backend servers.
    BackendServers,
    /// The entry VMs, a record for each zone.
    Zones,
    /// What VMs have seen of requests and backend servers.
    Notices,
    /// The availability zones that are to get nothing.
    Evacuations,
}

impl Collection {
    /// What a VM that reads the store watches.
    pub const WATCHED: [Self; 4] = [
        Self::Configuration,
        Self::BackendServers,
        Self::Notices,
        Self::Evacuations,
    ];

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
    /// What a VM has seen.
    Notice(Notice),
    /// An availability zone is to get nothing.
    Evacuation(AvailabilityZone),
    /// An entry that can't be read, with its name and why.
    Unreadable(String, String),
    /// An entry that is not for this collection's readers.
    Other,
}

/// A change in the store.
#[derive(Clone, Debug)]
pub enum StoreChange {
    /// An entry was written.
    Written(Record),
    /// The entry of this name is gone.
    Removed(String),
}

/// Entries of a collection.
#[derive(Clone, Debug)]
pub struct Page {
    /// The entries, with their names.
    pub records: Vec<(String, Record)>,
    /// The name to go on after, if there are more.
    pub next: Option<String>,
    /// The moment at which this was true.
    pub revision: Revision,
}

/// Changes of a collection.
#[derive(Clone, Debug)]
pub struct Changes {
    /// The changes, in their order.
    pub changes: Vec<StoreChange>,
    /// The moment up to which these are all.
    pub revision: Revision,
}

/// How the record of a zone is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ZoneWrite {
    /// There was none.
    Create,
    /// It takes the place of another.
    Replace,
}

/// What became of an entry to be written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It stands in the store.
    Done,
    /// Another VM had created it.
    AlreadyExists,
    /// There is none to replace.
    NotFound,
}

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The history from the asked moment on is gone, or is another one: list again.
    #[error("the store forgot its history")]
    HistoryGone,
    /// The store said no, for now.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// No answer came; a write may have been done or be done later.
    #[error("the store did not answer: {0}")]
    NoAnswer(String),
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Unreadable(String),
}

/// The platform's store.
pub trait Store {
    /// Lists a collection from behind a name on.
    fn list(
        &self,
        collection: Collection,
        after: Option<&str>,
        stale: bool,
    ) -> impl Future<Output = Result<Page, StoreError>>;

    /// Asks for a sign of life, as cheaply as the store allows; returns a moment that the store had
    /// reached, possibly seconds ago.
    fn probe_liveness(&self) -> impl Future<Output = Result<Revision, StoreError>>;

    /// Returns when bytes of an answer about a collection arrived last.
    fn last_received_at(&self, collection: Collection) -> Option<Instant>;

    /// Creates the record of a zone, or replaces it, so that the zone's VMs find each other.
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

    /// Removes a notice, if it is there.
    fn delete_notice(&self, id: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// Waits for changes behind a moment; history is gone for a moment of another era.
    fn watch(
        &self,
        collection: Collection,
        from: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>>;
}
