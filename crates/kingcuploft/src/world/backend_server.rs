//! The report of a call to a backend server: how it ended, its latency and the backend server's load.

use std::time::Duration;

/// The load a backend server reported on a reply or at its load endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests of all VMs together that occupy a slot or wait for one.
    pub in_flight: u32,
}

/// How a call to a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// A complete answer to this request arrived.
    Answered {
        /// The HTTP status code.
        status: u16,
    },
    /// The backend server refused with the header that, by the manifest, proves that the request did not run.
    Refused,
    /// No byte of the request was written to a connection.
    NeverSent,
    /// The request was sent, at least in part, and no complete answer came.
    Broken,
    /// The request was sent and the deadline passed.
    TimedOut,
    /// The answer exceeds the size limit.
    TooLarge,
    /// The call was cancelled by this VM.
    Cancelled,
}

impl CallEnd {
    /// Tells whether the backend server answered without a server error (5xx).
    pub fn succeeded(self) -> bool {
        matches!(self, Self::Answered { status } if status < 500)
    }

    /// Tells whether the backend server may have run the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::NeverSent | Self::Refused)
    }
}

/// What one call revealed about its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallReport {
    /// How the call ended.
    pub end: CallEnd,
    /// Time from handing the call to a worker until its end.
    pub latency: Duration,
    /// The load on the reply, if it had one.
    pub load: Option<LoadReport>,
    /// Whether the reply said that the backend server drains.
    pub draining: bool,
}
