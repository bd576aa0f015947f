//! Reads a whole request body within the rule's size limit and the body timeout.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use kingcuploft::manifest::routing::Route;
use kingcuploft::world::refusal::{Refusal, RefusalReason};

use crate::shared::Shared;

/// Reads a body.
///
/// # Errors
///
/// Returns the refusal if the body is too long, too slow or incomplete.
pub(super) async fn read(
    shared: &Arc<Shared>,
    route: &Route,
    body: Incoming,
) -> Result<Bytes, Refusal> {
    let limit = usize::try_from(route.rule().body_limit_bytes).unwrap_or(usize::MAX);
    // A body whose declared length is over the limit is not read, and no `100 Continue` asks the caller to send it.
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::not_run(RefusalReason::BodyTooLarge));
    }
    let timeout = Duration::from_millis(shared.settings.limits.body_timeout_ms);
    let collected = tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::not_run(RefusalReason::BodyTooLarge))
        }
        Ok(Err(_)) => Err(Refusal::not_run(RefusalReason::BadRequest)),
        Err(_) => Err(Refusal::not_run(RefusalReason::BodyTimeout)),
    }
}
