//! Why a request is refused before a server gets it, with which status, and when its caller may come back.

use std::time::Duration;

/// Why a request is refused. The checks are made in this order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RefusalReason {
    /// Its key was taken away while it waited.
    KeyGone,
    /// Its workspace has used up its quota.
    QuotaUsedUp,
    /// No VM that keeps its workspace's quota has answered.
    NoKeeper,
    /// The caller has left.
    CallerLeft,
    /// This VM exits before a server could answer.
    Stopping,
    /// All servers that could take it want nothing for longer than it can wait.
    Paused,
    /// All servers of the service are in evacuated zones.
    Evacuated,
    /// Servers crash when they run it.
    Quarantined,
    /// No server can answer in time.
    NoRoom,
}

/// A refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Refusal {
    /// Why.
    pub(super) reason: RefusalReason,
    /// When the caller may come back.
    pub(super) retry_after: Duration,
}

impl RefusalReason {
    /// Returns the refusal for this reason.
    pub(super) fn after(self, retry_after: Duration) -> Refusal {
        Refusal {
            reason: self,
            retry_after,
        }
    }

    /// Returns the reason as logged, counted and told.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::KeyGone => "the key was taken away",
            Self::QuotaUsedUp => "the workspace's quota is used up",
            Self::NoKeeper => "no keeper of the workspace's quota answers",
            Self::CallerLeft => "the caller left",
            Self::Stopping => "this VM stops",
            Self::Paused => "all servers want a pause",
            Self::Evacuated => "all servers are in evacuated zones",
            Self::Quarantined => "servers end under it",
            Self::NoRoom => "no server can answer in time",
        }
    }

    /// Returns the status of a request that surely has not run; `None` where that of a failure fits.
    pub(super) fn status(self) -> Option<u16> {
        match self {
            Self::KeyGone => Some(401),
            Self::QuotaUsedUp => Some(429),
            Self::NoKeeper
            | Self::CallerLeft
            | Self::Stopping
            | Self::Paused
            | Self::Evacuated
            | Self::Quarantined
            | Self::NoRoom => None,
        }
    }
}
