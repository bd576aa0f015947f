//! Lists the zone records of the store, which name the entry VMs of each zone.

use kingcuploft::entry::zone_record::ZoneRecord;

use crate::store::{Collection, Record, Store, StoreError};

/// Whether a list may be some seconds old; the store charges less for such a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Staleness {
    /// It may be old.
    Allowed,
    /// It must be current.
    Refused,
}

/// Lists all zone records.
///
/// # Errors
///
/// Returns an error if a call to the store fails.
pub(crate) async fn list_all<S: Store>(
    store: &S,
    stale: Staleness,
) -> Result<Vec<ZoneRecord>, StoreError> {
    let mut zones = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let stale = stale == Staleness::Allowed;
        let page = store
            .list(Collection::Zones, after.as_deref(), stale)
            .await?;
        let entries = page.records.into_iter().map(|(_, record)| record);
        zones.extend(entries.filter_map(|record| match record {
            Record::Zone(zone) => Some(zone),
            _ => None,
        }));
        after = page.next;
        if after.is_none() {
            return Ok(zones);
        }
    }
}
