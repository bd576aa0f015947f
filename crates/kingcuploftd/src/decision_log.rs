//! A log of the latest decisions with their reasons, for operators.
//!
//! Only exceptional decisions are kept: refusals, retries and drains. The log is a bounded ring buffer in memory that
//! drops its oldest entry. It contains no header, body or idempotency key, only the key's hash.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// The most decisions in the log.
const MAX_DECISIONS: usize = 2048;

/// The most decisions in one search result.
const MAX_RESULTS: usize = 200;

/// What was decided.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A request was refused.
    Refused,
    /// A request is retried.
    Retried,
    /// A backend server receives no new requests.
    Drained,
}

/// One decision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Decision {
    /// The time, in ms since the Unix epoch.
    pub at_ms: u64,
    /// What was decided.
    pub decided: DecisionKind,
    /// The reason, as in the metric label.
    pub reason: String,
    /// The service; empty if none was found.
    pub service: String,
    /// The request's id, as sent to the caller; empty for a drain or a retry.
    pub request: String,
    /// The inputs of the decision.
    pub inputs: String,
}

/// The latest decisions, oldest first.
#[derive(Debug, Default)]
pub struct DecisionLog {
    decisions: Mutex<VecDeque<Decision>>,
}

impl DecisionLog {
    /// Adds a decision, and drops the oldest one if the log is full.
    pub fn record(
        &self,
        decided: DecisionKind,
        reason: &str,
        service: &str,
        request: &str,
        inputs: String,
    ) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let decision = Decision {
            at_ms: since.map_or(0, |since| since.as_millis() as u64),
            decided,
            reason: reason.into(),
            service: service.into(),
            request: request.into(),
            inputs,
        };
        let mut decisions = self.lock();
        if decisions.len() >= MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// Returns the decisions that match a query such as `service=trip&reason=queue_full`, newest first.
    pub fn search(&self, query: &str) -> Vec<Decision> {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let wanted: Vec<(&str, &str)> = pairs.collect();
        let matches = |decision: &&Decision| {
            wanted.iter().all(|(name, value)| match *name {
                "service" => decision.service == *value,
                "reason" => decision.reason == *value,
                "request" => decision.request == *value,
                _ => true,
            })
        };
        let decisions = self.lock();
        decisions
            .iter()
            .rev()
            .filter(matches)
            .take(MAX_RESULTS)
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Decision>> {
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
