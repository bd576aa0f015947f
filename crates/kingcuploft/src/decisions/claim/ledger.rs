//! The objects of the claims ledger, as they are stored.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::world::ids::{Incarnation, VmName};

/// The hash of a service and an idempotency key.
pub type KeyHash = u128;

/// The hash of a request's content; a key used with another content is refused.
pub type Fingerprint = u128;

/// The store's version of an object; it only grows.
pub type Version = u64;

/// The number of a sealed segment in its partition.
pub type SegmentNumber = u32;

/// The store key of the layout.
pub const LAYOUT_KEY: &str = "claims/layout";

/// The number of partitions of the ledger; written once, and the same for every VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Layout {
    /// The number of partitions.
    pub partitions: u16,
}

/// The claimant of a key: only the very same claim may be released or acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Claimant {
    /// The name of the VM.
    pub vm: VmName,
    /// The incarnation of the VM.
    pub incarnation: Incarnation,
    /// The number of the claim in that incarnation.
    pub nonce: u64,
}

/// A recorded answer.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Record {
    /// The HTTP status code.
    pub status: u16,
    /// The headers that are replayed.
    pub headers: Vec<(String, String)>,
    /// The body, of any bytes.
    #[serde(with = "base64_bytes")]
    pub body: Vec<u8>,
}

/// The state of a claimed action, as far as it is known.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// It is claimed: it may be running, have run, or never run.
    Claimed,
    /// Its claimant does not know how it ended.
    EndUnknown,
    /// It ran, and its answer was not kept.
    Ran,
    /// It ran with this answer, which never changes.
    Answered(Arc<Record>),
}

impl EntryState {
    /// Returns whether the state is final.
    pub fn is_settled(&self) -> bool {
        !matches!(self, Self::Claimed)
    }
}

/// The entry of one claimed key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// The key.
    #[serde(with = "hex")]
    pub key: KeyHash,
    /// The content it was claimed for.
    #[serde(with = "hex")]
    pub fingerprint: Fingerprint,
    /// The claim's owner.
    pub claimant: Claimant,
    /// When it was claimed, by the claimant's clock, in ms since 1970.
    pub claimed_ms: u64,
    /// When it may be forgotten, in ms since 1970; this includes the clock slack.
    pub expires_ms: u64,
    /// The state of the action.
    pub state: EntryState,
}

/// The size of an entry besides its texts, in bytes: names, punctuation and numbers.
const ENTRY_BYTES: usize = 320;

impl Entry {
    /// Returns an upper bound of the entry's size in an object, in bytes.
    pub fn bytes(&self) -> usize {
        let record = match &self.state {
            EntryState::Answered(record) => record.bytes(),
            _ => 0,
        };
        ENTRY_BYTES + 6 * self.claimant.vm.len() + record
    }
}

impl Record {
    /// Returns an upper bound of the record's size in an object, in bytes: any character of a header may need an escape
    /// of six.
    pub fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|(name, value)| 6 * (name.len() + value.len()) + 8);
        64 + headers.sum::<usize>() + self.body.len().div_ceil(3) * 4
    }
}

/// A sealed segment, as its partition's head or index names it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SegmentRef {
    /// Its number.
    pub number: SegmentNumber,
    /// Its object's store key.
    pub name: String,
    /// Its object's version, with which it is deleted.
    pub version: Version,
    /// When all its entries have expired, in ms since 1970.
    pub expires_ms: u64,
}

/// An index over sealed segments, as its partition's head names it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct IndexRef {
    /// The first segment's number.
    pub first: SegmentNumber,
    /// The last segment's number.
    pub last: SegmentNumber,
    /// Its object's store key.
    pub name: String,
    /// Its object's version, with which it is deleted.
    pub version: Version,
    /// When all its entries have expired, in ms since 1970.
    pub expires_ms: u64,
}

/// The object that decides a partition: each claim is a conditional update of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Head {
    /// How often the head was written: each VM sees by it how much all of them write.
    pub writes: u64,
    /// The pause that every VM keeps between its writes, in ms.
    pub pace_ms: u64,
    /// The count of writes at which the pause was last adjusted.
    pub paced_at: u64,
    /// The number of the next sealed segment.
    pub next_segment: SegmentNumber,
    /// The indexes, oldest first.
    pub indexes: Vec<IndexRef>,
    /// The segments without an index, oldest first.
    pub segments: Vec<SegmentRef>,
    /// The claims that are not sealed, by key.
    #[serde(with = "entry_list")]
    pub entries: BTreeMap<KeyHash, Entry>,
}

/// An upper bound of a reference's size, in bytes.
const REF_BYTES: usize = 200;

impl Head {
    /// Returns an upper bound of the object's size, in bytes.
    pub fn bytes(&self) -> usize {
        let refs = (self.indexes.len() + self.segments.len()) * REF_BYTES;
        refs + self.entries.values().map(Entry::bytes).sum::<usize>() + REF_BYTES
    }

    /// Returns whether a segment is still part of the partition.
    pub fn covers(&self, number: SegmentNumber) -> bool {
        let indexed = |index: &IndexRef| (index.first..=index.last).contains(&number);
        self.segments.iter().any(|segment| segment.number == number)
            || self.indexes.iter().any(indexed)
    }
}

/// Settled entries that were moved out of a head; a segment never changes.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Segment {
    /// The entries, by key.
    #[serde(with = "entry_list")]
    pub entries: BTreeMap<KeyHash, Entry>,
}

/// The keys of one segment.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct IndexedSegment {
    /// The segment.
    pub segment: SegmentRef,
    /// Its keys.
    #[serde(with = "hex_list")]
    pub keys: Vec<KeyHash>,
}

/// The keys of several segments, so that a VM that starts need not read the segments.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Index {
    /// The segments, oldest first.
    pub segments: Vec<IndexedSegment>,
}

mod hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(value: &u128, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{value:032x}"))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<u128, D::Error> {
        let text = String::deserialize(from)?;
        u128::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}

mod hex_list {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(values: &[u128], to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(values.iter().map(|value| format!("{value:032x}")))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u128>, D::Error> {
        let texts = Vec::<String>::deserialize(from)?;
        let parse = |text: &String| u128::from_str_radix(text, 16).map_err(D::Error::custom);
        texts.iter().map(parse).collect()
    }
}

mod base64_bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(from)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}

/// Stores the entries as a list; each holds its key.
mod entry_list {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::{Entry, KeyHash};

    pub(super) fn serialize<S: Serializer>(
        entries: &BTreeMap<KeyHash, Entry>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_seq(entries.values())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<BTreeMap<KeyHash, Entry>, D::Error> {
        let entries = Vec::<Entry>::deserialize(from)?;
        Ok(entries
            .into_iter()
            .map(|entry| (entry.key, entry))
            .collect())
    }
}
