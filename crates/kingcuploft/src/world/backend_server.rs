//! What is learnt about a backend server from a call to it.

use std::time::Duration;

/// The load a backend server reported on a reply or at its load endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that occupy or wait for a slot, all VMs together.
    pub in_flight: u32,
}

/// How a call to a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// A whole answer arrived and belongs to this request.
    Answered {
        /// The HTTP status code.
        status: u16,
    },
    /// The backend server refused in the way that the manifest says means "not run".
    Refused,
    /// No byte of the request was handed to a connection.
    NeverSent,
    /// The request was sent, in part at least, and no whole answer came.
    Broken,
    /// The request was sent and the deadline passed.
    TimedOut,
    /// The answer is longer than may be passed on.
    TooLarge,
    /// The call was cancelled by this VM.
    Cancelled,
}

impl CallEnd {
    /// Tells whether the backend server answered, and not with an error of its own.
    pub fn succeeded(self) -> bool {
        matches!(self, Self::Answered { status } if status < 500)
    }

    /// Tells whether the backend server may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NeverSent | Self::Refused)
    }
}

/// What one call told about its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallReport {
    /// How the call ended.
    pub end: CallEnd,
    /// Time from the hand-over to the worker until the end.
    pub latency: Duration,
    /// The load on the reply, if it had one.
    pub load: Option<LoadReport>,
    /// Whether the reply said that the backend server drains.
    pub draining: bool,
}
