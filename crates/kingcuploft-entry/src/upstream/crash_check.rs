//! Checks whether a server that closed a connection without an answer has crashed.

use std::io::ErrorKind;
use std::time::Duration;

use super::Upstream;
use crate::context::Context;

/// How long a new connection may take: the longest round trip of a region, with a margin.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// How many other servers are asked at most whether they accept a connection.
const MAX_ASKED_SERVERS: usize = 3;

/// The result of opening a new connection to a server that lost an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashCheck {
    /// The connection was refused: the server process has ended.
    Ended,
    /// The server still accepts connections: it closed only one of them.
    Alive,
    /// The connection was neither accepted nor refused in time.
    Silent,
    /// The connection was refused, and so were those to other servers of the service: this VM may be cut off from them.
    OutOfReach,
}

impl CrashCheck {
    /// Returns the name used in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Silent => "silent",
            Self::OutOfReach => "out of reach",
        }
    }
}

/// Checks whether a server that has just closed a connection without an answer has crashed. That it refuses connections
/// proves it only if another server of its service accepts one.
pub async fn check(context: &Context, upstream: &Upstream) -> CrashCheck {
    match connect_to(context, upstream).await {
        CrashCheck::Ended if !another_accepts(context, upstream).await => CrashCheck::OutOfReach,
        found => found,
    }
}

async fn connect_to(context: &Context, upstream: &Upstream) -> CrashCheck {
    let connecting = context.network.connect(upstream.server.address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => CrashCheck::Alive,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => CrashCheck::Ended,
        Ok(Err(_)) | Err(_) => CrashCheck::Silent,
    }
}

/// Returns whether another server of the service accepts a connection, or there is none to ask.
async fn another_accepts(context: &Context, upstream: &Upstream) -> bool {
    let mut others = context.upstreams(&upstream.server.service);
    others.retain(|other| other.server.name != upstream.server.name);
    if others.is_empty() {
        return true;
    }
    for other in fastrand::choose_multiple(others, MAX_ASKED_SERVERS) {
        if connect_to(context, &other).await == CrashCheck::Alive {
            return true;
        }
    }
    false
}
