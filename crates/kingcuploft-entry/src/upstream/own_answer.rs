//! Receives the answer that belongs to a request, and skips answers to other requests.

use kingcuploft::entry::answer_identity::is_own_answer;

use crate::context::Context;
use crate::http::client::{Connection, ReceiveError, Response};

/// How many answers to other requests are skipped on one connection before it is given up.
const MAX_SKIPPED_ANSWERS: usize = 3;

/// The request whose answer is awaited on a connection.
#[derive(Clone, Copy, Debug)]
pub struct AwaitedAnswer<'a> {
    /// The request's method.
    pub method: &'a str,
    /// The request's id as its caller sent it, if it has one.
    pub request_id: Option<&'a [u8]>,
    /// The most bytes of the answer's body.
    pub max_bytes: usize,
    /// The name of the server, or of the VM, in logs.
    pub sender: &'a str,
}

/// Why a request got no answer of its own.
#[derive(Debug, thiserror::Error)]
pub enum NoOwnAnswer {
    /// No complete answer came.
    #[error(transparent)]
    Receive(#[from] ReceiveError),
    /// Only answers to other requests came.
    #[error("only answers to other requests came")]
    OnlyOthers,
}

/// Receives the answer that belongs to a request. A connection that has brought an answer to another request is not
/// used again.
///
/// # Errors
///
/// Returns an error if no complete answer that belongs to the request is received.
pub async fn receive(
    context: &Context,
    connection: &mut Connection,
    awaited: AwaitedAnswer<'_>,
) -> Result<Response, NoOwnAnswer> {
    for _ in 0..MAX_SKIPPED_ANSWERS {
        let account = &context.answer_memory;
        let received = connection.receive_from_server(awaited.method, awaited.max_bytes, account);
        let received = received.await;
        if let Err(ReceiveError::GivenUp { reason, bytes }) = &received {
            let id = awaited.request_id.map(String::from_utf8_lossy);
            context.record_answer_given_up(id.as_deref(), awaited.sender, *reason, *bytes);
        }
        let response = received?;
        let echoed_id = response
            .head
            .headers
            .get_bytes(context.wire_names.request_id);
        if is_own_answer(awaited.request_id, echoed_id) {
            return Ok(response);
        }
        connection.mark_unusable();
        tracing::info!(
            event = "crossed_answer",
            request = awaited.request_id.map(String::from_utf8_lossy).as_deref(),
            answer = echoed_id.map(String::from_utf8_lossy).as_deref()
        );
    }
    Err(NoOwnAnswer::OnlyOthers)
}
