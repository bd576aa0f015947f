//! Replicas of other VMs' repeat accounts, kept until these VMs ask for them.
//!
//! Load pattern: most VMs are killed at the same moment, again and again within one window, while servers refuse their
//! requests. Without replicas each VM would start with a full share of the allowance.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::repeat_account::{AccountSnapshot, ServiceAccount, UsageReport};
use super::vm_entry::VmEntry;
use super::zone_record::ZoneRecord;
use crate::utils::HashMap;
use crate::utils::rendezvous::rendezvous;
use crate::world::ids::{ServiceName, VmName};

/// Number of replicas: if more than half of all VMs fail at the same moment, one of six survives in 19 of 20 cases.
const REPLICA_COUNT: usize = 6;

/// How long a silent VM is remembered: one that comes back later has used nothing since.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of VMs that are remembered.
const MAX_VMS: usize = 4096;

/// Returns the VMs that hold the replicas of this VM's account, spread over the zones, given the zone records. All VMs
/// with the same records agree on them.
pub fn replica_holders(own: &VmName, records: &[ZoneRecord]) -> Vec<VmEntry> {
    let mut ranked = Vec::new();
    for record in records {
        let others = record.vms.iter().filter(|vm| vm.name != *own);
        let mut of_zone: Vec<_> = others.map(|vm| (rendezvous(&vm.name, own), vm)).collect();
        of_zone.sort_by_key(|(hash, _)| Reverse(*hash));
        ranked.extend(of_zone.into_iter().enumerate());
    }
    ranked.sort_by_key(|(place, (hash, _))| (*place, Reverse(*hash)));
    let first = ranked.into_iter().take(REPLICA_COUNT);
    first.map(|(_, (_, vm))| vm.clone()).collect()
}

/// Tolerance between two ends of the unknown time, which differ by the delay of messages.
const UNKNOWN_TIME_TOLERANCE: Duration = Duration::from_millis(500);

/// What one VM reported.
#[derive(Clone, Debug)]
struct Replica {
    heard_at: Instant,
    unknown_until: Instant,
    accounts: HashMap<ServiceName, AccountSnapshot>,
}

/// The replicas of other VMs' accounts.
#[derive(Debug, Default)]
pub struct AccountReplicas {
    replicas: HashMap<VmName, Replica>,
}

impl AccountReplicas {
    /// Stores a VM's report. A report of a VM that has restarted and does not know what is stored here is ignored.
    pub fn store(&mut self, now: Instant, vm: VmName, used: UsageReport) {
        let unknown_until = now + Duration::from_millis(used.unknown_ms);
        let known = self.replicas.get(&vm);
        let knows_less = known.is_some_and(|known| {
            unknown_until > known.unknown_until.max(now) + UNKNOWN_TIME_TOLERANCE
        });
        if knows_less {
            return;
        }
        if self.replicas.len() >= MAX_VMS {
            self.forget(now);
        }
        if self.replicas.len() >= MAX_VMS && !self.replicas.contains_key(&vm) {
            return;
        }
        let replica = self.replicas.entry(vm).or_insert_with(|| Replica {
            heard_at: now,
            unknown_until,
            accounts: HashMap::default(),
        });
        replica.heard_at = now;
        replica.unknown_until = unknown_until;
        for reported in used.accounts {
            let account = reported.account;
            replica.accounts.insert(
                reported.service,
                AccountSnapshot {
                    account,
                    as_of: now,
                },
            );
        }
    }

    /// Returns what a VM reported.
    pub fn get(&mut self, now: Instant, vm: &VmName) -> Option<UsageReport> {
        self.forget(now);
        let replica = self.replicas.get(vm)?;
        let accounts = replica
            .accounts
            .iter()
            .map(|(service, snapshot)| ServiceAccount {
                service: service.clone(),
                age_ms: now.saturating_duration_since(snapshot.as_of).as_millis() as u64,
                account: snapshot.account.clone(),
            });
        let unknown_for = replica.unknown_until.saturating_duration_since(now);
        Some(UsageReport {
            unknown_ms: unknown_for.as_millis() as u64,
            heard_ms: now.saturating_duration_since(replica.heard_at).as_millis() as u64,
            accounts: accounts.collect(),
        })
    }

    /// Returns the number of VMs that are remembered.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Returns whether no VM is remembered.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= RETENTION;
        self.replicas.retain(|_, replica| {
            replica
                .accounts
                .retain(|_, snapshot| !is_old(snapshot.as_of));
            !is_old(replica.heard_at)
        });
    }
}
