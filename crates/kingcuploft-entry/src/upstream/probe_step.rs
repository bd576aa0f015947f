//! Where a probe stands that is not answered.

/// Where a probe stood when it failed.
#[derive(Clone, Copy, Debug)]
pub(super) enum ProbeStep {
    /// A new connection was being opened.
    Connecting,
    /// The answer was waited for on a new connection.
    New,
    /// The answer was waited for on a connection that had been used before.
    Kept,
    /// The answer told no load.
    Unreadable,
}

impl ProbeStep {
    /// Returns the name used in logs.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Connecting => "connecting",
            Self::New => "new connection",
            Self::Kept => "kept connection",
            Self::Unreadable => "no load told",
        }
    }
}
