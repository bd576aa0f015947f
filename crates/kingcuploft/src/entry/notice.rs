//! Notices that VMs exchange through the platform's store about requests and backend servers.

use serde::{Deserialize, Serialize};

use super::crash_report::CrashReport;
use super::notice_id::NoticeId;
use super::server_limits::LimitNotice;

/// An observation that all VMs have to act on. VMs that observe the same event write the same notice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Notice {
    /// A backend server crashed while it ran a request, or the request is being tried again.
    Crash(CrashReport),
    /// A backend server advertises a rate limit.
    Limit(LimitNotice),
}

impl Notice {
    /// Returns the notice's key in the store.
    pub fn id(&self) -> NoticeId {
        match self {
            Self::Crash(report) => report.id(),
            Self::Limit(notice) => notice.id(),
        }
    }
}
