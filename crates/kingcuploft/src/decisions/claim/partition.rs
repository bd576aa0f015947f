//! The state machine of one partition on one VM: commands and store answers in, store calls and verdicts out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::ledger::{Claimant, EntryState, Fingerprint, KeyHash, Version};
use super::message::{
    Claim, ClaimCommand, ClaimEvent, ClaimId, Operation, Output, StoreAnswer, StoreFailure, Verdict,
};
use super::seal::{Garbage, Staged};
use super::state::{AbandonedClaim, KnownHead, OpenCall, PendingClaim, PendingEnd, SealedKeys};
use super::write_pacing::WritePacing;
use crate::settings::claim::ClaimSettings;

/// The time and the random source of one event.
#[derive(Debug)]
pub struct EventContext<'a> {
    /// The monotonic time.
    pub now: Instant,
    /// The wall clock, in ms since 1970.
    pub unix_ms: u64,
    /// The random source of the jitter.
    pub rng: &'a mut fastrand::Rng,
}

/// One partition of the ledger.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Partition {
    pub(super) number: u16,
    /// Distinguishes the names of this VM's sealed objects from those of other VMs.
    pub(super) owner: u64,
    pub(super) settings: Arc<ClaimSettings>,
    pub(super) known_head: Option<KnownHead>,
    /// The least version of the head that the store is known to hold.
    pub(super) min_version: Version,
    pub(super) must_read: bool,
    /// Whether other VMs write to the partition, so that a read before a write saves a write that would fail.
    pub(super) contended: bool,
    /// Whether the head may name sealed objects whose keys are not known yet.
    pub(super) keys_missing: bool,
    pub(super) sealed: SealedKeys,
    pub(super) pending: BTreeMap<ClaimId, PendingClaim>,
    pub(super) held: BTreeMap<ClaimId, (KeyHash, Claimant)>,
    /// The keys of claims that wait or are held, with the fingerprint of the content they were claimed for.
    pub(super) local_fingerprints: BTreeMap<KeyHash, Fingerprint>,
    pub(super) ends: Vec<PendingEnd>,
    pub(super) abandoned: Vec<AbandonedClaim>,
    pub(super) staged: Option<Staged>,
    pub(super) garbage: Vec<Garbage>,
    /// How many sealed objects this VM has named; makes the next name unique.
    pub(super) sealed_count: u64,
    pub(super) open_call: Option<(OpenCall, Instant)>,
    pub(super) pacing: WritePacing,
    started: Instant,
    flushing: bool,
    last_write: Option<Instant>,
    last_answer: Option<Instant>,
    backoff_until: Option<Instant>,
    /// While the store is down: when it is probed next.
    down_until: Option<Instant>,
    failures: u32,
}

/// The most times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// The time between probes where the store gives none.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

impl Partition {
    /// Creates a partition of which nothing is known; `owner` differs for each incarnation of a VM.
    pub fn new(number: u16, owner: u64, settings: Arc<ClaimSettings>, now: Instant) -> Self {
        Self {
            number,
            owner,
            settings,
            known_head: None,
            min_version: 0,
            must_read: false,
            contended: false,
            keys_missing: false,
            sealed: SealedKeys::default(),
            pending: BTreeMap::new(),
            held: BTreeMap::new(),
            local_fingerprints: BTreeMap::new(),
            ends: Vec::new(),
            abandoned: Vec::new(),
            staged: None,
            garbage: Vec::new(),
            sealed_count: 0,
            open_call: None,
            pacing: WritePacing::default(),
            started: now,
            flushing: false,
            last_write: None,
            last_answer: None,
            backoff_until: None,
            down_until: None,
            failures: 0,
        }
    }

    /// Returns the store key of the object that decides a partition.
    pub fn head_name(number: u16) -> String {
        format!("claims/{number:03}/head")
    }

    /// Handles a command.
    pub fn handle_command(
        &mut self,
        context: &mut EventContext<'_>,
        handle_command: ClaimCommand,
        out: &mut Vec<Output>,
    ) {
        match handle_command {
            ClaimCommand::Claim(id, claim) => self.claim(context, id, claim, out),
            ClaimCommand::Release(id) => self.end(context.now, id, None),
            ClaimCommand::Acknowledge(id, state) => self.end(context.now, id, Some(state)),
        }
        self.step(context, out);
    }

    /// Handles the answer to the call in flight.
    pub fn handle_answer(
        &mut self,
        context: &mut EventContext<'_>,
        answer: StoreAnswer,
        out: &mut Vec<Output>,
    ) {
        let Some((open, _)) = self.open_call.take() else {
            return;
        };
        self.last_answer = Some(context.now);
        match answer {
            StoreAnswer::Failed(failure) => self.handle_failure(context, &open, failure, out),
            answer => {
                self.down_until = None;
                self.dispatch_answer(context, open, answer, out);
            }
        }
        self.step(context, out);
    }

