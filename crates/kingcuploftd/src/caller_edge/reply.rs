//! Turns replies into HTTP.

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use kingcuploft::world::ids::RequestId;
use kingcuploft::world::refusal::{Refusal, RefusalReason};

use super::reply_body::ReplyBody;
use crate::hop_by_hop::end_to_end;
use crate::message::{Answer, Reply};
use crate::shared::Shared;
use crate::stream::Rest;

/// Builds the HTTP response of a reply.
pub(super) fn response(
    shared: &Shared,
    id: RequestId,
    head_only: bool,
    reply: Reply,
) -> Response<ReplyBody> {
    let own_id = shared.request_name(id);
    let mut response = match reply {
        Reply::Answer(answer) => answered(answer, head_only),
        Reply::Refused(refusal) => refused(&own_id, refusal),
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

/// Passes a backend server's answer on. The length is told where it is known although the body
/// does not go out with it: for a streamed answer, and for the head of one.
fn answered(answer: Answer, head_only: bool) -> Response<ReplyBody> {
    let length = answer.headers.get(CONTENT_LENGTH).cloned();
    let rest = answer.rest.as_ref().and_then(Rest::take);
    let tell_length = head_only || rest.is_some();
    let mut response = Response::new(ReplyBody::new(answer.body, rest));
    *response.status_mut() = answer.status;
    *response.headers_mut() = end_to_end(answer.headers);
    if let Some(length) = length.filter(|_| tell_length) {
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    response
}

fn refused(own_id: &str, refusal: Refusal) -> Response<ReplyBody> {
    let retry_after_ms = refusal.retry_after.map(|after| after.as_millis() as u64);
    let body = serde_json::json!({
        "reason": refusal.reason.label(),
        "outcome": refusal.outcome.label(),
        "retry_after_ms": retry_after_ms,
        "request_id": own_id,
    });
    let mut response = Response::new(ReplyBody::new(Bytes::from(body.to_string()), None));
    *response.status_mut() = status(refusal.reason);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        "x-kingcuploft-reason",
        HeaderValue::from_static(refusal.reason.label()),
    );
    headers.insert(
        "x-kingcuploft-outcome",
        HeaderValue::from_static(refusal.outcome.label()),
    );
    if let Some(ms) = retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
    }
    response
}

fn status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRequest | RefusalReason::KeyMissing | RefusalReason::KeyInvalid => {
            StatusCode::BAD_REQUEST
        }
        RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
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
