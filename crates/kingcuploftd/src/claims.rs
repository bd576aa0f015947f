//! The claims duty: claims, releases and records protected actions in the store.

use std::sync::Arc;

use crossbeam_channel::Receiver;
use kingcuploft::dispatcher::ClaimEnd;
use kingcuploft::utils::HashMap;
use kingcuploft::world::ids::RequestId;
use kingcuploft::world::refusal::{Refusal, RefusalReason};
use kingcuploft_platform::{Expect, ObjectStore, StoreError, Version};
use serde::{Deserialize, Serialize};

use crate::message::{Answer, ClaimOrder, Message};
use crate::shared::Shared;

#[derive(Debug, Deserialize, Serialize)]
struct Record {
    claimant: String,
    fingerprint: String,
    answer: Option<RecordedAnswer>,
}

#[derive(Debug, Deserialize, Serialize)]
struct RecordedAnswer {
    status: u16,
    body: String,
}

struct Claims<S> {
    shared: Arc<Shared>,
    store: S,
    held: HashMap<RequestId, (String, Version, Record)>,
}

/// Runs the duty until the dispatch duty ends.
pub fn run<S: ObjectStore>(shared: Arc<Shared>, ring: &Receiver<ClaimOrder>, store: S) {
    let mut claims = Claims {
        shared,
        store,
        held: HashMap::default(),
    };
    for order in ring {
        match order {
            ClaimOrder::Claim {
                request,
                service,
                key,
                fingerprint,
            } => {
                let key = format!("claims/{service}/{}", blake3::hash(key.as_bytes()).to_hex());
                claims.claim(request, key, fingerprint);
            }
            ClaimOrder::Release { request } => claims.release(request),
            ClaimOrder::Acknowledge { request, answer } => claims.acknowledge(request, answer),
        }
    }
}

impl<S: ObjectStore> Claims<S> {
    fn claim(&mut self, request: RequestId, key: String, fingerprint: String) {
        let vm = &self.shared.vm;
        let record = Record {
            claimant: format!("{}/{}/{request}", vm.name, vm.incarnation),
            fingerprint,
            answer: None,
        };
        let value = serde_json::to_string(&record).unwrap_or_default();
        let (end, recorded) = match self.store.put(&key, &value, Expect::Absent) {
            Ok(version) => {
                self.held.insert(request, (key, version, record));
                (ClaimEnd::Held, None)
            }
            Err(StoreError::Refused(_)) => (unavailable(), None),
            Err(_) => self.settle(request, key, record),
        };
        let message = Message::Claimed {
            request,
            end,
            recorded: recorded.map(Box::new),
        };
        drop(self.shared.dispatch.send(message));
    }

    /// Reads back who holds the key after a conflict or a lost answer.
    fn settle(
        &mut self,
        request: RequestId,
        key: String,
        record: Record,
    ) -> (ClaimEnd, Option<Answer>) {
        let Ok(Some(object)) = self.store.get(&key) else {
            return (unavailable(), None);
        };
        let Ok(found) = serde_json::from_str::<Record>(&object.value) else {
            return (unavailable(), None);
        };
        if found.claimant == record.claimant {
            self.held.insert(request, (key, object.version, record));
            return (ClaimEnd::Held, None);
        }
        if found.fingerprint != record.fingerprint {
            let refusal = Refusal::not_run(RefusalReason::KeyReused);
            return (ClaimEnd::Refused(refusal), None);
        }
        let Some(answer) = found.answer else {
            let refusal = Refusal::unknown(RefusalReason::KeyInProgress);
            return (ClaimEnd::Refused(refusal), None);
        };
        let status = http::StatusCode::from_u16(answer.status).unwrap_or_default();
        let answer = Answer {
            status,
            headers: http::HeaderMap::new(),
            body: answer.body.into(),
            rest: None,
        };
        (ClaimEnd::Replayed, Some(answer))
    }

    fn release(&mut self, request: RequestId) {
        if let Some((key, version, _)) = self.held.remove(&request)
            && let Err(error) = self.store.delete(&key, version)
        {
            tracing::warn!("claims: a release failed: {error}.");
        }
    }

    fn acknowledge(&mut self, request: RequestId, answer: Option<Box<Answer>>) {
        let Some((key, version, mut record)) = self.held.remove(&request) else {
            return;
        };
        let Some(answer) = answer else {
            return;
        };
        record.answer = Some(RecordedAnswer {
            status: answer.status.as_u16(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        });
        let value = serde_json::to_string(&record).unwrap_or_default();
        if let Err(error) = self.store.put(&key, &value, Expect::Version(version)) {
            tracing::warn!("claims: an answer was not recorded: {error}.");
        }
    }
}

fn unavailable() -> ClaimEnd {
    ClaimEnd::Refused(Refusal::not_run(RefusalReason::StoreUnavailable))
}
