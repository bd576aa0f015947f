//! Decides whether an answer on a connection to a server belongs to the request that was sent last on it.
//!
//! Load pattern: a faulty server sends an answer a second time, at the point where the answer to the next request on that
//! connection is expected. Order alone would take it for that answer: the refusal of a health check would count as the
//! proof that a protected request has not run. Servers echo the id of a request in each of their answers to it, refusals
//! included, and health checks have no id.

/// Returns whether an answer belongs to a request, by the request's id and the id that the answer echoes, both as they came:
/// an id may be no text. A request without an id is a health check, or one that servers refuse. An empty id identifies
/// nothing.
pub fn is_own_answer(request_id: Option<&[u8]>, echoed_id: Option<&[u8]>) -> bool {
    let [of_request, of_answer] = [request_id, echoed_id].map(|id| id.unwrap_or_default());
    of_request == of_answer
}
