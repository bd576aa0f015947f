//! A bounded log of the latest decisions and their inputs, for operators who ask why a request was sent or refused.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::decisions::retry::RetryReason;
use crate::world::ids::{AttemptId, BackendServerName, Caller, RequestId, RuleName, ServiceName};
use crate::world::refusal::{Outcome, Refusal, RefusalReason};

/// The most decisions that are kept; the oldest is dropped first.
const MAX_EXPLANATIONS: usize = 4096;

/// A filter for decisions: a decision matches if it matches every field that is set.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Only decisions on this request.
    pub request: Option<RequestId>,
    /// Only decisions on this caller's requests.
    pub caller: Option<Caller>,
    /// Only decisions of this service.
    pub service: Option<ServiceName>,
}

/// One decision and its inputs. It holds no header, body or idempotency key.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// The age of the decision, in ms.
    pub ago_ms: u64,
    /// The request's number on this VM.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The rule.
    pub rule: RuleName,
    /// The caller that sent the request.
    pub caller: Caller,
    /// How long the request had waited, in ms.
    pub waited_ms: u64,
    /// The service's load on this VM at that time.
    pub load: LoadSnapshot,
    /// The decision and its reason.
    pub decided: Decision,
}

/// A decision on a request and its reason.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The request was refused.
    Refused {
        /// The reason.
        reason: RefusalReason,
        /// Whether the request ran.
        outcome: Outcome,
        /// The retry-after time that the caller was given, in ms.
        retry_after_ms: Option<u64>,
    },
    /// The request was sent.
    Sent {
        /// The attempt's number.
        attempt: AttemptId,
        /// The backend server it was sent to.
        backend_server: BackendServerName,
        /// The reason.
        why: SendReason,
    },
}

/// Why a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SendReason {
    /// It was the next request in the queue.
    Turn,
    /// No byte of an earlier attempt was sent.
    RetryNeverSent,
    /// A backend server refused it.
    RetryRefused,
    /// The connection of an earlier attempt broke.
    RetryBroken,
    /// A backend server answered that it was temporarily unavailable.
    RetryUnavailable,
    /// An earlier attempt is slow.
    Hedge,
}

impl From<RetryReason> for SendReason {
    fn from(reason: RetryReason) -> Self {
        match reason {
            RetryReason::NeverSent => Self::RetryNeverSent,
            RetryReason::Refused => Self::RetryRefused,
            RetryReason::Broken => Self::RetryBroken,
            RetryReason::Unavailable => Self::RetryUnavailable,
        }
    }
}

/// The load of a service on one VM.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LoadSnapshot {
    /// The number of waiting requests.
    pub waiting: usize,
    /// The expected wait of a new request of this caller and rule, in ms.
    pub expected_wait_ms: u64,
    /// The 90th percentile of the rule's service time, in ms.
    pub service_time_ms: u64,
    /// The number of calls in flight.
    pub in_flight: usize,
    /// The concurrency limit: the most calls that may be in flight.
    pub limit: usize,
    /// The retries left in the budget.
    pub retry_budget: u64,
}

/// The latest decisions, oldest first.
#[derive(Debug, Default)]
pub(super) struct ExplanationLog {
    entries: VecDeque<(Instant, Explanation)>,
}

impl ExplanationLog {
    pub(super) fn record(&mut self, now: Instant, explanation: Explanation) {
        if self.entries.len() >= MAX_EXPLANATIONS {
            self.entries.pop_front();
        }
        self.entries.push_back((now, explanation));
    }

    /// Returns the decisions that match a query, newest first.
    pub(super) fn find(&self, now: Instant, query: &Query) -> Vec<Explanation> {
        let matches_query = |explanation: &Explanation| {
            let Query {
                request,
                caller,
                service,
            } = query;
            request.is_none_or(|request| request == explanation.request)
                && caller.as_ref().is_none_or(|c| *c == explanation.caller)
                && service.as_ref().is_none_or(|s| *s == explanation.service)
        };
        let matching = self.entries.iter().rev();
        let matching = matching.filter(|(_, explanation)| matches_query(explanation));
        matching
            .map(|(at, explanation)| Explanation {
                ago_ms: ms(now.saturating_duration_since(*at)),
                ..explanation.clone()
            })
            .collect()
    }
}

impl From<Refusal> for Decision {
    fn from(refusal: Refusal) -> Self {
        Self::Refused {
            reason: refusal.reason,
            outcome: refusal.outcome,
            retry_after_ms: refusal.retry_after.map(ms),
        }
    }
}

pub(super) fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
