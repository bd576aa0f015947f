//! How a partition handles the answers to its store calls.

use std::sync::Arc;

use super::ledger::{Head, SegmentNumber, Version};
use super::message::{
    ClaimEvent, ClaimId, Operation, Output, StoreAnswer, StoredKind, StoredObject, Verdict,
};
use super::partition::{EventContext, Partition, settled_verdict};
use super::state::{KnownHead, OpenCall, PendingEnd};

impl Partition {
    pub(super) fn read_head(&self) -> (OpenCall, Operation) {
        let get = Operation::Get {
            name: Self::head_name(self.number),
            kind: StoredKind::Head,
        };
        (OpenCall::Head, get)
    }

    /// Handles an answer to the call in flight.
    pub(super) fn dispatch_answer(
        &mut self,
        context: &mut EventContext<'_>,
        open: OpenCall,
        answer: StoreAnswer,
        out: &mut Vec<Output>,
    ) {
        match (open, answer) {
            (OpenCall::Head, StoreAnswer::Found(found)) => self.head_found(context, found, out),
            (OpenCall::LoadKeys(name), StoreAnswer::Found(found)) => {
                self.keys_found(context, name, found)
            }
            (OpenCall::LoadRecords(number), StoreAnswer::Found(found)) => {
                self.records_found(context, number, found, out);
            }
            (OpenCall::Write { head, claims, ends }, StoreAnswer::Written(version)) => {
                self.write_applied(context, KnownHead { version, head }, &claims, ends, out);
            }
            (OpenCall::Write { .. }, StoreAnswer::Conflict { found }) => {
                self.write_conflicted(context, found, out);
            }
            (OpenCall::WriteSealed, answer) => self.staged_write_ended(&answer),
            (OpenCall::FindGarbage, StoreAnswer::Found(found)) => self.garbage_found(found),
            (OpenCall::DeleteGarbage, _) => drop(self.garbage.pop()),
            _ => self.back_off(context),
        }
    }

    /// Takes a head that was read, unless it is older than a known one: the store serves stale reads, and going back
    /// would forget claims.
    fn head_found(
        &mut self,
        context: &mut EventContext<'_>,
        found: Option<(Version, StoredObject)>,
        out: &mut Vec<Output>,
    ) {
        let (version, head) = match found {
            Some((version, StoredObject::Head(head))) => (version, head),
            _ => (0, Arc::default()),
        };
        let known = self.known_head.as_ref().map(|known| known.version);
        if version < self.min_version.max(known.unwrap_or_default()) {
            out.push(Output::Event(ClaimEvent::StaleRead));
            self.must_read = true;
            return self.back_off(context);
        }
        self.must_read = false;
        self.reset_backoff();
        for waiting in self.pending.values_mut() {
            waiting.head_read = true;
        }
        if known == Some(version) {
            self.contended = false;
            return;
        }
        self.adopt(context, KnownHead { version, head });
    }

    /// Takes a newer head: every earlier write of this VM is decided by it.
    fn adopt(&mut self, context: &EventContext<'_>, known: KnownHead) {
        self.min_version = known.version;
        self.pacing.observe_writes(context.now, known.head.writes);
        for abandoned in std::mem::take(&mut self.abandoned) {
            let entry = known.head.entries.get(&abandoned.key);
            if entry.is_some_and(|entry| entry.claimant == abandoned.claimant) {
                self.ends.push(PendingEnd {
                    key: abandoned.key,
                    claimant: abandoned.claimant,
                    state: None,
                    since: context.now,
                });
            }
        }
        self.known_head = Some(known);
        self.keys_missing = true;
        self.forget_dropped_segments();
    }

    fn write_applied(
        &mut self,
        context: &mut EventContext<'_>,
        known: KnownHead,
        claims: &[ClaimId],
        ends: usize,
        out: &mut Vec<Output>,
    ) {
        self.reset_backoff();
        self.pacing.record_written();
        out.push(Output::Event(ClaimEvent::Group(claims.len() + ends)));
        for end in self.ends.drain(..ends) {
            out.push(Output::Event(match end.state {
                None => ClaimEvent::Released,
                Some(_) => ClaimEvent::Acknowledged,
            }));
        }
        self.must_read = self.contended;
        if let Some(before) = self.known_head.take() {
            self.queue_garbage(&before.head, &known.head);
        }
        if self.staged_object_named(&known) {
            out.push(Output::Event(ClaimEvent::Sealed));
        }
        self.adopt(context, known);
        // The keys of all objects that this head names were known before it was written.
        self.keys_missing = false;
        for id in claims {
            self.decide(*id, Verdict::Held, out);
        }
    }

    /// Handles a lost conditional write: another VM's write came first, or an earlier one of this VM without an answer.
    fn write_conflicted(
        &mut self,
        context: &mut EventContext<'_>,
        found: Option<Version>,
        out: &mut Vec<Output>,
    ) {
        out.push(Output::Event(ClaimEvent::Conflict));
        self.pacing.record_conflict();
        self.contended = true;
        self.must_read = true;
        let known = self.known_head.as_ref().map_or(0, |known| known.version);
        self.min_version = found.unwrap_or_default().max(known + 1);
        self.back_off(context);
    }

