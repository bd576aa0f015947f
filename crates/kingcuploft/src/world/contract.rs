//! The contract of a rule: whether a request may run more than once. Also the priorities of requests.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a rule's requests may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Contract {
    /// The request may run any number of times: it may be retried and hedged.
    RetryFreely,
    /// The request may run at most once: it is claimed first and never resent once a byte of it
    /// was handed to a connection.
    AtMostOnce,
}

/// The order in which waiting requests are served when there are too few slots for all.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Holds and publications.
    Protected,
    /// A person is waiting for the answer.
    Interactive,
    /// The answer can wait a little, such as an archive search.
    Background,
}
