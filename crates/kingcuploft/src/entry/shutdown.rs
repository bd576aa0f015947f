//! Graceful shutdown: which requests a stopping VM still takes from its callers' connections, and which it still sends to a
//! backend server.
//!
//! Load pattern: callers that send the next request before the one ahead of it is answered. Their connections are never
//! idle, so a VM that closes only idle connections takes requests until its exit and cuts the last ones. It must stop
//! taking requests while it still has time to answer those that it has taken; what a caller sends behind them stays
//! unread, and the caller sends it again on another connection.
//!
//! Load pattern: a quick request that is sent behind a long one. Answers go out in order, so that the quick one is answered no
//! sooner than the long one, and is cut with it if that outlasts the process. It is left unread instead.
//!
//! Load pattern: requests that wait for a server, as all are slow, full or gone. A VM that lets them wait until its exit
//! cuts them without an answer, and their callers don't know whether they ran. One that may not be answered before the exit
//! is refused while that can still be said, as is one that arrives slowly.

use std::time::Duration;

/// A phase of the graceful shutdown.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ShutdownPhase {
    /// The VM is not stopping.
    #[default]
    Running,
    /// The VM reports that it is not ready, and callers still open connections.
    Announced,
    /// No new connection is accepted, and the open ones are closed.
    Closing,
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
    /// As [`Self::Unanswered`], and one of them may still be unanswered when the process exits.
    MayOutlastProcess,
}

impl ShutdownPhase {
    /// Returns whether a connection takes a further request.
    pub fn takes_request(self, connection: ConnectionUse) -> bool {
        match (self, connection) {
            (Self::Running, _) => true,
            (Self::Announced, ConnectionUse::MayOutlastProcess) => false,
            (Self::Announced, _) => true,
            (Self::Closing, ConnectionUse::RequestArriving) => true,
            (Self::Closing, _) => false,
            (Self::Ended, _) => false,
        }
    }
}

/// The most times its usual duration that work is taken to last.
const LONG_WORK_FACTOR: f64 = 3.0;

/// Returns whether a request that is sent to a server now is answered before the process exits, after `until_exit`, unless its
/// work takes much longer than the usual `work_ms`. `left` is how long its caller waits.
pub fn has_time_to_answer(until_exit: Duration, left: Duration, work_ms: f64) -> bool {
    let long_ms = work_ms * LONG_WORK_FACTOR;
    let left_ms = left.as_secs_f64() * 1000.0;
    until_exit.as_secs_f64() * 1000.0 >= left_ms.min(long_ms)
}
