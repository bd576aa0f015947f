//! Builds the HTTP responses of replies: a backend server's answer, or the balancer's own refusal.

use std::time::Duration;

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER,
};
use http::{Response, StatusCode};
use kingcuploft::world::ids::RequestId;
use kingcuploft::world::refusal::{Refusal, RefusalReason};

use super::reply_body::ReplyBody;
use crate::answer_stream::RemainingBody;
use crate::hop_by_hop::end_to_end;
use crate::message::{Answer, Reply};
use crate::shared::Shared;

/// The retry delay that is sent to a caller when this VM is overloaded.
pub(super) const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

const REASON_HEADER: HeaderName = HeaderName::from_static("x-kingcuploft-reason");
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-kingcuploft-outcome");
/// Says what is known about earlier requests with the same idempotency key.
const EARLIER_HEADER: HeaderName = HeaderName::from_static("x-kingcuploft-earlier");
/// The value when the ledger was not read.
const NOT_CHECKED: &str = "not_checked";
const RETRY_AFTER_MS_HEADER: HeaderName = HeaderName::from_static("x-kingcuploft-retry-after-ms");

/// Builds the HTTP response of a reply.
pub(super) fn response(
    shared: &Shared,
    id: RequestId,
    head_only: bool,
    reply: Reply,
) -> Response<ReplyBody> {
    let own_id = shared.request_name(id);
    let mut response = match reply {
        Reply::Answer(answer) => answer_response(answer, head_only),
        Reply::Refused(refusal) => refusal_response(&own_id, refusal),
    };
    if let Ok(value) = HeaderValue::from_str(&own_id) {
        response.headers_mut().insert("x-request-id", value);
    }
    if shared.stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Builds the response of a backend server's answer. For a streamed body and for an answer to HEAD, the HTTP library
/// cannot derive the length from the body, so a known length is copied from the answer.
fn answer_response(answer: Answer, head_only: bool) -> Response<ReplyBody> {
    let length = answer.headers.get(CONTENT_LENGTH).cloned();
    let rest = answer.rest.as_ref().and_then(RemainingBody::take);
    let send_length = head_only || rest.is_some();
    let mut response = Response::new(ReplyBody::new(answer.body, rest));
    *response.status_mut() = answer.status;
    *response.headers_mut() = end_to_end(answer.headers);
    if let Some(length) = length.filter(|_| send_length) {
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}

/// Returns the JSON body of a refusal.
pub(super) fn refusal_body(own_id: &str, refusal: &Refusal) -> String {
    let body = serde_json::json!({
        "reason": refusal.reason.label(),
        "outcome": refusal.outcome.label(),
        "retry_after_ms": refusal.retry_after.map(|after| after.as_millis() as u64),
        "earlier": refusal.earlier_requests_unknown().then_some(NOT_CHECKED),
        "request_id": own_id,
    });
    body.to_string()
}

fn refusal_response(own_id: &str, refusal: Refusal) -> Response<ReplyBody> {
    let refusal = with_retry_after(refusal);
    let body = Bytes::from(refusal_body(own_id, &refusal));
    let mut response = Response::new(ReplyBody::new(body, None));
    *response.status_mut() = status(refusal.reason);
    let headers = response.headers_mut();
    let label = HeaderValue::from_static;
    headers.insert(CONTENT_TYPE, label("application/json"));
    headers.insert(REASON_HEADER, label(refusal.reason.label()));
    headers.insert(OUTCOME_HEADER, label(refusal.outcome.label()));
    if let Some(after) = refusal.retry_after {
        let ms = after.as_millis() as u64;
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
        headers.insert(RETRY_AFTER_MS_HEADER, HeaderValue::from(ms));
    }
    if refusal.earlier_requests_unknown() {
        headers.insert(EARLIER_HEADER, label(NOT_CHECKED));
    }
    if closes_connection(refusal.reason) {
        headers.insert(CONNECTION, label("close"));
    }
    response
}

/// Adds a retry delay to refusals that concern only this VM, after which the caller should try another VM.
fn with_retry_after(refusal: Refusal) -> Refusal {
    let overloaded = matches!(
        refusal.reason,
        RefusalReason::Overloaded | RefusalReason::NotReady | RefusalReason::ShuttingDown
    );
    match refusal.retry_after {
        None if overloaded => refusal.retry_after(OVERLOAD_RETRY_AFTER),
        _ => refusal,
    }
}

/// Returns whether the connection must close after a refusal: the bytes after an ambiguous request, or after an unread
/// body, may not be a request.
fn closes_connection(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::BadRequest
            | RefusalReason::HeadersTooLarge
            | RefusalReason::BodyTooLarge
            | RefusalReason::BodyTimeout
    )
}

fn status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRequest | RefusalReason::KeyMissing | RefusalReason::KeyInvalid => {
            StatusCode::BAD_REQUEST
        }
        RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        RefusalReason::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        RefusalReason::NoSuchService | RefusalReason::NoSuchRule => StatusCode::NOT_FOUND,
        RefusalReason::CallerShare | RefusalReason::KeyShare => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::KeyExpired => StatusCode::GONE,
        RefusalReason::KeyInProgress | RefusalReason::KeyAlreadyRan => StatusCode::CONFLICT,
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::AnswerBroken | RefusalReason::AnswerTooLarge => StatusCode::BAD_GATEWAY,
        RefusalReason::NotReady
        | RefusalReason::ShuttingDown
        | RefusalReason::QueueFull
        | RefusalReason::DeadlineUnreachable
        | RefusalReason::NoBackendServer
        | RefusalReason::BackendServerRefused
        | RefusalReason::BackendServerUnreachable
        | RefusalReason::StoreUnavailable
        | RefusalReason::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
    }
}
