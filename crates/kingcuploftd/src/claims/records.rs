//! Converts between HTTP and the ledger: request fingerprints, recorded answers and the results of claims.

use std::sync::Arc;

use http::header::{
    CACHE_CONTROL, CONTENT_ENCODING, CONTENT_LANGUAGE, CONTENT_TYPE, ETAG, HeaderName,
    LAST_MODIFIED, LOCATION,
};
use http::{HeaderMap, HeaderValue, StatusCode};
use kingcuploft::decisions::claim::ledger::{EntryState, Fingerprint, Record};
use kingcuploft::decisions::claim::message::Verdict;
use kingcuploft::decisions::claim::refusal;
use kingcuploft::dispatcher::ClaimResult;
use kingcuploft::world::vm::Vm;

use crate::message::{Answer, RequestParts};

/// The headers that are recorded and replayed: those that describe the body.
const RECORDED_HEADERS: [HeaderName; 7] = [
    CONTENT_TYPE,
    CONTENT_ENCODING,
    CONTENT_LANGUAGE,
    CACHE_CONTROL,
    ETAG,
    LAST_MODIFIED,
    LOCATION,
];

/// Returns a hash of a request's content, which detects an idempotency key that is reused for another request.
pub fn fingerprint(parts: &RequestParts) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    hasher.update(parts.method.as_str().as_bytes());
    hasher.update(b"\0");
    hasher.update(parts.uri.to_string().as_bytes());
    hasher.update(b"\0");
    hasher.update(&parts.body);
    first_half(&hasher)
}

/// Returns an owner number that differs for every VM and every one of its incarnations.
pub(super) fn owner(vm: &Vm) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(vm.name.as_bytes());
    hasher.update(&vm.incarnation.to_le_bytes());
    first_half(&hasher) as u64
}

fn first_half(hasher: &blake3::Hasher) -> u128 {
    let mut half = [0; 16];
    half.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(half)
}

/// Returns the ledger entry of an action's outcome; it contains the answer if that is complete and short enough.
pub(super) fn entry_state(answer: Option<&Answer>, record_bytes: u64) -> EntryState {
    let Some(answer) = answer else {
        return EntryState::EndUnknown;
    };
    if answer.rest.is_some() || answer.body.len() as u64 > record_bytes {
        return EntryState::Ran;
    }
    let header = |name: &HeaderName| {
        let value = answer.headers.get(name)?.to_str().ok()?;
        Some((name.to_string(), value.to_owned()))
    };
    EntryState::Answered(Arc::new(Record {
        status: answer.status.as_u16(),
        headers: RECORDED_HEADERS.iter().filter_map(header).collect(),
        body: answer.body.to_vec(),
    }))
}

/// Returns a verdict's result for the dispatcher, and the answer to replay if there is one.
pub(super) fn claim_result(verdict: &Verdict) -> (ClaimResult, Option<Answer>) {
    match (verdict, refusal(verdict)) {
        (Verdict::Replay(record), _) => (ClaimResult::Replayed, Some(recorded_answer(record))),
        (_, Some(refusal)) => (ClaimResult::Refused(refusal), None),
        (_, None) => (ClaimResult::Held, None),
    }
}

fn recorded_answer(record: &Record) -> Answer {
    let mut headers = HeaderMap::new();
    for (name, value) in &record.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.insert(name, value);
        }
    }
    Answer {
        status: StatusCode::from_u16(record.status).unwrap_or_default(),
        headers,
        body: record.body.clone().into(),
        rest: None,
    }
}
