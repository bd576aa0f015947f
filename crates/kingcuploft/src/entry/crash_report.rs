//! The notice that a backend server crashed under a request, which VMs exchange through the platform's store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::notice_id::NoticeId;

/// Prefix of the keys of crash reports.
const PREFIX: &str = "crash.";

/// A backend server crashed while it ran a request, or the request is being tried again.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The server that crashed, or the trial.
    pub of: Arc<str>,
    /// The number of consecutive crashes, each under a run that began when the previous ones were known.
    pub in_a_row: u32,
}

impl CrashReport {
    /// Returns the report's key in the store; VMs that see the same crash derive the same key.
    pub fn id(&self) -> NoticeId {
        format!("{PREFIX}{:016x}.{}", self.fingerprint, self.of)
    }

    /// Returns the request and the server or trial from a report's key, or `None` for other keys. A key of another writer
    /// that looks alike is none: what is read from it would have another key.
    pub fn parse_id(id: &str) -> Option<(Fingerprint, &str)> {
        let (digits, of) = id.strip_prefix(PREFIX)?.split_once('.')?;
        let fingerprint = Fingerprint::from_str_radix(digits, 16).ok()?;
        (digits == format!("{fingerprint:016x}")).then_some((fingerprint, of))
    }
}
