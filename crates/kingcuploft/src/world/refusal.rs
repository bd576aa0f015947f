//! The answers the system makes itself: why a request was refused and what became of it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What became of a request that did not get a backend server's answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran; its answer can not be given again.
    Ran,
    /// It is proved that the request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the word that stands in headers, bodies and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! refusal_reasons {
    ($($(#[$doc:meta])* $name:ident => $label:literal,)*) => {
        /// Why the system answered a request itself; the same words label the metric.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        pub enum RefusalReason {
            $($(#[$doc])* #[serde(rename = $label)] $name,)*
        }

        impl RefusalReason {
            /// Every reason, for metrics that start at zero.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the word that stands in headers, bodies and metrics.
            pub fn label(self) -> &'static str {
                match self {
                    $(Self::$name => $label,)*
                }
            }
        }
    };
}

refusal_reasons! {
    /// The request is not well-formed HTTP, or is ambiguous.
    BadRequest => "bad_request",
    /// The headers are longer than this VM takes.
    HeadersTooLarge => "headers_too_large",
    /// The body did not come in time.
    BodyTimeout => "body_timeout",
    /// The body is longer than the rule's limit.
    BodyTooLarge => "body_too_large",
    /// No service has this host.
    NoSuchService => "no_such_service",
    /// No rule of the service has this method and path.
    NoSuchRule => "no_such_rule",
    /// This VM does not know the manifest yet.
    NotReady => "not_ready",
    /// This VM is stopping.
    ShuttingDown => "shutting_down",
    /// The rule's queue is full.
    QueueFull => "queue_full",
    /// The expected wait is longer than the time left to the deadline.
    DeadlineUnreachable => "deadline_unreachable",
    /// The deadline passed before an answer came.
    DeadlinePassed => "deadline_passed",
    /// The caller has more than its share waiting.
    CallerShare => "caller_share",
    /// The idempotency key has more than its share waiting.
    KeyShare => "key_share",
    /// The service has no backend server that takes work.
    NoBackendServer => "no_backend_server",
    /// The backend servers refused the request by the manifest's rule.
    BackendServerRefused => "backend_server_refused",
    /// No connection to a backend server could be made.
    BackendServerUnreachable => "backend_server_unreachable",
    /// The backend server's answer was cut, crossed or never came.
    AnswerBroken => "answer_broken",
    /// The backend server's answer is longer than may be passed on.
    AnswerTooLarge => "answer_too_large",
    /// The rule demands an idempotency key.
    KeyMissing => "key_missing",
    /// The idempotency key is malformed.
    KeyInvalid => "key_invalid",
    /// The key was used before with another request.
    KeyReused => "key_reused",
    /// The key is older than the window in which it is remembered.
    KeyExpired => "key_expired",
    /// An earlier request with this key is claimed and its end is not known.
    KeyInProgress => "key_in_progress",
    /// An earlier request with this key ran, and its answer was not kept.
    KeyAlreadyRan => "key_already_ran",
    /// The platform's store does not answer, so nothing can be claimed.
    StoreUnavailable => "store_unavailable",
    /// The daemon itself has no room: a ring or a connection limit is full.
    Overloaded => "overloaded",
}

/// An answer the system makes itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// What became of the request.
    pub outcome: Outcome,
    /// When it makes sense to ask again; `None` where asking again does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal of a request that provably did not run.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// Builds a refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            outcome: Outcome::Unknown,
            retry_after: None,
        }
    }

    /// Tells whether this says nothing of earlier requests with the same idempotency key.
    ///
    /// A caller sends a hold, hears nothing, and sends it again through another VM while the store
    /// is down. That VM proves that the second request did not run, but can not know whether the
    /// first one did; without a word about it `not_run` would read as if the hold had not run.
    pub fn earlier_requests_unknown(&self) -> bool {
        let before_the_ledger = matches!(
            self.reason,
            RefusalReason::StoreUnavailable
                | RefusalReason::QueueFull
                | RefusalReason::DeadlineUnreachable
                | RefusalReason::CallerShare
                | RefusalReason::KeyShare
                | RefusalReason::Overloaded
                | RefusalReason::NotReady
                | RefusalReason::ShuttingDown
        );
        self.outcome == Outcome::NotRun && before_the_ledger
    }

    /// Adds when to ask again.
    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}
