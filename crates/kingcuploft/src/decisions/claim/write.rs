//! Group commit: one conditional update of the head that carries all waiting claims and ends.

use std::sync::Arc;

use super::ledger::{Entry, EntryState, Head};
use super::message::{ClaimId, Operation, Output, Precondition, StoredObject, Verdict};
use super::partition::{EventContext, Partition};
use super::state::{OpenCall, PendingEnd};

impl Partition {
    /// Returns the write that carries all ends and claims; `None` where there is nothing to write.
    pub(super) fn write(
        &mut self,
        context: &EventContext<'_>,
        out: &mut Vec<Output>,
    ) -> Option<(OpenCall, Operation)> {
        let known = self.known_head.clone()?;
        let mut head = (*known.head).clone();
        self.drop_expired(&mut head, context.unix_ms);
        self.ends.retain(|end| applies(end, &head));
        for end in &self.ends {
            apply(end, &mut head, self.settings.object_bytes);
        }
        self.apply_staged(&mut head);
        let claims = self.apply_claims(context, &mut head, out);
        // A refused claim that a write without an answer may have carried needs a write that decides it.
        if claims.is_empty() && self.ends.is_empty() && self.abandoned.is_empty() {
            return None;
        }
        head.writes += 1;
        self.pacing.adjust_pause(&mut head, &self.settings);
        let head = Arc::new(head);
        let put = Operation::Put {
            name: Self::head_name(self.number),
            value: StoredObject::Head(Arc::clone(&head)),
            when: match known.version {
                0 => Precondition::Absent,
                version => Precondition::Version(version),
            },
        };
        let open = OpenCall::Write {
            head,
            claims,
            ends: self.ends.len(),
        };
        Some((open, put))
    }

    fn apply_claims(
        &mut self,
        context: &EventContext<'_>,
        head: &mut Head,
        out: &mut Vec<Output>,
    ) -> Vec<ClaimId> {
        let slack_ms = self.settings.clock_slack_s * 1000;
        let mut bytes = head.bytes();
        let mut claims = Vec::with_capacity(self.pending.len());
        let mut full = Vec::new();
        for (id, waiting) in &mut self.pending {
            let claim = &waiting.claim;
            let window_ms = claim.window.as_millis() as u64;
            let entry = Entry {
                key: claim.key,
                fingerprint: claim.fingerprint,
                claimant: claim.claimant.clone(),
                claimed_ms: context.unix_ms,
                expires_ms: context.unix_ms + window_ms + slack_ms,
                state: EntryState::Claimed,
            };
            bytes += entry.bytes();
            if bytes > self.settings.object_bytes {
                full.push(*id);
                continue;
            }
            waiting.write_sent = true;
            head.entries.insert(entry.key, entry);
            claims.push(*id);
        }
        for id in full {
            self.decide(id, Verdict::Full, out);
        }
        claims
    }
}

/// Returns whether an end is still to be written: a write without an answer may have carried it.
fn applies(end: &PendingEnd, head: &Head) -> bool {
    let entry = head.entries.get(&end.key);
    entry.is_some_and(|entry| entry.claimant == end.claimant && !entry.state.is_settled())
}

/// Applies an end. An answer that would take the object over its size limit is not kept: a duplicate is then told that
/// the action ran, which is true.
fn apply(end: &PendingEnd, head: &mut Head, object_bytes: usize) {
    let Some(state) = &end.state else {
        head.entries.remove(&end.key);
        return;
    };
    let bytes = head.bytes();
    let Some(entry) = head.entries.get_mut(&end.key) else {
        return;
    };
    entry.state = match state {
        EntryState::Answered(record) if bytes + record.bytes() > object_bytes => EntryState::Ran,
        state => state.clone(),
    };
}
