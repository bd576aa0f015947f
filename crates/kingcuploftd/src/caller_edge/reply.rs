//! Turns replies into HTTP.

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::Full;
use kingcuploft::world::ids::RequestId;
use kingcuploft::world::refusal::{Refusal, RefusalReason};

use crate::message::Reply;
use crate::shared::Shared;

/// Headers that end at the next hop.
const HOP_BY_HOP: [HeaderName; 6] = [
    CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// Keeps the end-to-end headers; the length is set anew from the whole body.
pub(super) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
    headers
}

/// Builds the HTTP response of a reply.
pub(super) fn response(shared: &Shared, id: RequestId, reply: Reply) -> Response<Full<Bytes>> {
    let mut response = match reply {
        Reply::Answer(answer) => {
            let mut response = Response::new(Full::new(answer.body));
            *response.status_mut() = answer.status;
            *response.headers_mut() = end_to_end(answer.headers);
            response
        }
        Reply::Refused(refusal) => refused(id, refusal),
    };
    let own_id = format!("{}-{id}", shared.vm.name);
    if let Ok(value) = HeaderValue::from_str(&own_id) {
        response.headers_mut().insert("x-request-id", value);
    }
    if shared.stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn refused(id: RequestId, refusal: Refusal) -> Response<Full<Bytes>> {
    let retry_after_ms = refusal.retry_after.map(|after| after.as_millis() as u64);
    let body = serde_json::json!({
        "reason": refusal.reason.label(),
        "outcome": refusal.outcome.label(),
        "retry_after_ms": retry_after_ms,
        "request_id": id.to_string(),
    });
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
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
