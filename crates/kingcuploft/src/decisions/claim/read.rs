//! What a partition makes of the answers to its calls.

use std::sync::Arc;

use super::ledger::{Head, SegmentNumber, Version};
use super::message::{
    ClaimId, Counted, Operation, Output, StoreAnswer, Stored, StoredKind, Verdict,
};
use super::partition::{Partition, Time, settled_verdict};
use super::state::{End, Known, Open};

impl Partition {
    pub(super) fn read_head(&self) -> (Open, Operation) {
        let get = Operation::Get {
            name: Self::head_name(self.number),
            kind: StoredKind::Head,
        };
        (Open::Head, get)
    }

    /// Acts on an answer that did come.
    pub(super) fn closed(
        &mut self,
        time: &mut Time<'_>,
        open: Open,
        answer: StoreAnswer,
        out: &mut Vec<Output>,
    ) {
        match (open, answer) {
            (Open::Head, StoreAnswer::Found(found)) => self.head_found(time, found, out),
            (Open::Load(name), StoreAnswer::Found(found)) => self.loaded(time, name, found),
            (Open::Lookup(number), StoreAnswer::Found(found)) => {
                self.looked_up(time, number, found, out);
            }
            (Open::Write { head, claims, ends }, StoreAnswer::Written(version)) => {
                self.written(time, Known { version, head }, &claims, ends, out);
            }
            (Open::Write { .. }, StoreAnswer::Conflict { found }) => {
                self.lost(time, found, out);
            }
            (Open::Stage, answer) => self.stage_closed(&answer),
            (Open::FindGarbage, StoreAnswer::Found(found)) => self.garbage_found(found),
            (Open::DeleteGarbage, _) => drop(self.garbage.pop()),
            _ => self.pause(time),
        }
    }

    /// Takes a head that was read, unless it is older than what is known: the store serves old
    /// reads, and going back would forget claims.
    fn head_found(
        &mut self,
        time: &mut Time<'_>,
        found: Option<(Version, Stored)>,
        out: &mut Vec<Output>,
    ) {
        let (version, head) = match found {
            Some((version, Stored::Head(head))) => (version, head),
            _ => (0, Arc::default()),
        };
        let known = self.known.as_ref().map(|known| known.version);
        if version < self.least_version.max(known.unwrap_or_default()) {
            out.push(Output::Count(Counted::StaleRead));
            self.must_read = true;
            return self.pause(time);
        }
        self.must_read = false;
        self.succeeded();
        for waiting in self.waiting.values_mut() {
            waiting.fresh = true;
        }
        if known == Some(version) {
            self.contended = false;
            return;
        }
        self.adopt(time, Known { version, head });
    }

    /// Takes over a newer head: every earlier write of this VM is decided by it.
    fn adopt(&mut self, time: &Time<'_>, known: Known) {
        self.least_version = known.version;
        self.pace.see(time.now, known.head.writes);
        for abandoned in std::mem::take(&mut self.abandoned) {
            let entry = known.head.entries.get(&abandoned.key);
            if entry.is_some_and(|entry| entry.claimant == abandoned.claimant) {
                self.ends.push(End {
                    key: abandoned.key,
                    claimant: abandoned.claimant,
                    state: None,
                    since: time.now,
                });
            }
        }
        self.known = Some(known);
        self.behind = true;
        self.forget();
    }

    fn written(
        &mut self,
        time: &mut Time<'_>,
        known: Known,
        claims: &[ClaimId],
        ends: usize,
        out: &mut Vec<Output>,
    ) {
        self.succeeded();
        self.pace.written();
        out.push(Output::Count(Counted::Group(claims.len() + ends)));
        for end in self.ends.drain(..ends) {
            out.push(Output::Count(match end.state {
                None => Counted::Released,
                Some(_) => Counted::Acknowledged,
            }));
        }
        self.must_read = self.contended;
        if let Some(before) = self.known.take() {
            self.mark_expired(&before.head, &known.head);
        }
        if self.stage_written(&known) {
            out.push(Output::Count(Counted::Sealed));
        }
        self.adopt(time, known);
        // All that this head names was known before it was written.
        self.behind = false;
        for id in claims {
            self.decide(*id, Verdict::Held, out);
        }
    }

    /// Another VM's write came first, or an earlier one of this VM's own without an answer.
    fn lost(&mut self, time: &mut Time<'_>, found: Option<Version>, out: &mut Vec<Output>) {
        out.push(Output::Count(Counted::Conflict));
        self.pace.lost();
        self.contended = true;
        self.must_read = true;
        let known = self.known.as_ref().map_or(0, |known| known.version);
        self.least_version = found.unwrap_or_default().max(known + 1);
        self.pause(time);
    }

