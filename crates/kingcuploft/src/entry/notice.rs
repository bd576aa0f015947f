//! What the VMs tell each other through the platform's store of requests and backend servers.

use serde::{Deserialize, Serialize};

use super::crash_report::CrashReport;
use super::notice_id::NoticeId;
use super::server_limits::LimitNotice;

/// What a VM has seen that all VMs have to act on. Each VM that sees the same gives the same notice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Notice {
    /// A backend server ended under a request, or the request is tried again.
    Crash(CrashReport),
    /// A backend server names how much it takes.
    Limit(LimitNotice),
}

impl Notice {
    /// Returns the notice's name in the store.
    pub fn id(&self) -> NoticeId {
        match self {
            Self::Crash(report) => report.id(),
            Self::Limit(notice) => notice.id(),
        }
    }
}
