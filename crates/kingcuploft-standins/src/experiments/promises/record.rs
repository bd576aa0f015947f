//! What the callers sent and received, one record for each call.

use std::time::Duration;

use crate::callers::CallResult;

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct Record {
    /// The number of the call, sent as `x-call-id`.
    pub call_id: usize,
    /// The idempotency key of a protected action; `None` for a lookup.
    pub key: Option<String>,
    /// The body of the only right answer.
    pub expected: String,
    /// The entry VM that was called, by its life.
    pub daemon_id: usize,
    /// When it was sent, from the start of the run.
    pub sent_at: Duration,
    /// When its end was known, from the start of the run.
    pub ended_at: Duration,
    /// What was received.
    pub received: CallResult,
}

/// What a caller was told about whether its request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// A backend server's answer, or the record of one.
    Answered,
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
    /// It may have run, or nothing was heard.
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
