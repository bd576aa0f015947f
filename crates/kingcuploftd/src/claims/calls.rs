//! The threads that make the ledger's calls to the store.

use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender};
use kingcuploft::decisions::claim::ledger::Version;
use kingcuploft::decisions::claim::message::{
    Operation, Precondition, StoreAnswer, StoreFailure, StoredKind, StoredObject,
};
use kingcuploft_platform::{ObjectStore, StoreError, WriteCondition};

use super::metrics::{CallKind, ClaimMetrics};

/// A store call of one partition.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) partition: u16,
    pub(super) operation: Operation,
}

/// The result of one partition's store call.
#[derive(Debug)]
pub(super) struct CallAnswer {
    pub(super) partition: u16,
    pub(super) answer: StoreAnswer,
}

/// Makes store calls until the claims thread ends.
pub(super) fn run(
    store: &dyn ObjectStore,
    metrics: &ClaimMetrics,
    calls: &Receiver<Call>,
    answers: &Sender<CallAnswer>,
) {
    for call in calls {
        let answer = CallAnswer {
            partition: call.partition,
            answer: perform(store, metrics, call.operation),
        };
        if answers.send(answer).is_err() {
            return;
        }
    }
}

fn perform(store: &dyn ObjectStore, metrics: &ClaimMetrics, operation: Operation) -> StoreAnswer {
    let (kind, answer) = match operation {
        Operation::Get { name, kind } => (CallKind::Get, get(store, &name, kind)),
        Operation::Put { name, value, when } => (CallKind::Put, put(store, &name, &value, when)),
        Operation::Delete { name, version } => {
            let deleted = store.delete(&name, version);
            (CallKind::Delete, deleted.map(|()| StoreAnswer::Deleted))
        }
    };
    metrics.count_call(kind, answer.as_ref().err());
    answer.unwrap_or_else(|error| classify_error(&error))
}

fn get(store: &dyn ObjectStore, name: &str, kind: StoredKind) -> Result<StoreAnswer, StoreError> {
    let Some(object) = store.get(name)? else {
        return Ok(StoreAnswer::Found(None));
    };
    Ok(match parse(&object.value, kind) {
        Ok(stored) => StoreAnswer::Found(Some((object.version as Version, stored))),
        Err(error) => {
            tracing::error!(
                "claims: cannot read {name}, requests with its keys are refused: {error}."
            );
            StoreAnswer::Failed(StoreFailure::Corrupt)
        }
    })
}

fn parse(text: &str, kind: StoredKind) -> Result<StoredObject, serde_json::Error> {
    Ok(match kind {
        StoredKind::Head => StoredObject::Head(Arc::new(serde_json::from_str(text)?)),
        StoredKind::Segment => StoredObject::Segment(Arc::new(serde_json::from_str(text)?)),
        StoredKind::Index => StoredObject::Index(Arc::new(serde_json::from_str(text)?)),
    })
}

fn put(
    store: &dyn ObjectStore,
    name: &str,
    value: &StoredObject,
    when: Precondition,
) -> Result<StoreAnswer, StoreError> {
    let text = match value {
        StoredObject::Head(head) => serde_json::to_string(head.as_ref()),
        StoredObject::Segment(segment) => serde_json::to_string(segment.as_ref()),
        StoredObject::Index(index) => serde_json::to_string(index.as_ref()),
    };
    let Ok(text) = text else {
        return Ok(StoreAnswer::Failed(StoreFailure::NotApplied));
    };
    let expect = match when {
        Precondition::Absent => WriteCondition::Absent,
        Precondition::Version(version) => WriteCondition::Version(version),
    };
    store.put(name, &text, expect).map(StoreAnswer::Written)
}

/// Converts a store client's error into what it proves about the write: not applied, or unknown.
fn classify_error(error: &StoreError) -> StoreAnswer {
    StoreAnswer::Failed(match error {
        StoreError::Conflict { found } => return StoreAnswer::Conflict { found: *found },
        StoreError::NoAnswer(_) => StoreFailure::NoAnswer,
        StoreError::Down { retry_after } => StoreFailure::Down {
            retry_after: *retry_after,
        },
        StoreError::OverBudget { retry_after } => StoreFailure::OverBudget {
            retry_after: *retry_after,
        },
        StoreError::NotSent(_) | StoreError::Refused(_) | StoreError::WatchExpired => {
            StoreFailure::NotApplied
        }
    })
}
