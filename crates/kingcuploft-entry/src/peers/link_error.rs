//! Why a link to a feeder ended.

use std::time::Duration;

use kingcuploft::entry::configuration_change::PartError;
use kingcuploft::entry::server_table::TableError;
use kingcuploft::entry::vm_entry::VmEntry;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// It could not be opened, or broke.
    #[error("the link failed: {0}")]
    Failed(#[from] std::io::Error),
    /// The feeder closed it.
    #[error("the feeder closed the link")]
    Closed,
    /// The feeder can't be reached in time.
    #[error("the feeder does not answer")]
    Unreachable,
    /// The feeder fell silent.
    #[error("the feeder is silent for {} ms, with {partial_bytes} bytes of a line", .silent_for.as_millis())]
    Silent {
        /// How long nothing has arrived.
        silent_for: Duration,
        /// The bytes that had arrived of a line.
        partial_bytes: usize,
    },
    /// The VM feeds as many as it can, and names another.
    #[error("the VM names {}", .0.name)]
    Redirected(VmEntry),
    /// The feeder has not heard yet what this VM knows.
    #[error("the feeder is behind")]
    Behind,
    /// The store answers this VM, and not the one that reads for the feeder.
    #[error("the reader has lost the store")]
    StoreUnreachable,
    /// The feeder hears through this VM.
    #[error("the feeder hears through this VM")]
    Cycle,
    /// What came can't be read.
    #[error("a line can't be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A table of servers can't be read.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A part of a configuration can't be read.
    #[error(transparent)]
    Part(#[from] PartError),
    /// What is told of a configuration does not lead on from this VM's own.
    #[error("the feeder does not lead on from the configuration in force")]
    VersionMismatch,
}

impl LinkError {
    /// Returns the name used in counters.
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
