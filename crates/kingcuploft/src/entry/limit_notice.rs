//! What VMs tell each other of a server that names a limit.

use serde::{Deserialize, Serialize};

use super::notice_id::NoticeId;
use super::server_limit::PerSecond;
use crate::world::ids::BackendServerName;

/// What the names of notices of limits begin with.
const PREFIX: &str = "limit.";

/// A server names a limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNotice {
    /// The server.
    pub server: BackendServerName,
    /// What it takes from all VMs together.
    pub per_s: PerSecond,
}

impl LimitNotice {
    /// Returns the notice's name in the store.
    pub fn id(&self) -> NoticeId {
        id(&self.server)
    }

    /// Reads a notice's name.
    pub fn parse_id(id: &str) -> Option<&str> {
        id.strip_prefix(PREFIX)
    }
}

/// Returns the name of the notice of a server.
pub fn id(server: &str) -> NoticeId {
    format!("{PREFIX}{server}")
}
