//! Retries: when a request is sent again.
//!
//! **Load pattern:** backend servers die, shed load, or all fail at once for seconds. **Without it** a lookup fails for
//! a connection that broke; with unbounded retries, a service that fails under load gets two and three times the load,
//! and does not recover (a retry storm). **Grounds:** a retry costs a token of the retry budget, and ten calls that
//! succeeded earn one: in an outage in which nothing succeeds, the retries are at most what was saved up, ten on one
//! VM. A request that may run only once is sent again only where no byte of it was handed over or where the backend
//! server refused by the contract that the manifest states.

use std::time::{Duration, Instant};

use crate::settings::retry::RetrySettings;
use crate::world::backend_server::{CallEnd, CallReport};
use crate::world::contract::Contract;
use crate::world::refusal::{Refusal, RefusalReason};

/// Why a request is sent again; the reasons also label the metric.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryReason {
    /// No byte of the attempt was handed to a connection.
    NeverSent,
    /// The backend server refused without running the request.
    Refused,
    /// The answer to a lookup was cut off, belonged to another request or never came.
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

    /// Returns the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NeverSent => "never_sent",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Unavailable => "unavailable",
        }
    }
}

/// What follows an attempt that ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The answer is passed on.
    Answer,
    /// The request is sent again.
    Retry {
        /// The reason.
        reason: RetryReason,
        /// The backoff before the next attempt.
        after: Duration,
    },
    /// The request is refused.
    Refuse(Refusal),
}

impl RetryDecision {
    /// Decides where no further attempt may follow: an answer is passed on, whatever its status.
    pub fn without_retry(end: CallEnd) -> Self {
        match end {
            CallEnd::Answered { .. } => Self::Answer,
            end => Self::Refuse(final_refusal(end)),
        }
    }
}

/// The attempt that ended, and the request that it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt<'a> {
    /// The retry contract of the request's rule.
    pub contract: Contract,
    /// How many attempts were started, this one included.
    pub attempts: u32,
    /// When the answer is due.
    pub deadline: Instant,
    /// How the attempt ended.
    pub report: &'a CallReport,
}

/// When a caller should retry after every backend server has refused.
const RETRY_AFTER_ALL_REFUSED: Duration = Duration::from_millis(100);

/// The units of a token: whole numbers, so that tenths of a token add up.
const UNITS_PER_TOKEN: u64 = 1_000;

/// The retry budget of one service on one VM: the retries that recent successes have earned.
#[derive(Debug)]
pub struct Retry {
    settings: RetrySettings,
    budget: u64,
}

impl Retry {
    /// Creates a budget of the few retries that are allowed before anything has succeeded.
    pub fn new(settings: &RetrySettings) -> Self {
        Self {
            settings: settings.clone(),
            budget: u64::from(settings.budget_at_start) * UNITS_PER_TOKEN,
        }
    }

    /// Takes new settings and keeps what was earned.
    pub fn update_settings(&mut self, settings: &RetrySettings) {
        self.settings = settings.clone();
        self.budget = self.budget.min(self.max_budget_units());
    }

    /// Decides what follows an attempt that ended.
    ///
    /// A backend server that fails fast answers, but its errors earn no tokens.
    pub fn decide(
        &mut self,
        now: Instant,
        rng: &mut fastrand::Rng,
        ended: &EndedAttempt<'_>,
    ) -> RetryDecision {
        let end = ended.report.end;
        if end.succeeded() {
            let earned = (self.settings.budget_share * UNITS_PER_TOKEN as f64) as u64;
            self.budget = (self.budget + earned).min(self.max_budget_units());
        }
        let Some(reason) = reason(end, ended.contract) else {
            return RetryDecision::without_retry(end);
        };
        let after = self.backoff(rng, ended.attempts);
        let in_time = now + after < ended.deadline;
        if !in_time || ended.attempts >= self.settings.attempts || self.budget < UNITS_PER_TOKEN {
            return RetryDecision::without_retry(end);
        }
        self.budget -= UNITS_PER_TOKEN;
        RetryDecision::Retry { reason, after }
    }

    /// Returns the backoff before the next attempt: none before the second, which goes to another backend server; a
    /// jittered and exponentially growing one after that, as more than one has failed.
    fn backoff(&self, rng: &mut fastrand::Rng, attempts: u32) -> Duration {
        let Some(doublings) = attempts.checked_sub(2) else {
            return Duration::ZERO;
        };
        let pause = Duration::from_millis(self.settings.backoff_ms);
        pause.mul_f64(f64::from(1 << doublings.min(16)) * (0.5 + rng.f64()))
    }

    /// Returns how many retries are allowed now.
    pub fn budget(&self) -> u64 {
        self.budget / UNITS_PER_TOKEN
    }

    /// Returns when a caller should retry after every backend server has refused.
    pub fn retry_after_all_refused(&self) -> Duration {
        RETRY_AFTER_ALL_REFUSED
    }

    fn max_budget_units(&self) -> u64 {
        u64::from(self.settings.budget_most) * UNITS_PER_TOKEN
    }
}

/// Returns why a request may be sent again after an attempt ended so, if it may.
///
/// Of the error statuses that a backend server answers, those count that mean "not now": 502, 503 and 504. A 500 or 501
/// is its answer to this request and would come again.
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

/// Returns the refusal after the last attempt ended without an answer; it says only what is known of whether the
/// request ran.
fn final_refusal(end: CallEnd) -> Refusal {
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
    Refusal::not_run(reason).retry_after(RETRY_AFTER_ALL_REFUSED)
}
