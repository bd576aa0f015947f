//! The client of the platform's object API, which is the store of manifests, claims and drains.
//!
//! The API speaks HTTP and JSON: `GET`, conditional `PUT` and conditional `DELETE` of `/v1/objects/KEY`, a list by
//! prefix, a long-polling watch and the VM list. The version of an object is the store's revision at its last write.

pub mod backoff;
pub mod call_budget;
pub mod circuit_breaker;
pub mod claim_lookup;
pub mod client;
pub mod manifest_root;

use std::time::Duration;

/// A revision of the store, which only grows; an object's version is the revision of its last write.
pub type Version = u64;

/// An object and its version.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Object {
    /// The key.
    pub key: String,
    /// The version.
    pub version: Version,
    /// The value: text of at most 1 MB.
    pub value: String,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// There is no object with this key.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// A change of an object.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The store's revision of the change.
    pub version: Version,
    /// The new value; `None` where the object was deleted.
    pub value: Option<String>,
}

/// The answer to a list or a watch.
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
    /// The VM runs and is expected to stay.
    Live,
    /// The VM is being shut down.
    Leaving,
}

/// An entry of the platform's VM list.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ListedVm {
    /// The VM's name: an entry VM's, or a backend server's.
    pub name: String,
    /// The address that the VM's process listens on for peers or for requests.
    pub address: String,
    /// The availability zone.
    pub availability_zone: String,
    /// Whether the VM is expected to stay.
    pub state: VmState,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The condition of a write did not hold. Nothing was written.
    #[error("the condition did not hold; the object's version is {found:?}")]
    Conflict {
        /// The version found; `None` where the object is absent.
        found: Option<Version>,
    },
    /// No complete answer arrived. A write may have taken effect.
    #[error("no complete answer arrived: {0}")]
    NoAnswer(String),
    /// No connection was made, so nothing was written.
    #[error("the store can't be reached: {0}")]
    NotSent(String),
    /// The store answered that it did not carry out the call.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// The circuit breaker is open and the call was not sent, so nothing was written.
    #[error("the store is down; the next probe is due in {} ms", retry_after.as_millis())]
    Down {
        /// The time until the next probe.
        retry_after: Duration,
    },
    /// This VM's call budget is empty and the call was not sent.
    #[error("the call budget is empty; the next call is allowed in {} ms", retry_after.as_millis())]
    OverBudget {
        /// The time until the next call is allowed.
        retry_after: Duration,
    },
    /// The store no longer holds the changes since this revision; the caller lists again.
    #[error("the revision is too old to watch from")]
    WatchExpired,
}

impl StoreError {
    /// Returns whether a write that failed with this error may have taken effect, or may still do so.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::NoAnswer(_))
    }

    /// Returns whether the error shows that the store is unable to serve calls.
    pub fn is_outage(&self) -> bool {
        match self {
            Self::NoAnswer(_) | Self::NotSent(_) => true,
            Self::Refused(status) => *status == 429 || *status >= 500,
            _ => false,
        }
    }

    /// Returns the error's label in metrics.
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

/// The part of the object API that kingcuploft uses; tests replace it with implementations of their own.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` where it is absent.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NoAnswer`] or [`StoreError::Refused`].
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError>;

    /// Writes an object if `expect` holds and returns its new version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] where the condition did not hold and nothing was written, and
    /// [`StoreError::NoAnswer`] where it is not known whether the write took effect.
    fn put(&self, key: &str, value: &str, expect: WriteCondition) -> Result<Version, StoreError>;

    /// Deletes an object if it has this version.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ObjectStore::put`].
    fn delete(&self, key: &str, version: Version) -> Result<(), StoreError>;

    /// Lists the objects whose keys begin with a prefix, as changes.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::NoAnswer`] or [`StoreError::Refused`].
    fn list(&self, prefix: &str) -> Result<Changes, StoreError>;

    /// Waits for changes after a revision, at most for `wait`; without a change the answer is empty.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::WatchExpired`] where the revision is too old, else the errors of [`ObjectStore::list`].
    fn watch(&self, prefix: &str, after: Version, wait: Duration) -> Result<Changes, StoreError>;

    /// Reads the platform's VM list, which lags behind the VMs' true state.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ObjectStore::list`].
    fn vms(&self) -> Result<Vec<ListedVm>, StoreError>;
}