    /// Refuses claims whose deadline has passed and calls the store where that is due.
    pub fn tick(&mut self, context: &mut EventContext<'_>, out: &mut Vec<Output>) {
        let over = self.pending.iter();
        let over = over.filter(|(_, waiting)| waiting.claim.deadline <= context.now);
        let over: Vec<ClaimId> = over.map(|(id, _)| *id).collect();
        for id in over {
            self.refuse_undecided(id, PROBE_INTERVAL, out);
        }
        self.step(context, out);
    }

    /// Returns when the next tick is due.
    pub fn next_due(&self) -> Option<Instant> {
        let give_up = self.pending.values().map(|waiting| waiting.claim.deadline);
        self.work_due().into_iter().chain(give_up).min()
    }

    /// Returns whether nothing is left to write.
    pub fn is_idle(&self) -> bool {
        self.open_call.is_none()
            && self.pending.is_empty()
            && self.ends.is_empty()
            && self.abandoned.is_empty()
    }

    /// Writes without waiting to group claims from now on: the VM stops.
    pub fn flush_immediately(&mut self) {
        self.flushing = true;
    }

    /// Returns how many claims are held.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn claim(
        &mut self,
        context: &EventContext<'_>,
        id: ClaimId,
        claim: Claim,
        out: &mut Vec<Output>,
    ) {
        if let Some(verdict) = self.known_verdict(context, &claim) {
            return out.push(Output::Verdict(id, verdict));
        }
        self.local_fingerprints.insert(claim.key, claim.fingerprint);
        let waiting = PendingClaim {
            claim,
            since: context.now,
            write_sent: false,
            head_read: false,
        };
        self.pending.insert(id, waiting);
    }

    /// Decides a claim without the store, where what is known is final.
    fn known_verdict(&self, context: &EventContext<'_>, claim: &Claim) -> Option<Verdict> {
        if let Some(fingerprint) = self.local_fingerprints.get(&claim.key) {
            return Some(match *fingerprint == claim.fingerprint {
                true => Verdict::InProgress,
                false => Verdict::Reused,
            });
        }
        if let Some(known) = &self.known_head
            && let Some(entry) = known.head.entries.get(&claim.key)
            && entry.expires_ms > context.unix_ms
        {
            let end = self.ends.iter().find(|end| end.claimant == entry.claimant);
            let state = end.map_or(Some(&entry.state), |end| end.state.as_ref());
            if let Some(state) = state
                && state.is_settled()
            {
                return Some(settled_verdict(entry.fingerprint, state, claim));
            }
        }
        if let Some(at) = self.down_until {
            let retry_after = at
                .saturating_duration_since(context.now)
                .max(PROBE_INTERVAL);
            return Some(self.undecided(claim, retry_after));
        }
        let began = self.open_call.as_ref().map(|(_, began)| *began);
        let slow =
            |began| context.now.saturating_duration_since(began) > self.settings.slow_store();
        let slow = began.is_some_and(slow);
        slow.then(|| self.undecided(claim, PROBE_INTERVAL))
    }

    /// Returns the verdict on a claim that the store did not decide. A key that was seen claimed by an earlier request
    /// may have run: "not run" is said only of a key that was not seen.
    fn undecided(&self, claim: &Claim, retry_after: Duration) -> Verdict {
        let entries = self.known_head.iter().map(|known| &known.head.entries);
        let mut entries = entries.filter_map(|entries| entries.get(&claim.key));
        let seen = entries.any(|entry| entry.claimant != claim.claimant);
        match seen || self.sealed.keys.contains_key(&claim.key) {
            true => Verdict::InProgress,
            false => Verdict::Unavailable { retry_after },
        }
    }

    fn end(&mut self, now: Instant, id: ClaimId, state: Option<EntryState>) {
        let Some((key, claimant)) = self.held.remove(&id) else {
            return;
        };
        self.local_fingerprints.remove(&key);
        self.ends.push(PendingEnd {
            key,
            claimant,
            state,
            since: now,
        });
    }

    /// Decides a waiting claim.
    pub(super) fn decide(&mut self, id: ClaimId, verdict: Verdict, out: &mut Vec<Output>) {
        let Some(waiting) = self.pending.remove(&id) else {
            return;
        };
        match verdict {
            Verdict::Held => {
                let claim = waiting.claim;
                self.held.insert(id, (claim.key, claim.claimant));
            }
            _ => drop(self.local_fingerprints.remove(&waiting.claim.key)),
        }
        out.push(Output::Verdict(id, verdict));
    }

    /// Refuses a claim that was not decided. Nothing was sent and nothing will be, so "not run" is true; but where a
    /// write may have carried the claim, it is released once it is found. Without that, a resend through any VM would
    /// be told "in progress" for the whole window.
    fn refuse_undecided(&mut self, id: ClaimId, retry_after: Duration, out: &mut Vec<Output>) {
        let Some(waiting) = self.pending.get(&id) else {
            return;
        };
        let verdict = self.undecided(&waiting.claim, retry_after);
        if waiting.write_sent {
            self.abandoned.push(AbandonedClaim {
                key: waiting.claim.key,
                claimant: waiting.claim.claimant.clone(),
            });
            out.push(Output::Event(ClaimEvent::Abandoned));
        }
        self.decide(id, verdict, out);
    }

    pub(super) fn back_off(&mut self, context: &mut EventContext<'_>) {
        let longest_ms = self.settings.longest_retry_pause_ms;
        let bound_ms = self.settings.retry_pause_ms << self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.failures = (self.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
        let bound = Duration::from_millis(bound_ms.min(longest_ms));
        self.backoff_until = Some(context.now + bound.mul_f64(context.rng.f64()));
        // Pacing applies between writes that took effect, not before a retry of one.
        self.last_write = None;
    }

    pub(super) fn reset_backoff(&mut self) {
        self.failures = 0;
        self.backoff_until = None;
    }

    fn handle_failure(
        &mut self,
        context: &mut EventContext<'_>,
        open: &OpenCall,
        failure: StoreFailure,
        out: &mut Vec<Output>,
    ) {
        match open {
            OpenCall::Write { .. } if failure == StoreFailure::NoAnswer => {
                self.must_read = true;
                out.push(Output::Event(ClaimEvent::ReadBack));
            }
            OpenCall::WriteSealed => self.discard_staged(),
            OpenCall::DeleteGarbage => drop(self.garbage.pop()),
            _ => {}
        }
        match failure {
            StoreFailure::NoAnswer | StoreFailure::NotApplied if self.down_until.is_none() => {
                self.back_off(context)
            }
            StoreFailure::OverBudget { retry_after } => {
                self.backoff_until = Some(context.now + retry_after)
            }
            StoreFailure::Down { retry_after } => {
                self.store_went_down(context.now, retry_after, out)
            }
            StoreFailure::NoAnswer | StoreFailure::NotApplied | StoreFailure::Corrupt => {
                self.store_went_down(context.now, PROBE_INTERVAL, out);
            }
        }
    }

    /// Refuses all claims that wait: the store is probed, and no claim waits for the probe.
    fn store_went_down(&mut self, now: Instant, retry_after: Duration, out: &mut Vec<Output>) {
        self.down_until = Some(now + retry_after);
        let ids: Vec<ClaimId> = self.pending.keys().copied().collect();
        for id in ids {
            self.refuse_undecided(id, retry_after.max(PROBE_INTERVAL), out);
        }
    }

    /// Returns when the store should be called next.
    fn work_due(&self) -> Option<Instant> {
        if self.open_call.is_some() {
            return None;
        }
        if let Some(probe) = self.down_until {
            return Some(probe.max(self.backoff_until.unwrap_or(probe)));
        }
        let settings = &self.settings;
        let claims = self.pending.values().map(|w| w.since + settings.linger());
        let ends = self
            .ends
            .iter()
            .map(|end| end.since + settings.end_linger());
        let maintenance = self.known_head.is_none()
            || self.keys_missing
            || !self.abandoned.is_empty()
            || !self.garbage.is_empty();
        let maintenance = maintenance.then_some(self.last_answer.unwrap_or(self.started));
        let due = claims.chain(ends).chain(maintenance).min()?;
        if self.flushing {
            return Some(self.backoff_until.unwrap_or(self.started));
        }
        let pace_ms = self
            .known_head
            .as_ref()
            .map_or(0, |known| known.head.pace_ms);
        let pause = Duration::from_millis(pace_ms.max(settings.shortest_pace_ms));
        let paced = self.last_write.map(|last| last + pause);
        Some(
            due.max(paced.unwrap_or(due))
                .max(self.backoff_until.unwrap_or(due)),
        )
    }

    fn step(&mut self, context: &mut EventContext<'_>, out: &mut Vec<Output>) {
        if self.open_call.is_some() || self.work_due().is_none_or(|due| due > context.now) {
            return;
        }
        if let Some((open, operation)) = self.next(context, out) {
            if matches!(open, OpenCall::Write { .. }) {
                self.last_write = Some(context.now);
            }
            self.open_call = Some((open, context.now));
            out.push(Output::Store(operation));
        }
    }

    fn next(
        &mut self,
        context: &mut EventContext<'_>,
        out: &mut Vec<Output>,
    ) -> Option<(OpenCall, Operation)> {
        if self.must_read || self.known_head.is_none() || self.down_until.is_some() {
            return Some(self.read_head());
        }
        self.load_missing_keys()
            .or_else(|| self.decide_known(context, out))
            .or_else(|| self.stage(context))
            .or_else(|| self.write(context, out))
            .or_else(|| self.collect_garbage())
    }
}

/// Returns the verdict of a settled entry on a later claim of its key.
pub(super) fn settled_verdict(
    fingerprint: Fingerprint,
    state: &EntryState,
    claim: &Claim,
) -> Verdict {
    if fingerprint != claim.fingerprint {
        return Verdict::Reused;
    }
    match state {
        EntryState::Claimed => Verdict::InProgress,
        EntryState::EndUnknown => Verdict::EndUnknown,
        EntryState::Ran => Verdict::AlreadyRan,
        EntryState::Answered(record) => Verdict::Replay(Arc::clone(record)),
    }
}
