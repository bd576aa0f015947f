//! Records answers of servers that were given up before their end.

use crate::context::Context;
use crate::http::client::GiveUpReason;

impl Context {
    /// Counts and logs an answer that was given up after so many bytes. `request` is `None` for the answer to a probe,
    /// and `server` an address for the answer of another VM.
    pub(crate) fn record_answer_given_up(
        &self,
        request: Option<&str>,
        server: &str,
        reason: GiveUpReason,
        bytes: usize,
    ) {
        let reason = reason.label();
        self.metrics.count_answer_given_up(reason);
        tracing::info!(event = "answer_given_up", request, server, bytes, reason);
    }
}
