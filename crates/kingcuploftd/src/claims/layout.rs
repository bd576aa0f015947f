//! Reads the ledger's number of partitions from the store, or writes it once if it is absent.

use std::time::{Duration, Instant};

use super::records;
use crate::message::{ClaimTask, Message};
use crate::shared::Shared;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use kingcuploft::decisions::claim::ledger::{LAYOUT_KEY, Layout};
use kingcuploft::decisions::claim::message::Verdict;
use kingcuploft_platform::{ObjectStore, StoreError, WriteCondition};

/// The delay between attempts to read the layout.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Waits for and returns the number of partitions; `None` if the daemon ends first.
///
/// Failure: two VMs with different numbers would look up one idempotency key in two partitions and run its action
/// twice. So the settings only decide what the very first VM writes. Every VM uses the stored number, and claims are
/// refused until it is read.
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
                    tracing::warn!(
                        "claims: the store has {found} partitions, the settings have {wanted}; the store's number is used."
                    );
                }
                return Some(found);
            }
            Err(error) => tracing::warn!("claims: cannot read the layout: {error}."),
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
        // Another VM was first, or an earlier write without an answer was applied: the stored number applies.
        Err(StoreError::Conflict { found: Some(_) }) => read_or_create(store, wanted),
        Err(error) => Err(error),
    }
}

/// Refuses claims for `time`; returns whether the daemon still runs.
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
