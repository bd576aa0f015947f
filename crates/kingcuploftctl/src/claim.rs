//! `claim show`: what is known of a protected action.

use kingcuploft::decisions::claim::ledger::{Entry, EntryState, Head, KeyHash, Segment};
use kingcuploft::decisions::claim::{Partition, key_hash, partition_of};
use kingcuploft::settings::claim::ClaimSettings;
use kingcuploft_platform::ObjectStore;
use serde::de::DeserializeOwned;

use crate::context::Context;
use crate::exit::{Code, Ending};

/// Prints what the ledger knows of an idempotency key.
///
/// # Errors
///
/// An ending with code 1 where the store does not answer or knows no such key.
pub fn show(context: &Context<'_>, service: &str, key: &str) -> Result<Ending, Ending> {
    let store = context.store()?;
    let hash = key_hash(&service.into(), key);
    let partition = partition_of(hash, ClaimSettings::default().partitions);
    let Some(entry) = find(&store, partition, hash)? else {
        let why = format!(
            "no claim of this key of {service}: it never ran, or its window is over (partition \
             {partition})"
        );
        return Err(Ending::because(Code::Failed, why));
    };
    let (state, means) = match &entry.state {
        EntryState::Claimed => ("claimed", "it may be running, have run, or never run"),
        EntryState::EndUnknown => ("end_unknown", "it was sent, and how it ended is not known"),
        EntryState::Ran => ("ran", "it ran, and its answer was not kept"),
        EntryState::Answered(_) => ("answered", "it ran, and its answer is given again"),
    };
    let status = match &entry.state {
        EntryState::Answered(record) => Some(record.status),
        _ => None,
    };
    let claimant = &entry.claimant;
    if context.json() {
        let out = serde_json::json!({
            "service": service, "partition": partition, "state": state, "status": status,
            "claimed_ms": entry.claimed_ms, "expires_ms": entry.expires_ms,
            "vm": claimant.vm, "incarnation": claimant.incarnation,
        });
        return Ok(Ending::done(format!("{out}\n")));
    }
    let status = status.map_or(String::new(), |status| format!(", status {status}"));
    Ok(Ending::done(format!(
        "{state}{status}: {means}\nclaimed by {} (life {}) at {} s, remembered until {} s, \
         partition {partition}\n",
        claimant.vm,
        claimant.incarnation,
        entry.claimed_ms / 1000,
        entry.expires_ms / 1000,
    )))
}

/// Looks in the partition's head, then in its sealed segments.
fn find(store: &dyn ObjectStore, partition: u16, hash: KeyHash) -> Result<Option<Entry>, Ending> {
    let Some(head) = read::<Head>(store, &Partition::head_name(partition))? else {
        return Ok(None);
    };
    if let Some(entry) = head.entries.get(&hash) {
        return Ok(Some(entry.clone()));
    }
    let mut segments: Vec<String> = head.segments.into_iter().map(|s| s.name).collect();
    for index in &head.indexes {
        use kingcuploft::decisions::claim::ledger::Index;
        let index = read::<Index>(store, &index.name)?;
        let indexed = index.into_iter().flat_map(|index| index.segments);
        let fitting = indexed.filter(|segment| segment.keys.contains(&hash));
        segments.extend(fitting.map(|segment| segment.segment.name));
    }
    for name in segments {
        let segment = read::<Segment>(store, &name)?;
        let found = segment.and_then(|mut segment| segment.entries.remove(&hash));
        if found.is_some() {
            return Ok(found);
        }
    }
    Ok(None)
}

fn read<T: DeserializeOwned>(store: &dyn ObjectStore, key: &str) -> Result<Option<T>, Ending> {
    let failed = |why: String| Ending::because(Code::Failed, format!("{key}: {why}"));
    let object = store.get(key).map_err(|error| failed(error.to_string()))?;
    let parsed = object.map(|object| serde_json::from_str(&object.value));
    parsed
        .transpose()
        .map_err(|error| failed(error.to_string()))
}
