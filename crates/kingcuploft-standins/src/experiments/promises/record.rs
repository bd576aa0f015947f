//! The records of what callers sent and received, one for each call.

use std::time::Duration;

use crate::callers::CallResult;

/// One call and its result.
#[derive(Clone, Debug)]
pub struct Record {
    /// The number of the call, sent as `x-call-id`.
    pub call_id: usize,
    /// The idempotency key of a protected action; `None` for a lookup.
    pub key: Option<String>,
    /// The body of the only correct answer.
    pub expected: String,
    /// The daemon process that was called.
    pub daemon_id: usize,
    /// When the call was sent, from the start of the run.
    pub sent_at: Duration,
    /// When the caller received the answer or gave up, from the start of the run.
    pub ended_at: Duration,
    /// What the caller received.
    pub received: CallResult,
}

/// What a caller was told about whether its request was executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// It received a backend server's answer, either directly or replayed from the claim's record.
    Answered,
    /// It was told that the request ran.
    Ran,
    /// It was told that the request did not run.
    NotRun,
    /// It was told that the request may have run, or it received no answer.
    Unknown,
}

impl Record {
    /// Returns what the caller was told.
    pub fn reported_outcome(&self) -> ReportedOutcome {
        match &self.received {
            CallResult::Answer { .. } => ReportedOutcome::Answered,
            CallResult::Refused { outcome, .. } if outcome == "ran" => ReportedOutcome::Ran,
            CallResult::Refused { outcome, .. } if outcome == "not_run" => ReportedOutcome::NotRun,
            CallResult::Refused { .. } | CallResult::NoAnswer => ReportedOutcome::Unknown,
        }
    }
}
