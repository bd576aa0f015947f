//! Answers that the load balancer makes itself: why a request was refused and whether it ran.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request without a backend server's answer ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran, but its answer was not kept.
    Ran,
    /// The request provably did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the name used in headers, bodies and metrics.
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
        /// Why the load balancer answered a request itself; the labels of the metric are the same names.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        pub enum RefusalReason {
            $($(#[$doc])* #[serde(rename = $label)] $name,)*
        }

        impl RefusalReason {
            /// All reasons, for metrics that start at zero.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the name used in headers, bodies and metrics.
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
    /// The headers exceed this VM's size limit.
    HeadersTooLarge => "headers_too_large",
    /// The body did not arrive in time.
    BodyTimeout => "body_timeout",
    /// The body exceeds the rule's size limit.
    BodyTooLarge => "body_too_large",
    /// No service has this host.
    NoSuchService => "no_such_service",
    /// No rule of the service has this method and path.
    NoSuchRule => "no_such_rule",
    /// This VM has not received the manifest yet.
    NotReady => "not_ready",
    /// This VM is shutting down.
    ShuttingDown => "shutting_down",
    /// The rule's queue is full.
    QueueFull => "queue_full",
    /// The expected wait is longer than the time left to the deadline.
    DeadlineUnreachable => "deadline_unreachable",
    /// The deadline passed before an answer came.
    DeadlinePassed => "deadline_passed",
    /// The caller's waiting requests exceed its share of the queue.
    CallerShare => "caller_share",
    /// Too many requests with the same idempotency key are in progress.
    KeyShare => "key_share",
    /// The service has no available backend server.
    NoBackendServer => "no_backend_server",
    /// The backend servers refused the request with the header that the manifest names.
    BackendServerRefused => "backend_server_refused",
    /// No connection to a backend server could be made.
    BackendServerUnreachable => "backend_server_unreachable",
    /// The backend server's answer was cut off, belonged to another request or never came.
    AnswerBroken => "answer_broken",
    /// The backend server's answer exceeds the size limit.
    AnswerTooLarge => "answer_too_large",
    /// The rule requires an idempotency key, and the request has none.
    KeyMissing => "key_missing",
    /// The idempotency key is malformed.
    KeyInvalid => "key_invalid",
    /// The key was used before with another request.
    KeyReused => "key_reused",
    /// The key is older than the window for which keys are kept.
    KeyExpired => "key_expired",
    /// An earlier request with this key was claimed, and its end is not known.
    KeyInProgress => "key_in_progress",
    /// An earlier request with this key ran, and its answer was not kept.
    KeyAlreadyRan => "key_already_ran",
    /// The platform's store does not answer, so no key can be claimed.
    StoreUnavailable => "store_unavailable",
    /// The daemon itself is overloaded: a ring or a connection limit is full.
    Overloaded => "overloaded",
}

/// An answer that the load balancer makes itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// How long the caller should wait before it retries; `None` where a retry does not help.
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

    /// Tells whether this refusal holds for its own request only and not for earlier ones with the same idempotency
    /// key.
    ///
    /// Failure: a caller sends a hold, gets no answer, and sends it again through another VM while the store is down.
    /// That VM knows that the second request did not run, but not whether the first one did. Unless the answer says so,
    /// its `not_run` reads as if the hold had not run at all.
    pub fn earlier_requests_unknown(&self) -> bool {
        let refused_before_lookup = matches!(
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
        self.outcome == Outcome::NotRun && refused_before_lookup
    }

    /// Adds the time after which the caller should retry.
    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }
}
