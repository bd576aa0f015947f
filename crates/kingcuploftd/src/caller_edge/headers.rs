//! Reads a request's idempotency key, caller and deadline from its headers.

use std::net::SocketAddr;
use std::time::Duration;

use kingcuploft::manifest::routing::Route;
use kingcuploft::world::contract::Contract;
use kingcuploft::world::ids::{Caller, IdempotencyKey};
use kingcuploft::world::refusal::{Refusal, RefusalReason};

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The longest caller name, in bytes; a caller with a longer name is identified by its address.
const MAX_CALLER_BYTES: usize = 256;

/// Returns a request's idempotency key if its rule uses one.
pub(super) fn key(
    route: &Route,
    headers: &http::HeaderMap,
) -> Result<Option<IdempotencyKey>, Refusal> {
    let rule = route.rule();
    if rule.contract == Contract::RetryFreely {
        return Ok(None);
    }
    let mut keys = headers.get_all(&rule.idempotency.header).iter();
    match keys.next() {
        Some(_) if keys.next().is_some() => Err(Refusal::not_run(RefusalReason::KeyInvalid)),
        Some(value) => match value.to_str() {
            Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.into())),
            _ => Err(Refusal::not_run(RefusalReason::KeyInvalid)),
        },
        None if rule.idempotency.required => Err(Refusal::not_run(RefusalReason::KeyMissing)),
        None => Ok(None),
    }
}

/// Returns the caller of a request: the value of the service's caller header, else the peer's address.
pub(super) fn caller(route: &Route, headers: &http::HeaderMap, peer: SocketAddr) -> Caller {
    let named = route.service.caller_header.as_ref();
    let named = named.and_then(|name| headers.get(name)?.to_str().ok());
    let named = named.filter(|name| !name.is_empty() && name.len() <= MAX_CALLER_BYTES);
    named.map_or_else(|| peer.ip().to_string().into(), Into::into)
}

/// Returns the time until the caller's deadline, capped by the rule's.
pub(super) fn deadline(route: &Route, headers: &http::HeaderMap) -> Result<Duration, Refusal> {
    let rule = route.rule().deadline();
    let mut values = headers.get_all("x-deadline-ms").iter();
    let (Some(ms), None) = (values.next(), values.next()) else {
        return match headers.contains_key("x-deadline-ms") {
            true => Err(Refusal::not_run(RefusalReason::BadRequest)),
            false => Ok(rule),
        };
    };
    let ms = ms.to_str().ok().and_then(|ms| ms.parse().ok());
    let ms = ms.ok_or(Refusal::not_run(RefusalReason::BadRequest))?;
    Ok(Duration::from_millis(ms).min(rule))
}
