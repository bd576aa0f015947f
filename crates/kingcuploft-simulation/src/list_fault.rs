//! How lists of the store fail, and the collections whose lists can fail.

use kingcuploft_entry::store::Collection;
use serde::{Deserialize, Serialize};

/// How the lists of one collection fail while all other calls are answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListFault {
    /// Each call is refused.
    #[default]
    Refused,
    /// The first page is answered, and each call that goes on from it is refused.
    Stops,
    /// The first page passes for the last one.
    EndsEarly,
    /// The list is empty.
    Empty,
    /// Each page names another one after it.
    NeverEnds,
}

impl ListFault {
    /// All faults.
    pub const ALL: [Self; 5] = [
        Self::Refused,
        Self::Stops,
        Self::EndsEarly,
        Self::Empty,
        Self::NeverEnds,
    ];

    /// Returns whether the list ends as if it were whole although entries are missing, which no reader can notice.
    pub fn hides_entries(self) -> bool {
        matches!(self, Self::EndsEarly | Self::Empty)
    }

    pub(crate) fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// A collection of the store, as a day names it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedCollection {
    /// The configuration.
    Configuration,
    /// The backend servers.
    BackendServers,
    /// The zone records.
    Zones,
    /// The notices.
    Notices,
    /// The evacuated zones.
    Evacuations,
}

impl ListedCollection {
    /// All collections.
    pub const ALL: [Self; 5] = [
        Self::Configuration,
        Self::BackendServers,
        Self::Zones,
        Self::Notices,
        Self::Evacuations,
    ];

    /// Returns the collection of the store.
    pub fn collection(self) -> Collection {
        match self {
            Self::Configuration => Collection::Configuration,
            Self::BackendServers => Collection::BackendServers,
            Self::Zones => Collection::Zones,
            Self::Notices => Collection::Notices,
            Self::Evacuations => Collection::Evacuations,
        }
    }
}
