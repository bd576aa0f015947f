//! How many partitions the ledger has: kept in the store, decided once.

use std::time::{Duration, Instant};

use super::records;
use crate::message::{ClaimTask, Message};
use crate::shared::Shared;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use kingcuploft::decisions::claim::ledger::{LAYOUT_KEY, Layout};
use kingcuploft::decisions::claim::message::Verdict;
use kingcuploft_platform::{ObjectStore, StoreError, WriteCondition};

/// The pause between tries to read the layout.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Returns the number of partitions, once it is known; `None` where the daemon ends before.
///
/// Two VMs with different numbers would look for one key in two places and run it twice. So the
/// settings only decide what the first VM ever writes; every VM goes by what is stored, and claims
/// are refused until it is read.
pub(super) fn partition_count(
    shared: &Shared,
    tasks: &Receiver<ClaimTask>,
    store: &dyn ObjectStore,
) -> Option<u16> {
    let wanted = shared.settings.claims.partitions.max(1);
    loop {
        match read_or_create(store, wanted) {
            Ok(found) => {
                if found != wanted {
                    tracing::warn!("claims: the ledger has {found} partitions, not {wanted}.");
                }
                return Some(found);
            }
            Err(error) => tracing::warn!("claims: the layout can not be read: {error}."),
        }
        if !refuse_claims_for(shared, tasks, RETRY_DELAY) {
            return None;
        }
    }
}

fn read_or_create(store: &dyn ObjectStore, wanted: u16) -> Result<u16, StoreError> {
    if let Some(object) = store.get(LAYOUT_KEY)? {
        let layout = serde_json::from_str::<Layout>(&object.value);
        let layout = layout.map_err(|error| StoreError::NoAnswer(error.to_string()))?;
        return Ok(layout.partitions.max(1));
    }
    let layout = Layout { partitions: wanted };
    let value = serde_json::to_string(&layout);
    let value = value.map_err(|error| StoreError::NoAnswer(error.to_string()))?;
    match store.put(LAYOUT_KEY, &value, WriteCondition::Absent) {
        Ok(_) => Ok(wanted),
        // Another VM came first, or an earlier write without an answer: what stands there counts.
        Err(StoreError::Conflict { found: Some(_) }) => read_or_create(store, wanted),
        Err(error) => Err(error),
    }
}

/// Refuses claims for a while; tells whether the daemon goes on.
fn refuse_claims_for(shared: &Shared, tasks: &Receiver<ClaimTask>, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        match tasks.recv_deadline(until) {
            Ok(ClaimTask::Claim { request, .. }) => {
                let verdict = Verdict::Unavailable {
                    retry_after: RETRY_DELAY,
                };
                shared.metrics.claims.count_verdict(&verdict);
                let (result, _) = records::claim_result(&verdict);
                drop(shared.dispatch.send(Message::Claimed {
                    request,
                    result,
                    recorded: None,
                }));
            }
            Ok(_) => {}
            Err(RecvTimeoutError::Timeout) => return true,
            Err(RecvTimeoutError::Disconnected) => return false,
        }
    }
}
