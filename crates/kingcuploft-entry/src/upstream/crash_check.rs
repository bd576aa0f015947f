//! Whether a server has ended that closed a connection without an answer.

use std::io::ErrorKind;
use std::time::Duration;

use super::Upstream;
use crate::network::Network;

/// How long a new connection is waited for: the longest round trip of a region, and some.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// What a new connection to a server comes to after it lost an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashCheck {
    /// Nobody listens there any more.
    Ended,
    /// The server still takes connections: it closed one of them.
    Alive,
    /// No answer.
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

/// Looks whether a server that has just closed a connection without an answer still listens.
pub async fn check(network: &dyn Network, upstream: &Upstream) -> CrashCheck {
    let connecting = network.connect(upstream.server.address);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(_)) => CrashCheck::Alive,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => CrashCheck::Ended,
        Ok(Err(_)) | Err(_) => CrashCheck::Silent,
    }
}
