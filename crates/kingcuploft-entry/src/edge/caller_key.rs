//! The key of a request, and the workspace that holds it.

use std::sync::Arc;

use kingcuploft::entry::configuration::{Configuration, Route};
use kingcuploft::entry::key_digest::KeyDigest;
use kingcuploft::entry::workspaces::Workspace;

use crate::http::headers::Headers;

/// The header that carries the key. It never leaves this VM.
pub(crate) const KEY_HEADER: &str = "authorization";

/// The scheme of a key.
const SCHEME: &str = "bearer";

/// Why a request has no usable key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NoKey {
    Missing,
    SeveralHeaders,
    OtherScheme,
}

/// By which workspace a request comes.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum KeyCheck {
    /// The configuration has no workspaces, and headers are forwarded as they came.
    NotUsed,
    /// The route is public, and the request has no known key.
    Public,
    /// The workspace that holds the key, and the digest of the key.
    Workspace(Arc<Workspace>, KeyDigest),
    /// The workspace that another VM has found.
    Relayed(Arc<Workspace>),
    /// No workspace holds the key; the reason, for logs and for the answer.
    Unknown(&'static str),
}

/// Returns the digest of the request's key.
fn key_digest(headers: &Headers) -> Result<KeyDigest, NoKey> {
    let mut values = headers.get_all(KEY_HEADER);
    let value = values.next().ok_or(NoKey::Missing)?;
    if values.next().is_some() {
        return Err(NoKey::SeveralHeaders);
    }
    let value = value.trim_ascii();
    let at = value.iter().position(|byte| *byte == b' ');
    let (scheme, key) = value.split_at(at.ok_or(NoKey::OtherScheme)?);
    if !scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) {
        return Err(NoKey::OtherScheme);
    }
    Ok(KeyDigest::of(key.trim_ascii()))
}

/// Returns the workspace by which a request comes.
pub(super) fn check_key(
    configuration: &Configuration,
    route: &Route,
    headers: &Headers,
) -> KeyCheck {
    let Some(workspaces) = &configuration.workspaces else {
        return KeyCheck::NotUsed;
    };
    let reason = match key_digest(headers) {
        Ok(digest) => match workspaces.by_key(&digest) {
            Some(workspace) => return KeyCheck::Workspace(workspace.clone(), digest),
            None => "unknown key",
        },
        Err(NoKey::Missing) => "no key",
        Err(NoKey::SeveralHeaders) => "several keys",
        Err(NoKey::OtherScheme) => "a key of another scheme",
    };
    match route.is_public {
        true => KeyCheck::Public,
        false => KeyCheck::Unknown(reason),
    }
}
