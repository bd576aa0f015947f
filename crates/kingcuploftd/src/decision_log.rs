//! The last decisions with their reasons, for operators who ask why.
//!
//! Only what is out of the ordinary is kept: refusals, retries, drains. A bounded ring in memory;
//! the oldest goes first. No header, body or idempotency key is kept, only the key's hash.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// How many decisions are kept.
const MAX_DECISIONS: usize = 2048;

/// The most decisions in one answer.
const MAX_RESULTS: usize = 200;

/// What was decided.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionKind {
    /// A request was refused.
    Refused,
    /// A request is sent again.
    Retried,
    /// A backend server gets no new work.
    Drained,
}

/// One decision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Decision {
    /// When, in ms since 1970.
    pub at_ms: u64,
    /// What was decided.
    pub decided: DecisionKind,
    /// Why: the word of the metric.
    pub reason: String,
    /// The service, where one was found.
    pub service: String,
    /// The request's id, as the caller got it; empty for a drain.
    pub request: String,
    /// What the decision was made from.
    pub inputs: String,
}

/// The last decisions.
#[derive(Debug, Default)]
pub struct DecisionLog {
    decisions: Mutex<VecDeque<Decision>>,
}

impl DecisionLog {
    /// Keeps a decision.
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

    /// Returns the decisions that a query such as `service=trip&reason=queue_full` asks for, newest
    /// first.
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
