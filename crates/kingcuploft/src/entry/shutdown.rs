//! Graceful shutdown: which requests a stopping VM still takes from its callers' connections, and which it still sends to a
//! backend server.
//!
//! Load pattern: callers that send the next request before the one ahead of it is answered. Their connections are never
//! idle, so a VM that closes only idle connections takes requests until its exit and cuts the last ones. It must stop
//! taking requests while it still has time to answer those that it has taken; what a caller sends behind them stays
//! unread, and the caller sends it again on another connection.
//!
//! Load pattern: a quick request that is sent behind a long one. Answers go out in order, so that the answer to the quick one
//! waits, and would be cut with the long one if that outlasts the process. The VM answers the long one itself at the end, so
//! that all answers behind it are written.
//!
//! Load pattern: requests that wait for a server, as all are slow, full or gone. A VM that lets them wait until its exit
//! cuts them without an answer, and their callers don't know whether they ran. One that may not be answered before the exit
//! is refused while that can still be said, as is one that arrives slowly.

use std::time::Duration;

/// A phase of the graceful shutdown.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// The VM is not stopping.
    #[default]
    Running,
    /// The VM reports that it is not ready, and callers still open connections.
    Announced,
    /// No new connection is accepted, and the open ones are closed.
    Closing,
    /// The process exits in a moment: the VM itself answers what has no answer yet.
    Exiting,
    /// The process exits.
    Ended,
}

/// What a connection is in the middle of when it could take a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionUse {
    /// No request is unanswered, and none is arriving.
    Idle,
    /// No request is unanswered, and one is arriving: its caller may not know whether it was read if it is left.
    RequestArriving,
    /// Requests are unanswered. Whatever is behind them is unread for its caller once the last of them announces the close.
    Unanswered,
}

impl ShutdownPhase {
    /// Returns whether a connection takes a further request.
    pub fn takes_request(self, connection: ConnectionUse) -> bool {
        match (self, connection) {
            (Self::Running | Self::Announced, _) => true,
            (Self::Closing, ConnectionUse::RequestArriving) => true,
            (Self::Closing, ConnectionUse::Idle | ConnectionUse::Unanswered) => false,
            (Self::Exiting | Self::Ended, _) => false,
        }
    }
}

/// The most times its usual duration that work is taken to last.
const LONG_WORK_FACTOR: f64 = 3.0;

/// The least time for an answer, or a refusal, to be made and written.
const MIN_ANSWER_TIME_MS: f64 = 100.0;

/// How long after the beginning of a shutdown a request may arrive and be cut by the exit while a server is at work on it: 3 s
/// by its caller's clock, less the time until the signal is handled.
const MAX_EXCUSED_ARRIVAL: Duration = Duration::from_millis(2_800);

/// A request that is about to be sent to a server by a stopping VM.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest {
    /// How long it is until the process exits.
    pub until_exit: Duration,
    /// How long its caller waits.
    pub left: Duration,
    /// How long its work usually takes.
    pub work_ms: f64,
    /// How long after the shutdown began it arrived; zero if before.
    pub came_after: Duration,
}

impl LateRequest {
    /// Returns whether it will be answered before the process exits: in any case if it came late, else unless its work takes much
    /// longer than usual.
    pub fn has_time_to_answer(&self) -> bool {
        let left_ms = self.left.as_secs_f64() * 1000.0;
        let long_ms = (self.work_ms * LONG_WORK_FACTOR).max(MIN_ANSWER_TIME_MS);
        let needed_ms = match self.came_after > MAX_EXCUSED_ARRIVAL {
            true => left_ms,
            false => left_ms.min(long_ms),
        };
        self.until_exit.as_secs_f64() * 1000.0 >= needed_ms
    }
}
