//! Looks up one idempotency key in the claims ledger, for operators.

use kingcuploft::decisions::claim::ledger::{
    Entry, Head, Index, KeyHash, LAYOUT_KEY, Layout, Segment,
};
use kingcuploft::decisions::claim::{Partition, key_hash, partition_of};
use kingcuploft::world::ids::ServiceName;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{ObjectStore, StoreError};

/// What the claims ledger holds of an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ClaimEntry {
    /// The partition of the key.
    pub partition: u16,
    /// The key of the object that holds the entry; `None` where the idempotency key is not claimed.
    pub object: Option<String>,
    /// The entry; `None` where the key is not claimed, was released, or its window has ended.
    pub entry: Option<Entry>,
}

/// Why an idempotency key could not be looked up.
#[derive(Debug, thiserror::Error)]
pub enum ClaimLookupError {
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An object of the ledger can't be parsed.
    #[error("{object} can't be parsed: {error}")]
    Corrupt {
        /// The object's key.
        object: String,
        /// The parse error.
        error: serde_json::Error,
    },
}

/// Looks up an idempotency key. Reads the partition's head and, where the key is not in it, the indexes and segments
/// that the head names.
///
/// # Errors
///
/// Returns [`ClaimLookupError`] where a call to the store fails or an object can't be parsed.
pub fn look_up(
    store: &dyn ObjectStore,
    service: &ServiceName,
    key: &str,
) -> Result<ClaimEntry, ClaimLookupError> {
    let layout = read::<Layout>(store, LAYOUT_KEY)?;
    let partitions = layout.map_or(1, |layout| layout.partitions);
    let key = key_hash(service, key);
    let partition = partition_of(key, partitions);
    let head_name = Partition::head_name(partition);
    let head = read::<Head>(store, &head_name)?.unwrap_or_default();
    let found = match head.entries.get(&key) {
        Some(entry) => Some((head_name, entry.clone())),
        None => look_up_in_segments(store, &head, key)?,
    };
    let (object, entry) = found.unzip();
    Ok(ClaimEntry {
        partition,
        object,
        entry,
    })
}

fn look_up_in_segments(
    store: &dyn ObjectStore,
    head: &Head,
    key: KeyHash,
) -> Result<Option<(String, Entry)>, ClaimLookupError> {
    let mut names: Vec<String> = Vec::new();
    for index in &head.indexes {
        let index = read::<Index>(store, &index.name)?;
        let segments = index.into_iter().flat_map(|index| index.segments);
        let holding = segments.filter(|segment| segment.keys.contains(&key));
        names.extend(holding.map(|segment| segment.segment.name));
    }
    names.extend(head.segments.iter().map(|segment| segment.name.clone()));
    // The newest segment decides, as a key may be claimed again after its window.
    for name in names.into_iter().rev() {
        let segment = read::<Segment>(store, &name)?;
        if let Some(entry) = segment.and_then(|mut segment| segment.entries.remove(&key)) {
            return Ok(Some((name, entry)));
        }
    }
    Ok(None)
}

fn read<T: DeserializeOwned>(
    store: &dyn ObjectStore,
    name: &str,
) -> Result<Option<T>, ClaimLookupError> {
    let Some(object) = store.get(name)? else {
        return Ok(None);
    };
    let value = serde_json::from_str(&object.value);
    value.map(Some).map_err(|error| ClaimLookupError::Corrupt {
        object: name.into(),
        error,
    })
}
