//! When a request is sent again.
//!
//! **Load pattern:** backend servers die, shed load, or all fail at once for seconds. **Without
//! it** a lookup fails for a connection that broke; with retries but no bound, a service that
//! fails under load gets two and three times the load, and does not come back. **Grounds:** a
//! retry costs a token, and a token is earned by ten calls that succeeded: in a storm in which
//! nothing succeeds, the retries are at most what was saved up, ten on one VM. A request that may
//! run only once is sent again only where no byte of it was handed over or where the backend
//! server refused by the contract that the manifest states.

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
    /// A lookup was answered 502, 503 or 504: the backend server could not serve it just then.
    Unavailable,
}

impl RetryReason {
    /// Every reason, for metrics that start at zero.
    pub const ALL: &[Self] = &[
        Self::NeverSent,
        Self::Refused,
        Self::Broken,
        Self::Unavailable,
    ];

    /// Returns the word that stands in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NeverSent => "never_sent",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Unavailable => "unavailable",
        }
    }
}

/// What to do after an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
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

impl RetryDecision {
    /// Decides where no attempt may follow: an answer is passed on, whatever its status.
    pub fn without_retry(end: CallEnd) -> Self {
        match end {
            CallEnd::Answered { .. } => Self::Answer,
            end => Self::Refuse(last_word(end)),
        }
    }
}

/// The attempt that ended, and what it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt<'a> {
    /// What the rule promises.
    pub contract: Contract,
    /// How many attempts were begun, this one included.
    pub attempts: u32,
    /// When the answer is due.
    pub deadline: Instant,
    /// How the attempt ended.
    pub report: &'a CallReport,
}

/// When to ask again after every backend server has refused.
const REFUSED_BY_ALL: Duration = Duration::from_millis(100);

/// Parts of a token; whole numbers, so that tenths add up.
const TOKEN: u64 = 1_000;

/// The retries that recent successes have earned, for one service on one VM.
#[derive(Debug)]
pub struct Retry {
    settings: RetrySettings,
    budget: u64,
}

impl Retry {
    /// Builds a budget of the few retries that are allowed before anything has succeeded.
    pub fn new(settings: &RetrySettings) -> Self {
        Self {
            settings: settings.clone(),
            budget: u64::from(settings.budget_at_start) * TOKEN,
        }
    }

    /// Goes on under new settings with what was earned.
    pub fn update_settings(&mut self, settings: &RetrySettings) {
        self.settings = settings.clone();
        self.budget = self.budget.min(self.most());
    }

    /// Decides what follows an attempt that ended.
    ///
    /// A backend server that fails fast answers, but its errors do not pay for more calls.
    pub fn decide(
        &mut self,
        now: Instant,
        rng: &mut fastrand::Rng,
        ended: &EndedAttempt<'_>,
    ) -> RetryDecision {
        let end = ended.report.end;
        if end.succeeded() {
            let earned = (self.settings.budget_share * TOKEN as f64) as u64;
            self.budget = (self.budget + earned).min(self.most());
        }
        let Some(reason) = reason(end, ended.contract) else {
            return RetryDecision::without_retry(end);
        };
        let after = self.backoff(rng, ended.attempts);
        let in_time = now + after < ended.deadline;
        if !in_time || ended.attempts >= self.settings.attempts || self.budget < TOKEN {
            return RetryDecision::without_retry(end);
        }
        self.budget -= TOKEN;
        RetryDecision::Retry { reason, after }
    }

    /// Returns the pause before the next attempt: none before the second, which goes to another
    /// backend server; a jittered and growing one after that, as more than one has failed.
    fn backoff(&self, rng: &mut fastrand::Rng, attempts: u32) -> Duration {
        let Some(doublings) = attempts.checked_sub(2) else {
            return Duration::ZERO;
        };
        let pause = Duration::from_millis(self.settings.backoff_ms);
        pause.mul_f64(f64::from(1 << doublings.min(16)) * (0.5 + rng.f64()))
    }

    /// Returns how many retries are allowed now.
    pub fn budget(&self) -> u64 {
        self.budget / TOKEN
    }

    /// Returns when to ask again after every backend server has refused.
    pub fn retry_after_all_refused(&self) -> Duration {
        REFUSED_BY_ALL
    }

    fn most(&self) -> u64 {
        u64::from(self.settings.budget_most) * TOKEN
    }
}

/// Returns why a request may be sent again after an attempt ended so, if it may.
///
/// Of the errors that a backend server answers, those count that say "not now": 502, 503 and 504.
/// A 500 or 501 is its answer to this request and would come again.
fn reason(end: CallEnd, contract: Contract) -> Option<RetryReason> {
    match (end, contract) {
        (CallEnd::NeverSent, _) => Some(RetryReason::NeverSent),
        (CallEnd::Refused, _) => Some(RetryReason::Refused),
        (CallEnd::Broken, Contract::RetryFreely) => Some(RetryReason::Broken),
        (CallEnd::Answered { status }, Contract::RetryFreely) => {
            matches!(status, 502..=504).then_some(RetryReason::Unavailable)
        }
        _ => None,
    }
}

/// Returns the truthful refusal after the last attempt ended without an answer.
fn last_word(end: CallEnd) -> Refusal {
    let reason = match end {
        CallEnd::NeverSent => RefusalReason::BackendServerUnreachable,
        CallEnd::Refused => RefusalReason::BackendServerRefused,
        CallEnd::TimedOut => RefusalReason::DeadlinePassed,
        CallEnd::TooLarge => RefusalReason::AnswerTooLarge,
        CallEnd::Broken | CallEnd::Cancelled | CallEnd::Answered { .. } => {
            RefusalReason::AnswerBroken
        }
    };
    if end.may_have_run() {
        return Refusal::unknown(reason);
    }
    Refusal::not_run(reason).retry_after(REFUSED_BY_ALL)
}