    /// Returns the read of a sealed object whose keys are not known yet: no key can be claimed before all earlier ones
    /// are known.
    pub(super) fn load_missing_keys(&mut self) -> Option<(OpenCall, Operation)> {
        let head = Arc::clone(&self.known_head.as_ref()?.head);
        for index in &head.indexes {
            let mut numbers = index.first..=index.last;
            if numbers.all(|number| self.sealed.segments.contains_key(&number)) {
                self.sealed.loaded.insert(index.name.clone());
            }
        }
        let loaded = |name: &String| self.sealed.loaded.contains(name);
        let indexes = head.indexes.iter();
        let indexes = indexes.map(|index| (&index.name, StoredKind::Index));
        let segments = head.segments.iter();
        let segments = segments.map(|segment| (&segment.name, StoredKind::Segment));
        let missing = indexes.chain(segments).find(|(name, _)| !loaded(name));
        self.keys_missing = missing.is_some();
        let (name, kind) = missing?;
        let get = Operation::Get {
            name: name.clone(),
            kind,
        };
        Some((OpenCall::LoadKeys(name.clone()), get))
    }

    fn keys_found(
        &mut self,
        context: &mut EventContext<'_>,
        name: String,
        found: Option<(Version, StoredObject)>,
    ) {
        let mut segments = self
            .known_head
            .iter()
            .flat_map(|known| &known.head.segments);
        let segment = segments.find(|segment| segment.name == name);
        match (found, segment.cloned()) {
            (Some((_, StoredObject::Segment(sealed))), Some(segment)) => {
                let keys = sealed.entries.keys().copied();
                self.sealed.add_segment(segment, keys);
            }
            (Some((_, StoredObject::Index(index))), _) => {
                for indexed in &index.segments {
                    let keys = indexed.keys.iter().copied();
                    self.sealed.add_segment(indexed.segment.clone(), keys);
                }
                self.sealed.loaded.insert(name);
            }
            // The object was deleted since the head was read, or the read is stale and does not show it yet.
            _ => {
                self.must_read = true;
                self.back_off(context);
            }
        }
    }

    /// Decides the claims that the known head and the sealed keys decide. Returns a read where one is needed first.
    pub(super) fn decide_known(
        &mut self,
        context: &EventContext<'_>,
        out: &mut Vec<Output>,
    ) -> Option<(OpenCall, Operation)> {
        let known = self.known_head.clone()?;
        let mut lookup = None;
        let mut stale = false;
        let ids: Vec<ClaimId> = self.pending.keys().copied().collect();
        for id in ids {
            let waiting = &self.pending[&id];
            let claim = &waiting.claim;
            let entry = known.head.entries.get(&claim.key);
            let Some(entry) = entry.filter(|entry| entry.expires_ms > context.unix_ms) else {
                lookup = lookup.or(self.sealed.keys.get(&claim.key).copied());
                continue;
            };
            if entry.claimant == claim.claimant {
                self.decide(id, Verdict::Held, out);
            } else if self.is_released(&entry.claimant) {
                // This VM's own release shares the next write with the claim.
            } else if entry.state.is_settled() || waiting.head_read {
                let verdict = settled_verdict(entry.fingerprint, &entry.state, claim);
                self.decide(id, verdict, out);
            } else {
                stale = true;
            }
        }
        if stale {
            return Some(self.read_head());
        }
        lookup.and_then(|number| self.load_records(number))
    }

    fn is_released(&self, claimant: &super::ledger::Claimant) -> bool {
        let ends = self.ends.iter();
        let mut releases = ends.filter(|end| end.state.is_none());
        releases.any(|end| end.claimant == *claimant)
    }

    fn load_records(&self, number: SegmentNumber) -> Option<(OpenCall, Operation)> {
        let segment = self.sealed.segments.get(&number)?;
        let get = Operation::Get {
            name: segment.name.clone(),
            kind: StoredKind::Segment,
        };
        Some((OpenCall::LoadRecords(number), get))
    }

    fn records_found(
        &mut self,
        context: &mut EventContext<'_>,
        number: SegmentNumber,
        found: Option<(Version, StoredObject)>,
        out: &mut Vec<Output>,
    ) {
        let Some((_, StoredObject::Segment(segment))) = found else {
            // The segment has expired and was deleted, or the read is stale and does not show it yet.
            self.must_read = true;
            return self.back_off(context);
        };
        let ids: Vec<ClaimId> = self.pending.keys().copied().collect();
        for id in ids {
            let claim = &self.pending[&id].claim;
            if self.sealed.keys.get(&claim.key) != Some(&number) {
                continue;
            }
            let verdict = match segment.entries.get(&claim.key) {
                // The key's window is over: it may be claimed like a new one.
                Some(entry) if entry.expires_ms <= context.unix_ms => {
                    self.sealed.keys.remove(&claim.key);
                    continue;
                }
                Some(entry) => settled_verdict(entry.fingerprint, &entry.state, claim),
                None => Verdict::EndUnknown,
            };
            self.decide(id, verdict, out);
        }
    }

    /// Drops the sealed segments that a newer head does not name any more.
    fn forget_dropped_segments(&mut self) {
        let Some(known) = &self.known_head else {
            return;
        };
        let head: &Head = &known.head;
        let numbers = self.sealed.segments.keys().copied();
        let gone: Vec<SegmentNumber> = numbers.filter(|number| !head.covers(*number)).collect();
        if gone.is_empty() {
            return;
        }
        self.sealed.keys.retain(|_, number| !gone.contains(number));
        for number in gone {
            if let Some(segment) = self.sealed.segments.remove(&number) {
                self.sealed.loaded.remove(&segment.name);
            }
        }
        let named = |name: &String| head.indexes.iter().any(|index| index.name == *name);
        let segments = &self.sealed.segments;
        self.sealed
            .loaded
            .retain(|name| named(name) || segments.values().any(|segment| segment.name == *name));
    }
}
