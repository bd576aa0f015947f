//! Why a link to a feeder ended, as counted and logged.

use std::time::Duration;

use kingcuploft::entry::configuration_change::PartError;
use kingcuploft::entry::server_table::TableError;
use kingcuploft::entry::vm_entry::VmEntry;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The link could not be opened, or broke.
    #[error("the link failed: {0}")]
    Failed(#[from] std::io::Error),
    /// The feeder closed the link.
    #[error("the feeder closed the link")]
    Closed,
    /// The feeder did not accept the link in time.
    #[error("the feeder did not accept the link in time")]
    Unreachable,
    /// The feeder sent nothing for too long.
    #[error("the feeder has sent nothing for {} ms, with {partial_bytes} bytes of an incomplete line", .silent_for.as_millis())]
    Silent {
        /// How long ago the last bytes arrived.
        silent_for: Duration,
        /// How many bytes had arrived of an incomplete line.
        partial_bytes: usize,
    },
    /// The feeder feeds as many followers as it may, and names another VM to follow.
    #[error("the feeder redirects to {}", .0.name)]
    Redirected(VmEntry),
    /// The feeder knows an older revision of the store than this VM.
    #[error("the feeder knows an older revision of the store")]
    Behind,
    /// The store answers this VM, but not the VM that reads it for the feeder.
    #[error("the store does not answer the VM that reads it for the feeder")]
    StoreUnreachable,
    /// The feeder is fed through this VM.
    #[error("the feeder is fed through this VM")]
    Cycle,
    /// A frame can't be decoded.
    #[error("a frame can't be decoded: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A table of backend servers can't be decoded.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A part of a configuration can't be decoded.
    #[error(transparent)]
    Part(#[from] PartError),
    /// The change that the feeder sends does not build on this VM's configuration.
    #[error("the feeder's change does not build on the configuration in force")]
    VersionMismatch,
}

impl LinkError {
    /// Returns the label of the reason in counters.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Failed(_) => "failed",
            Self::Closed => "closed",
            Self::Unreachable => "unreachable",
            Self::Silent { .. } => "silent",
            Self::Redirected(_) => "elsewhere",
            Self::Behind => "behind",
            Self::StoreUnreachable => "store_away",
            Self::Cycle => "circle",
            Self::Malformed(_) | Self::Table(_) | Self::Part(_) => "unreadable",
            Self::VersionMismatch => "out_of_step",
        }
    }
}
