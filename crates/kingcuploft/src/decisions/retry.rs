//! When a request is sent again.

use std::time::{Duration, Instant};

use crate::settings::retry::RetrySettings;
use crate::world::backend_server::{CallEnd, CallReport};
use crate::world::contract::Contract;
use crate::world::refusal::{Refusal, RefusalReason};

/// Why a request is sent again; the same words label the metric.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryReason {
    /// No byte of the attempt was handed to a connection.
    NeverSent,
    /// The backend server refused without running the request.
    Refused,
    /// A lookup's answer was cut, crossed or never came.
    Broken,
}

impl RetryReason {
    /// Every reason, for metrics that start at zero.
    pub const ALL: &[Self] = &[Self::NeverSent, Self::Refused, Self::Broken];

    /// Returns the word that stands in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NeverSent => "never_sent",
            Self::Refused => "refused",
            Self::Broken => "broken",
        }
    }
}

/// What to do after an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Pass the answer on.
    Answer,
    /// Send the request again.
    Retry {
        /// Why.
        reason: RetryReason,
        /// How long to wait first.
        after: Duration,
    },
    /// Refuse the request.
    Refuse(Refusal),
}

impl Verdict {
    /// Decides where no attempt may follow, as the service is gone.
    pub fn without_retry(contract: Contract, end: CallEnd) -> Self {
        match end {
            CallEnd::Answered { .. } => Self::Answer,
            end => Self::Refuse(last_word(end, contract)),
        }
    }
}

/// When to ask again after every backend server has refused.
const REFUSED_BY_ALL: Duration = Duration::from_millis(100);

/// The retries that recent successes have earned, for one service on one VM.
#[derive(Debug)]
pub struct Retry {
    settings: RetrySettings,
    budget: f64,
}

impl Retry {
    /// Builds a budget that allows one first retry.
    pub fn new(settings: &RetrySettings) -> Self {
        Self {
            settings: settings.clone(),
            budget: 1.0,
        }
    }

    /// Decides what follows an attempt that ended; `attempts` counts it too.
    pub fn decide(
        &mut self,
        now: Instant,
        contract: Contract,
        attempts: u32,
        deadline: Instant,
        report: &CallReport,
    ) -> Verdict {
        let reason = match (report.end, contract) {
            (CallEnd::Answered { .. }, _) => {
                self.budget = (self.budget + self.settings.budget_share).min(10.0);
                return Verdict::Answer;
            }
            (CallEnd::NeverSent, _) => RetryReason::NeverSent,
            (CallEnd::Refused, _) => RetryReason::Refused,
            (CallEnd::Broken, Contract::RetryFreely) => RetryReason::Broken,
            (end, contract) => return Verdict::Refuse(last_word(end, contract)),
        };
        let may = attempts < self.settings.attempts && now < deadline && self.budget >= 1.0;
        if !may {
            return Verdict::Refuse(last_word(report.end, contract));
        }
        self.budget -= 1.0;
        Verdict::Retry {
            reason,
            after: Duration::ZERO,
        }
    }

    /// Goes on under new settings with what was earned.
    pub fn adopt(&mut self, settings: &RetrySettings) {
        self.settings = settings.clone();
    }

    /// Returns when to ask again after every backend server has refused.
    pub fn refused_by_all(&self) -> Duration {
        REFUSED_BY_ALL
    }
}

/// Returns the truthful refusal after the last attempt ended without an answer.
fn last_word(end: CallEnd, contract: Contract) -> Refusal {
    let (reason, ran) = match end {
        CallEnd::NeverSent => (RefusalReason::BackendServerUnreachable, false),
        CallEnd::Refused => (RefusalReason::BackendServerRefused, false),
        CallEnd::TimedOut => (RefusalReason::DeadlinePassed, true),
        CallEnd::TooLarge => (RefusalReason::AnswerTooLarge, true),
        CallEnd::Broken | CallEnd::Cancelled | CallEnd::Answered { .. } => {
            (RefusalReason::AnswerBroken, true)
        }
    };
    match (ran, contract) {
        (false, _) => Refusal::not_run(reason),
        (true, Contract::RetryFreely | Contract::AtMostOnce) => Refusal::unknown(reason),
    }
}
