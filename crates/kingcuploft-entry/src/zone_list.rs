//! Lists the zone records of the store, which name the entry VMs of each zone.

use kingcuploft::entry::zone_record::ZoneRecord;

use crate::store::{Collection, Record, Store, StoreError};
use crate::store_list::EntryCount;

/// Whether a list may be some seconds old; the store charges less for such a list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Staleness {
    /// It may be old.
    Allowed,
    /// It must be current.
    Refused,
}

/// Lists all zone records. Where a page can't be had, and would not be had again either, the records before it are
/// returned: those of the other pages are learned from other VMs.
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
    let mut count = EntryCount::default();
    loop {
        let stale = stale == Staleness::Allowed;
        let page = store.list(Collection::Zones, after.as_deref(), stale).await;
        let page = match page.and_then(|page| count.add(page.records.len()).map(|()| page)) {
            Err(error) if error.is_lasting() && after.is_some() => {
                tracing::warn!(event = "list_stopped", collection = Collection::Zones.label(), after, why = %error);
                return Ok(zones);
            }
            page => page?,
        };
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
