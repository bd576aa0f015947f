//! The steps of a probe, as logged when a server stops answering probes.

/// The step at which a probe failed.
#[derive(Clone, Copy, Debug)]
pub(super) enum ProbeStep {
    /// All connections of this VM's share were in use: nothing was sent.
    NoConnection,
    /// Opening a new connection.
    Connecting,
    /// Waiting for the answer on a new connection.
    New,
    /// Waiting for the answer on a pooled connection.
    Pooled,
    /// The answer held no load report.
    Unreadable,
}

impl ProbeStep {
    /// Returns the name used in logs.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::NoConnection => "no connection",
            Self::Connecting => "connecting",
            Self::New => "new connection",
            Self::Pooled => "kept connection",
            Self::Unreadable => "no load told",
        }
    }
}
