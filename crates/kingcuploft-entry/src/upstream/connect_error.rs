//! Why a call has no connection to a server.

use std::io::ErrorKind;

/// Why a call has no connection to a server.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// All connections that this VM may have to the server are in use.
    #[error("all connections of this VM's share are in use")]
    ShareInUse,
    /// No connection could be opened.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl ConnectError {
    /// Returns the name used in logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::ShareInUse => "share in use",
            Self::Io(error) if error.kind() == ErrorKind::TimedOut => "timed out",
            Self::Io(error) if error.kind() == ErrorKind::ConnectionRefused => "refused",
            Self::Io(_) => "failed",
        }
    }
}
