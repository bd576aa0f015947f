//! What is to be written to a follower, and the queue of it.

use std::cell::Cell;
use std::rc::Rc;

use kingcuploft::entry::configuration::ConfigurationVersion;
use tokio::sync::mpsc;

use super::frame::ProtocolVersion;

/// A line that is written to several followers, encoded once.
pub type Line = Rc<Vec<u8>>;

/// An entry in the queue of a follower.
#[derive(Clone, Debug)]
pub enum Outgoing {
    /// A line that every follower understands.
    Line(Line),
    /// A heartbeat; the line is the whole status, for followers that do not understand `Frame::Alive`.
    Alive(Line),
    /// The news that a version of the configuration exists.
    NewerVersion(ConfigurationVersion),
    /// The changes that lead from the follower's configuration to the one in force, computed when they are written.
    Configuration,
    /// A line that followers understand from this version of the protocol on.
    SinceVersion(ProtocolVersion, Line),
    /// The same, and the lines that tell earlier ones the same.
    ByVersion {
        /// The first version that understands `line`.
        since: ProtocolVersion,
        /// The line.
        line: Line,
        /// The lines for earlier versions.
        before: Line,
    },
}

impl Outgoing {
    /// Returns how many bytes of a queue it takes.
    pub(super) fn bytes(&self) -> usize {
        match self {
            Self::Line(line) | Self::Alive(line) | Self::SinceVersion(_, line) => line.len(),
            Self::ByVersion { line, before, .. } => line.len().max(before.len()),
            Self::NewerVersion(_) | Self::Configuration => 0,
        }
    }
}

/// The queue of one follower.
#[derive(Debug)]
pub struct Queue {
    pub(super) receiver: mpsc::Receiver<Outgoing>,
    pub(super) queued_bytes: Rc<Cell<usize>>,
}

impl Queue {
    /// Returns the next entry, or `None` once the follower has been dropped.
    pub async fn next(&mut self) -> Option<Outgoing> {
        let next = self.receiver.recv().await;
        self.subtract_bytes(next.as_ref());
        next
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        while let Ok(outgoing) = self.receiver.try_recv() {
            self.subtract_bytes(Some(&outgoing));
        }
    }

    fn subtract_bytes(&self, outgoing: Option<&Outgoing>) {
        let bytes = outgoing.map_or(0, Outgoing::bytes);
        self.queued_bytes.set(self.queued_bytes.get() - bytes);
    }
}
