//! What the callers sent and received, one record for each call.

use std::time::Duration;

use crate::callers::Received;

/// One call of a caller.
#[derive(Clone, Debug)]
pub struct Record {
    /// The number of the call, sent as `x-call-id`.
    pub call: usize,
    /// The idempotency key of a protected action; `None` for a lookup.
    pub key: Option<String>,
    /// The body of the only right answer.
    pub expected: String,
    /// The entry VM that was called, by its life.
    pub life: usize,
    /// When it was sent, from the start of the run.
    pub sent: Duration,
    /// When its end was known, from the start of the run.
    pub ended: Duration,
    /// What was received.
    pub received: Received,
}

/// What a caller was told about whether its request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
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
    pub fn told(&self) -> Told {
        match &self.received {
            Received::Answer { .. } => Told::Answered,
            Received::Refused { outcome, .. } if outcome == "ran" => Told::Ran,
            Received::Refused { outcome, .. } if outcome == "not_run" => Told::NotRun,
            Received::Refused { .. } | Received::Nothing => Told::Unknown,
        }
    }
}
