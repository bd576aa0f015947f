//! Sealing: settled entries move out of the head, into segments that never change and indexes over them.
//!
//! Without sealing, a head would grow past 1 MB within minutes and be rewritten whole with each claim. Without indexes,
//! a VM that starts would read every segment of the window. Object names belong to one incarnation of a VM, so two VMs
//! that seal at once never write the same object; the head's conditional update decides which of the two counts, and
//! the other is deleted.

use std::sync::Arc;

use super::ledger::{
    Entry, Head, Index, IndexRef, IndexedSegment, KeyHash, Segment, SegmentNumber, SegmentRef,
    Version,
};
use super::message::{Operation, Precondition, StoreAnswer, StoredKind, StoredObject};
use super::partition::{EventContext, Partition};
use super::state::{KnownHead, OpenCall, SealedKeys};

/// A sealed object that is written or being written, and not yet named by the head.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Staged {
    name: String,
    content: StagedContent,
    expires_ms: u64,
    /// The object's version, once it is written.
    version: Option<Version>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum StagedContent {
    Segment(Arc<Segment>),
    Index(Vec<SegmentNumber>),
}

/// An object that no head names any more.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Garbage {
    name: String,
    /// Its version; `None` where the write had no answer.
    version: Option<Version>,
}

impl SealedKeys {
    /// Adds the keys of a segment; a key that was claimed again after its window stays with the later segment.
    pub(super) fn add_segment(&mut self, segment: SegmentRef, keys: impl Iterator<Item = KeyHash>) {
        for key in keys {
            let number = self.keys.entry(key).or_default();
            *number = segment.number.max(*number);
        }
        self.loaded.insert(segment.name.clone());
        self.segments.insert(segment.number, segment);
    }
}

impl Partition {
    /// Writes a segment or an index once the head has grown; the next head names it. Each VM draws its own threshold,
    /// so that two seldom seal at once.
    pub(super) fn stage(
        &mut self,
        context: &mut EventContext<'_>,
    ) -> Option<(OpenCall, Operation)> {
        if self.staged.is_some() || (self.pending.is_empty() && self.ends.is_empty()) {
            return None;
        }
        let head = Arc::clone(&self.known_head.as_ref()?.head);
        let threshold = 1.0 + context.rng.f64();
        let bytes = self.settings.seal_bytes as f64 * threshold;
        let segments = self.settings.segments_per_index as f64 * threshold;
        let (content, value, expires_ms) = if head.segments.len() as f64 >= segments {
            self.index(&head)
        } else if head.bytes() as f64 >= bytes {
            segment(&head)?
        } else {
            return None;
        };
        self.sealed_count += 1;
        let name = format!(
            "claims/{:03}/sealed-{:016x}-{}",
            self.number, self.owner, self.sealed_count
        );
        self.staged = Some(Staged {
            name: name.clone(),
            content,
            expires_ms,
            version: None,
        });
        let put = Operation::Put {
            name,
            value,
            when: Precondition::Absent,
        };
        Some((OpenCall::WriteSealed, put))
    }

    fn index(&self, head: &Head) -> (StagedContent, StoredObject, u64) {
        let numbers: Vec<SegmentNumber> = head.segments.iter().map(|s| s.number).collect();
        let mut segments: Vec<IndexedSegment> = head
            .segments
            .iter()
            .map(|segment| IndexedSegment {
                segment: segment.clone(),
                keys: Vec::new(),
            })
            .collect();
        for (key, number) in &self.sealed.keys {
            if let Ok(at) = numbers.binary_search(number) {
                segments[at].keys.push(*key);
            }
        }
        let expires_ms = head.segments.iter().map(|segment| segment.expires_ms).max();
        let index = StoredObject::Index(Arc::new(Index { segments }));
        (
            StagedContent::Index(numbers),
            index,
            expires_ms.unwrap_or_default(),
        )
    }

    pub(super) fn staged_write_ended(&mut self, answer: &StoreAnswer) {
        match (answer, &mut self.staged) {
            (StoreAnswer::Written(version), Some(staged)) => staged.version = Some(*version),
            _ => self.discard_staged(),
        }
    }

    /// Discards a staged object; a write without an answer may have left it in the store.
    pub(super) fn discard_staged(&mut self) {
        if let Some(staged) = self.staged.take() {
            self.garbage.push(Garbage {
                name: staged.name,
                version: staged.version,
            });
        }
    }

    /// Names the staged object in a new head, if the entries that it seals are still there.
    pub(super) fn apply_staged(&mut self, head: &mut Head) {
        let Some(staged) = &self.staged else {
            return;
        };
        let named = head
            .segments
            .iter()
            .any(|segment| segment.name == staged.name);
        if named || head.indexes.iter().any(|index| index.name == staged.name) {
            // A write without an answer had named it.
            self.staged = None;
            return;
        }
        let applied = staged.version.is_some_and(|version| match &staged.content {
            StagedContent::Segment(segment) => apply_segment(head, staged, version, segment),
            StagedContent::Index(numbers) => apply_index(head, staged, version, numbers),
        });
        if !applied {
            self.discard_staged();
        }
    }