    /// Returns the read of a sealed object whose keys are not known yet: no key can be claimed
    /// before all earlier ones are known.
    pub(super) fn missing(&mut self) -> Option<(Open, Operation)> {
        let head = Arc::clone(&self.known.as_ref()?.head);
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
        self.behind = missing.is_some();
        let (name, kind) = missing?;
        let get = Operation::Get {
            name: name.clone(),
            kind,
        };
        Some((Open::Load(name.clone()), get))
    }

    fn loaded(&mut self, time: &mut Time<'_>, name: String, found: Option<(Version, Stored)>) {
        let mut segments = self.known.iter().flat_map(|known| &known.head.segments);
        let segment = segments.find(|segment| segment.name == name);
        match (found, segment.cloned()) {
            (Some((_, Stored::Segment(sealed))), Some(segment)) => {
                let keys = sealed.entries.keys().copied();
                self.sealed.learn(segment, keys);
            }
            (Some((_, Stored::Index(index))), _) => {
                for indexed in &index.segments {
                    let keys = indexed.keys.iter().copied();
                    self.sealed.learn(indexed.segment.clone(), keys);
                }
                self.sealed.loaded.insert(name);
            }
            // Deleted since the head was read, or not yet seen by a read that lags.
            _ => {
                self.must_read = true;
                self.pause(time);
            }
        }
    }

    /// Decides the claims that the known head and the sealed keys decide. Returns a read where one
    /// is needed first.
    pub(super) fn decide_known(
        &mut self,
        time: &Time<'_>,
        out: &mut Vec<Output>,
    ) -> Option<(Open, Operation)> {
        let known = self.known.clone()?;
        let mut lookup = None;
        let mut stale = false;
        let ids: Vec<ClaimId> = self.waiting.keys().copied().collect();
        for id in ids {
            let waiting = &self.waiting[&id];
            let claim = &waiting.claim;
            let entry = known.head.entries.get(&claim.key);
            let Some(entry) = entry.filter(|entry| entry.expires_ms > time.unix_ms) else {
                lookup = lookup.or(self.sealed.keys.get(&claim.key).copied());
                continue;
            };
            if entry.claimant == claim.claimant {
                self.decide(id, Verdict::Held, out);
            } else if self.is_released(&entry.claimant) {
                // This VM's own release shares the next write with the claim.
            } else if entry.state.is_settled() || waiting.fresh {
                let verdict = settled_verdict(entry.fingerprint, &entry.state, claim);
                self.decide(id, verdict, out);
            } else {
                stale = true;
            }
        }
        if stale {
            return Some(self.read_head());
        }
        lookup.and_then(|number| self.lookup(number))
    }

    fn is_released(&self, claimant: &super::ledger::Claimant) -> bool {
        let ends = self.ends.iter();
        let mut releases = ends.filter(|end| end.state.is_none());
        releases.any(|end| end.claimant == *claimant)
    }

    fn lookup(&self, number: SegmentNumber) -> Option<(Open, Operation)> {
        let segment = self.sealed.segments.get(&number)?;
        let get = Operation::Get {
            name: segment.name.clone(),
            kind: StoredKind::Segment,
        };
        Some((Open::Lookup(number), get))
    }

    fn looked_up(
        &mut self,
        time: &mut Time<'_>,
        number: SegmentNumber,
        found: Option<(Version, Stored)>,
        out: &mut Vec<Output>,
    ) {
        let Some((_, Stored::Segment(segment))) = found else {
            // Expired and deleted, or not yet seen by a read that lags.
            self.must_read = true;
            return self.pause(time);
        };
        let ids: Vec<ClaimId> = self.waiting.keys().copied().collect();
        for id in ids {
            let claim = &self.waiting[&id].claim;
            if self.sealed.keys.get(&claim.key) != Some(&number) {
                continue;
            }
            let verdict = match segment.entries.get(&claim.key) {
                // The key's window is over: it is as good as new.
                Some(entry) if entry.expires_ms <= time.unix_ms => {
                    self.sealed.keys.remove(&claim.key);
                    continue;
                }
                Some(entry) => settled_verdict(entry.fingerprint, &entry.state, claim),
                None => Verdict::EndUnknown,
            };
            self.decide(id, verdict, out);
        }
    }

    /// Forgets the sealed segments that a newer head does not name any more.
    fn forget(&mut self) {
        let Some(known) = &self.known else {
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
