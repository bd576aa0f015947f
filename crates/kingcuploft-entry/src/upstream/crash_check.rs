//! Checks whether a server that closed a connection without an answer has crashed.

use std::io::ErrorKind;
use std::time::Duration;

use super::Upstream;
use crate::network::Network;

/// How long a new connection may take: the longest round trip of a region, with a margin.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// The result of opening a new connection to a server that lost an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashCheck {
    /// The connection was refused: the server process has ended.
    Ended,
    /// The server still accepts connections: it closed only one of them.
    Alive,
    /// The connection was neither accepted nor refused in time.
    Silent,
}

impl CrashCheck {
    /// Returns the name used in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Alive => "alive",
            Self::Silent => "silent",
        }
    }
}

/// Checks whether a server that has just closed a connection without an answer still accepts connections.
pub async fn check(network: &dyn Network, upstream: &Upstream) -> CrashCheck {
    let connecting = network.connect(upstream.server.address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => CrashCheck::Alive,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => CrashCheck::Ended,
        Ok(Err(_)) | Err(_) => CrashCheck::Silent,
    }
}
