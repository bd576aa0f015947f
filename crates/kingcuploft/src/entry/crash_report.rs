//! That a backend server ended under a request, as the VMs tell each other through the platform's store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::notice_id::NoticeId;

/// What the names of reports begin with.
const PREFIX: &str = "crash.";

/// A backend server ended while it ran a request, or the request is tried again.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The server that ended, or the trial.
    pub of: Arc<str>,
    /// How many servers have ended one after the other, each under a run that began when the ends before it were known.
    pub in_a_row: u32,
}

impl CrashReport {
    /// Returns the report's name in the store: each VM that sees the same end gives the same.
    pub fn id(&self) -> NoticeId {
        format!("{PREFIX}{:016x}.{}", self.fingerprint, self.of)
    }

    /// Reads a report's name.
    pub fn parse_id(id: &str) -> Option<(Fingerprint, &str)> {
        let (fingerprint, of) = id.strip_prefix(PREFIX)?.split_once('.')?;
        Some((Fingerprint::from_str_radix(fingerprint, 16).ok()?, of))
    }
}
