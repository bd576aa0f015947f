//! The last decisions and what they were made from, for operators who ask why.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::decisions::retry::RetryReason;
use crate::world::ids::{AttemptId, BackendServerName, Caller, RequestId, RuleName, ServiceName};
use crate::world::refusal::{Outcome, Refusal, RefusalReason};

/// How many decisions are kept; the oldest goes first.
const MAX_EXPLANATIONS: usize = 4096;

/// Which decisions are asked for; those that fit every part that is given.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Of this request.
    pub request: Option<RequestId>,
    /// Of this caller's requests.
    pub caller: Option<Caller>,
    /// Of this service.
    pub service: Option<ServiceName>,
}

/// One decision. It holds no header, body or idempotency key.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// How long ago it was made, in ms.
    pub ago_ms: u64,
    /// The request's number on this VM.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The rule.
    pub rule: RuleName,
    /// Who asked.
    pub caller: Caller,
    /// How long the request had waited, in ms.
    pub waited_ms: u64,
    /// The load at that moment, as this VM saw it.
    pub load: LoadSnapshot,
    /// What was decided, and why.
    pub decided: Decision,
}

/// What was decided, and why.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The request was refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// What had become of the request.
        outcome: Outcome,
        /// When the caller was asked to come back, in ms.
        retry_after_ms: Option<u64>,
    },
    /// The request was sent.
    Sent {
        /// The attempt.
        attempt: AttemptId,
        /// Where to.
        backend_server: BackendServerName,
        /// Why.
        why: SendReason,
    },
}

/// Why a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SendReason {
    /// Its turn had come.
    Turn,
    /// No byte of an earlier attempt was handed over.
    RetryNeverSent,
    /// A backend server refused it.
    RetryRefused,
    /// An earlier attempt broke.
    RetryBroken,
    /// A backend server answered that it could not serve it just then.
    RetryUnavailable,
    /// An earlier attempt takes long.
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

/// The load of a service as one VM sees it.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LoadSnapshot {
    /// How many requests wait.
    pub waiting: usize,
    /// How long a new request of this caller and rule would wait, in ms.
    pub expected_wait_ms: u64,
    /// The time that nine of ten requests of the rule take, in ms.
    pub service_time_ms: u64,
    /// How many calls are in flight.
    pub in_flight: usize,
    /// How many may be.
    pub limit: usize,
    /// How many retries are allowed.
    pub retry_budget: u64,
}

/// The last decisions.
#[derive(Debug, Default)]
pub(super) struct ExplanationLog {
    kept: VecDeque<(Instant, Explanation)>,
}

impl ExplanationLog {
    pub(super) fn keep(&mut self, now: Instant, explanation: Explanation) {
        if self.kept.len() >= MAX_EXPLANATIONS {
            self.kept.pop_front();
        }
        self.kept.push_back((now, explanation));
    }

    /// Returns the decisions that fit, newest first.
    pub(super) fn find(&self, now: Instant, query: &Query) -> Vec<Explanation> {
        let fits = |explanation: &Explanation| {
            let Query {
                request,
                caller,
                service,
            } = query;
            request.is_none_or(|request| request == explanation.request)
                && caller.as_ref().is_none_or(|c| *c == explanation.caller)
                && service.as_ref().is_none_or(|s| *s == explanation.service)
        };
        let kept = self.kept.iter().rev();
        let kept = kept.filter(|(_, explanation)| fits(explanation));
        kept.map(|(at, explanation)| Explanation {
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
