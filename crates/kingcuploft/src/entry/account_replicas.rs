//! What other VMs have used of the budget of repeats, kept for them until they ask.
//!
//! Load pattern: most VMs are killed at the same moment, again and again within one window, while servers refuse what
//! they get. Each would begin its part of the allowance anew.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::repeat_account::{AccountSnapshot, ServiceAccount, UsageReport};
use super::vm_entry::VmEntry;
use super::zone_record::ZoneRecord;
use crate::utils::HashMap;
use crate::utils::rendezvous::rendezvous;
use crate::world::ids::{ServiceName, VmName};

/// How many VMs keep the account of one: of six of which more than half fail at the same moment, one is left in 19 of
/// 20 cases.
const HOLDERS: usize = 6;

/// How long a VM is remembered that says nothing more: one that comes back later has used nothing since.
const REMEMBERED: Duration = Duration::from_secs(60);

/// The most VMs that are remembered.
const MOST_VMS: usize = 4096;

/// Returns the VMs that keep the account of this one, spread over the zones, where these records name some VMs. All that
/// know the same records agree on them.
pub fn replica_holders(own: &VmName, records: &[ZoneRecord]) -> Vec<VmEntry> {
    let mut ranked = Vec::new();
    for record in records {
        let others = record.vms.iter().filter(|vm| vm.name != *own);
        let mut of_zone: Vec<_> = others.map(|vm| (rendezvous(&vm.name, own), vm)).collect();
        of_zone.sort_by_key(|(hash, _)| Reverse(*hash));
        ranked.extend(of_zone.into_iter().enumerate());
    }
    ranked.sort_by_key(|(place, (hash, _))| (*place, Reverse(*hash)));
    let first = ranked.into_iter().take(HOLDERS);
    first.map(|(_, (_, vm))| vm.clone()).collect()
}

/// By how much the ends of what is not known may differ by the time that messages take.
const SLACK: Duration = Duration::from_millis(500);

/// What one VM told.
#[derive(Clone, Debug)]
struct Copy {
    heard: Instant,
    unknown_until: Instant,
    accounts: HashMap<ServiceName, AccountSnapshot>,
}

/// The accounts of other VMs.
#[derive(Debug, Default)]
pub struct AccountReplicas {
    copies: HashMap<VmName, Copy>,
}

impl AccountReplicas {
    /// Keeps what a VM tells. It is left aside from one that has restarted and does not know what is kept here.
    pub fn store(&mut self, now: Instant, vm: VmName, used: UsageReport) {
        let unknown_until = now + Duration::from_millis(used.unknown_ms);
        let known = self.copies.get(&vm);
        let knows_less =
            known.is_some_and(|known| unknown_until > known.unknown_until.max(now) + SLACK);
        if knows_less {
            return;
        }
        if self.copies.len() >= MOST_VMS {
            self.forget(now);
        }
        if self.copies.len() >= MOST_VMS && !self.copies.contains_key(&vm) {
            return;
        }
        let copy = self.copies.entry(vm).or_insert_with(|| Copy {
            heard: now,
            unknown_until,
            accounts: HashMap::default(),
        });
        copy.heard = now;
        copy.unknown_until = unknown_until;
        for told in used.accounts {
            let account = told.account;
            copy.accounts.insert(
                told.service,
                AccountSnapshot {
                    account,
                    as_of: now,
                },
            );
        }
    }

    /// Returns what a VM told.
    pub fn get(&mut self, now: Instant, vm: &VmName) -> Option<UsageReport> {
        self.forget(now);
        let copy = self.copies.get(vm)?;
        let accounts = copy.accounts.iter().map(|(service, kept)| ServiceAccount {
            service: service.clone(),
            age_ms: now.saturating_duration_since(kept.as_of).as_millis() as u64,
            account: kept.account.clone(),
        });
        let unknown_for = copy.unknown_until.saturating_duration_since(now);
        Some(UsageReport {
            unknown_ms: unknown_for.as_millis() as u64,
            heard_ms: now.saturating_duration_since(copy.heard).as_millis() as u64,
            accounts: accounts.collect(),
        })
    }

    /// Returns how many VMs are remembered.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Returns whether none is.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= REMEMBERED;
        self.copies.retain(|_, copy| {
            copy.accounts.retain(|_, kept| !is_old(kept.as_of));
            !is_old(copy.heard)
        });
    }
}