    /// Takes the staged object's keys now that the head names it; returns whether there was one.
    pub(super) fn staged_object_named(&mut self, known: &KnownHead) -> bool {
        let Some(staged) = self.staged.take() else {
            return false;
        };
        let mut segments = known.head.segments.iter();
        let segment = segments.find(|segment| segment.name == staged.name);
        match (staged.content, segment) {
            (StagedContent::Segment(content), Some(segment)) => {
                let keys = content.entries.keys().copied();
                self.sealed.add_segment(segment.clone(), keys);
            }
            _ => drop(self.sealed.loaded.insert(staged.name)),
        }
        true
    }

    /// Drops what has expired from a new head. The VM whose write takes effect deletes the dropped objects: no head
    /// names them any more.
    pub(super) fn drop_expired(&mut self, head: &mut Head, unix_ms: u64) {
        head.entries.retain(|_, entry| entry.expires_ms > unix_ms);
        head.segments.retain(|segment| segment.expires_ms > unix_ms);
        head.indexes.retain(|index| index.expires_ms > unix_ms);
    }

    /// Queues the objects for deletion that a newer head, written by this VM, does not name any more.
    pub(super) fn queue_garbage(&mut self, before: &Head, after: &Head) {
        let indexes = before.indexes.iter();
        for index in indexes.filter(|index| !after.indexes.contains(index)) {
            self.garbage.push(Garbage {
                name: index.name.clone(),
                version: Some(index.version),
            });
        }
        let segments = self.sealed.segments.values();
        let gone = segments.filter(|segment| !after.covers(segment.number));
        self.garbage.extend(gone.map(|segment| Garbage {
            name: segment.name.clone(),
            version: Some(segment.version),
        }));
    }

    /// Deletes one object that no head names, when nothing else is to do.
    pub(super) fn collect_garbage(&mut self) -> Option<(OpenCall, Operation)> {
        let garbage = self.garbage.last()?;
        let name = garbage.name.clone();
        Some(match garbage.version {
            Some(version) => (OpenCall::DeleteGarbage, Operation::Delete { name, version }),
            None => {
                let kind = StoredKind::Segment;
                (OpenCall::FindGarbage, Operation::Get { name, kind })
            }
        })
    }

    pub(super) fn garbage_found(&mut self, found: Option<(Version, StoredObject)>) {
        match (found, self.garbage.last_mut()) {
            (Some((version, _)), Some(garbage)) => garbage.version = Some(version),
            _ => drop(self.garbage.pop()),
        }
    }
}

/// Seals the settled entries of a head; returns `None` where there are none.
fn segment(head: &Head) -> Option<(StagedContent, StoredObject, u64)> {
    let settled = head
        .entries
        .values()
        .filter(|entry| entry.state.is_settled());
    let entries: Vec<&Entry> = settled.collect();
    let expires_ms = entries.iter().map(|entry| entry.expires_ms).max()?;
    let entries = entries.into_iter();
    let segment = Arc::new(Segment {
        entries: entries.map(|entry| (entry.key, entry.clone())).collect(),
    });
    let value = StoredObject::Segment(Arc::clone(&segment));
    Some((StagedContent::Segment(segment), value, expires_ms))
}

fn apply_segment(head: &mut Head, staged: &Staged, version: Version, segment: &Segment) -> bool {
    // Another VM may have sealed the same entries, or a key may have expired and been claimed anew: then this segment
    // must not take them out of the head.
    let mut sealed = segment.entries.iter();
    if !sealed.all(|(key, entry)| head.entries.get(key) == Some(entry)) {
        return false;
    }
    head.entries
        .retain(|key, _| !segment.entries.contains_key(key));
    head.segments.push(SegmentRef {
        number: head.next_segment,
        name: staged.name.clone(),
        version,
        expires_ms: staged.expires_ms,
    });
    head.next_segment += 1;
    true
}

fn apply_index(
    head: &mut Head,
    staged: &Staged,
    version: Version,
    numbers: &[SegmentNumber],
) -> bool {
    let (Some(first), Some(last)) = (numbers.first(), numbers.last()) else {
        return false;
    };
    let named = |number| head.segments.iter().any(|segment| segment.number == number);
    if !numbers.iter().all(|number| named(*number)) {
        return false;
    }
    head.segments
        .retain(|segment| !numbers.contains(&segment.number));
    head.indexes.push(IndexRef {
        first: *first,
        last: *last,
        name: staged.name.clone(),
        version,
        expires_ms: staged.expires_ms,
    });
    true
}
