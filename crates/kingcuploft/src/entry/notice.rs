//! What the VMs tell each other through the platform's store of requests and backend servers.

use serde::{Deserialize, Serialize};

use super::crash_report::CrashReport;

/// Names a notice in the store.
pub type NoticeId = String;

/// What a VM has seen that all VMs have to act on. Each VM that sees the same gives the same notice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Notice {
    /// A backend server ended under a request, or the request is tried again.
    Crash(CrashReport),
}

impl Notice {
    /// Returns the notice's name in the store.
    pub fn id(&self) -> NoticeId {
        match self {
            Self::Crash(report) => report.id(),
        }
    }
}
