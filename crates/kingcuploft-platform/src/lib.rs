//! The client of the platform's object API.
//!
//! The API speaks HTTP and JSON: `GET`, conditional `PUT` and `DELETE` of `/v1/objects/KEY`, a
//! listing by prefix, a long-polling watch and the VM list. The version of an object is the
//! store's revision at its last write.

pub mod backoff;
pub mod call_budget;
pub mod circuit_breaker;
pub mod claim_lookup;
pub mod client;
pub mod manifest_root;

use std::time::Duration;

/// The store's revision at the last write of an object; it only grows.
pub type Version = u64;

/// An object and its version.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Object {
    /// The key.
    pub key: String,
    /// The version.
    pub version: Version,
    /// The value, text of at most 1 MB.
    pub value: String,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// There is no object with this key.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// A change seen by a watch.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The store's revision of the change.
    pub version: Version,
    /// The new value; `None` where the object was deleted.
    pub value: Option<String>,
}

/// What a listing or a watch returned.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Changes {
    /// The store's revision up to which the changes are complete.
    pub version: Version,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

/// Whether a VM is expected to stay.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is leaving.
    Leaving,
}

/// One line of the platform's VM list.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ListedVm {
    /// The VM's name: an entry VM's, or a backend server's.
    pub name: String,
    /// The address that the VM's process listens on for peers or for requests.
    pub address: String,
    /// The availability zone.
    pub availability_zone: String,
    /// Whether it is expected to stay.
    pub state: VmState,
}

/// Why a call to the store did not give what was asked.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The condition of a write did not hold; nothing was written.
    #[error("the condition did not hold; the object's version is {found:?}")]
    Conflict {
        /// The version found; `None` where the object is absent.
        found: Option<Version>,
    },
    /// No answer, or not a whole one: a write may have taken effect.
    #[error("no whole answer came: {0}")]
    NoAnswer(String),
    /// No connection was made: nothing was written.
    #[error("the store can not be reached: {0}")]
    NotSent(String),
    /// The store said that it did not do it.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// The store counts as down and was not called: nothing was written.
    #[error("the store is down; it is tried again in {} ms", retry_after.as_millis())]
    Down {
        /// When the store is tried again.
        retry_after: Duration,
    },
    /// This VM has spent its calls; the store was not called.
    #[error("the budget of calls is spent; there is one in {} ms", retry_after.as_millis())]
    OverBudget {
        /// When there is a call again.
        retry_after: Duration,
    },
    /// The revision asked for is too old to watch from; list again.
    #[error("the watch lapsed")]
    WatchExpired,
}

impl StoreError {
    /// Tells whether a write that ended so may have taken effect, or may yet.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::NoAnswer(_))
    }

    /// Tells whether the store failed to serve the call.
    pub fn is_outage(&self) -> bool {
        match self {
            Self::NoAnswer(_) | Self::NotSent(_) => true,
            Self::Refused(status) => *status == 429 || *status >= 500,
            _ => false,
        }
    }

    /// Returns the word that stands in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "conflict",
            Self::NoAnswer(_) => "silent",
            Self::NotSent(_) => "not_sent",
            Self::Refused(_) => "refused",
            Self::Down { .. } => "down",
            Self::OverBudget { .. } => "over_budget",
            Self::WatchExpired => "lapsed",
        }
    }
}

/// The object API, as far as the system uses it: the edge of the process, faked in tests.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` where it is absent.
    ///
    /// # Errors
    ///
    /// [`StoreError::Silent`] or [`StoreError::Refused`].
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError>;

    /// Writes an object if `expect` holds and returns its new version.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] where nothing was written, [`StoreError::Silent`] where that is
    /// not known.
    fn put(&self, key: &str, value: &str, expect: WriteCondition) -> Result<Version, StoreError>;

    /// Deletes an object if it has this version.
    ///
    /// # Errors
    ///
    /// As [`ObjectStore::put`].
    fn delete(&self, key: &str, version: Version) -> Result<(), StoreError>;

    /// Lists the objects whose keys begin with a prefix, as changes.
    ///
    /// # Errors
    ///
    /// [`StoreError::Silent`] or [`StoreError::Refused`].
    fn list(&self, prefix: &str) -> Result<Changes, StoreError>;

    /// Waits for changes after a revision, at most for `wait`; no change is an empty answer.
    ///
    /// # Errors
    ///
    /// [`StoreError::Lapsed`] where the revision is too old, else as [`ObjectStore::list`].
    fn watch(&self, prefix: &str, after: Version, wait: Duration) -> Result<Changes, StoreError>;

    /// Reads the platform's VM list, which lags.
    ///
    /// # Errors
    ///
    /// As [`ObjectStore::list`].
    fn vms(&self) -> Result<Vec<ListedVm>, StoreError>;
}
