//! Which VM keeps a shard: the one that ranks first among those that the zones' records name and that answer.
//!
//! VMs may disagree about it. Then the quota is divided as their shares are, and holds all the same.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::Shard;
use crate::entry::vm_entry::VmEntry;
use crate::entry::zone_record::ZoneRecord;
use crate::utils::HashMap;
use crate::utils::rendezvous::rendezvous;
use crate::world::ids::VmName;

/// The number of messages in a row that a keeper leaves unanswered before another one is asked.
const MAX_UNANSWERED: u32 = 2;

/// The time between two probes of a VM that did not answer: longer than a restart takes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What is known of one VM as a keeper.
#[derive(Clone, Copy, Debug)]
enum Contact {
    /// So many messages are unanswered.
    Unanswered(u32),
    /// It does not answer, and is probed at this time.
    Silent(Instant),
}

/// The VMs that may keep shards, and which of them answer.
#[derive(Clone, Debug, Default)]
pub struct Keepers {
    contacts: HashMap<VmName, Contact>,
}

/// Returns the VMs that may keep a shard, in the order in which they are asked: the largest come first, as a keeper
/// hears from all VMs.
fn ranked(shard: Shard, records: &[ZoneRecord]) -> Vec<&VmEntry> {
    let mut named: Vec<_> = records.iter().flat_map(|record| &record.vms).collect();
    let label = format!("shard {shard}");
    named.sort_by_cached_key(|vm| (Reverse(vm.cpu_milli), rendezvous(&vm.name, &label)));
    named
}

impl Keepers {
    /// Returns the VM that keeps a shard; `None` if none of the named ones answers.
    pub fn keeper(&self, shard: Shard, records: &[ZoneRecord]) -> Option<VmEntry> {
        let mut ranked = ranked(shard, records).into_iter();
        ranked.find(|vm| !self.is_silent(&vm.name)).cloned()
    }

    /// Returns a VM that ranks before the one that keeps a shard, and may answer again by now; it is probed.
    pub fn probe(&mut self, now: Instant, shard: Shard, records: &[ZoneRecord]) -> Option<VmEntry> {
        let before = ranked(shard, records).into_iter();
        let mut before = before.take_while(|vm| self.is_silent(&vm.name));
        let due = before.find(|vm| match self.contacts.get(&vm.name) {
            Some(Contact::Silent(probe_at)) => *probe_at <= now,
            Some(Contact::Unanswered(_)) | None => false,
        })?;
        let due = due.clone();
        let silent = Contact::Silent(now + PROBE_INTERVAL);
        self.contacts.insert(due.name.clone(), silent);
        Some(due)
    }

    fn is_silent(&self, vm: &VmName) -> bool {
        matches!(self.contacts.get(vm), Some(Contact::Silent(_)))
    }

    /// Records that a message was sent to a keeper. One that leaves too many unanswered is not asked until it answers a
    /// probe.
    pub fn record_sent(&mut self, now: Instant, vm: &VmName) {
        let contact = self.contacts.entry(vm.clone());
        let contact = contact.or_insert(Contact::Unanswered(0));
        *contact = match *contact {
            Contact::Unanswered(count) if count < MAX_UNANSWERED => Contact::Unanswered(count + 1),
            Contact::Unanswered(_) => Contact::Silent(now + PROBE_INTERVAL),
            silent @ Contact::Silent(_) => silent,
        };
    }

    /// Records that a VM stops, and keeps nothing any more.
    pub fn record_leaving(&mut self, now: Instant, vm: &VmName) {
        let silent = Contact::Silent(now + PROBE_INTERVAL);
        self.contacts.insert(vm.clone(), silent);
    }

    /// Records that a VM has answered.
    pub fn record_answer(&mut self, vm: &VmName) {
        self.contacts.remove(vm);
    }
}
